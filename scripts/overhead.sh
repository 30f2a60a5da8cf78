#!/usr/bin/env bash
# Measures what the gateway adds to a direct call of a stand-in, in one run.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
trap 'bash scripts/down.sh' EXIT
bash scripts/up.sh >/dev/null
sed "s/gateway_pid: 0/gateway_pid: $(cat "$RUN/gateway-a.pid")/" deploy/demo/overhead.yaml >"$RUN/overhead.yaml"
bin/kumquat-load -c "$RUN/overhead.yaml" -r "$RUN/overhead"
cat "$RUN"/overhead/*.md
