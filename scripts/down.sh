#!/usr/bin/env bash
# Stops the processes that up.sh started, and no others.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

for z in $ZONES; do stop "gateway-$z"; done
for z in $ZONES; do stop "agent-$z"; done
stop standin
