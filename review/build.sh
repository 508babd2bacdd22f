#!/usr/bin/env bash
# Builds the stand-in that the scripts start (platform's store, API for machines, advice service, runners,
# operator and clients). The system's own program comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
