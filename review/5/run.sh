#!/bin/bash
# The store goes back just after the process that holds the duties was killed. Exits with 1 if ONE was broken, 0 if it held, 2 if
# the case could not run. TROUBLE=0 leaves out kills and drills.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/kumquat-entry ] && [ -x target/review-standins ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
timeout -k 5 115 target/review-standins drill review/5/record.txt target/kumquat-entry
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
