#!/bin/bash
# Plays case 3: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/eiderfold ] && [ -x target/review/3 ] || { echo "not built: run the build of deploy/system.toml and review/build.sh"; exit 2; }
timeout --signal=TERM --kill-after=1 117 target/review/3 review/3/record.txt
code=$?
[ $code -le 1 ] && exit $code
exit 2
