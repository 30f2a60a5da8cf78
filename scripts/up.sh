#!/usr/bin/env bash
# Starts the demonstration: the stand-ins and one entry instance in each of three
# zones.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

if ls "$RUN"/*.pid >/dev/null 2>&1; then
  echo "$RUN/ has pid files of an earlier make up; run make down first" >&2
  exit 1
fi
mkdir -p "$RUN"
names=()
for z in $ZONES; do names+=(--name "gateway-$z" --name "agent-$z"); done
ctl="bin/kumquatctl -c deploy/demo/settings/kumquatctl.yaml"
$ctl keys dev "$RUN/keys" "${names[@]}"
start standin bin/kumquat-standin -c deploy/demo/settings/standin.yaml
await http://127.0.0.1:9000/_counts
$ctl rules load deploy/demo
$ctl import deploy/demo/inventory.csv
for z in $ZONES; do
  start "agent-$z" bin/kumquat-agent -c "deploy/demo/settings/agent-$z.yaml"
  start "gateway-$z" bin/kumquat-gateway -c "deploy/demo/settings/gateway-$z.yaml"
done
for port in 9411 9412 9413; do await "http://127.0.0.1:$port/readyz"; done
cat <<'EOF'

Ready: gateways at 127.0.0.1:8080, 8081 and 8082. Try:

  curl -N http://127.0.0.1:8080/v1/chat/completions -H 'Authorization: Bearer demo-key' \
    -d '{"model":"guide-small","stream":true,"messages":[{"role":"user","content":"Draft a welcome guide."}]}'

To stop it, run make down.
EOF
