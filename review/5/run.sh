#!/usr/bin/env bash
# Plays the case. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. With TROUBLE=0
# there is no disruption. What was sent, answered and run is written to record.txt beside this file.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
cd "$here/../.." || exit 2
timeout 118 target/review/release/referee repeated-upkeep "$here/record.txt"
case $? in
    0) exit 0 ;;
    1) exit 1 ;;
    *) exit 2 ;;
esac
