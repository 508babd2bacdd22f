#!/usr/bin/env bash
# Shows whether a job of a removed queue keeps its attempts over a rolling restart of the daemons.
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
scene=target/review-3/release/scene
[ -x "$scene" ] && [ -x target/release/vanillafold-fleet ] || exit 2
exec "$scene" removed review/14/record.txt
