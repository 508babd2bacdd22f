#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
