#!/usr/bin/env bash
# Measures the overhead of the gateway over direct calls of a stand-in, both in
# one run.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
trap 'bash scripts/down.sh' EXIT
bash scripts/up.sh >/dev/null
sed "s/gateway_pid: 0/gateway_pid: $(cat "$RUN/gateway-a.pid")/" deploy/demo/overhead.yaml >"$RUN/overhead.yaml"
bin/kumquat-load -c "$RUN/overhead.yaml" -r "$RUN/overhead"
cat "$RUN"/overhead/*.md
