#!/usr/bin/env bash
# Compares the routing policies in one run: starts a demonstration for each
# policy on separate ports and sends the same requests to each in turn.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

POLICIES="kumquat least_outstanding prefix_hash round_robin"
TOP=run/compare
SCENARIO=${1:-deploy/demo/compare.yaml}

stop_all() {
  for policy in $POLICIES; do
    RUN=$TOP/$policy
    for name in gateway-a gateway-b gateway-c agent-a agent-b agent-c standin; do stop "$name" & done
  done
  wait
}
trap stop_all EXIT

offset=0
for policy in $POLICIES; do
  RUN=$TOP/$policy
  mkdir -p "$RUN"
  cp -r deploy/demo "$RUN/"
  find "$RUN/demo" -type f -exec perl -pi -e \
    's#127\.0\.0\.1:(\d+)#"127.0.0.1:".($1+'$offset')#ge; s#\brun/#'"$RUN"'/#g; s#policy: kumquat#policy: '"$policy"'#' {} +
  ctl="bin/kumquatctl -c $RUN/demo/settings/kumquatctl.yaml"
  names=()
  for z in $ZONES; do names+=(--name "gateway-$z" --name "agent-$z"); done
  $ctl keys dev "$RUN/keys" "${names[@]}" >/dev/null
  start standin bin/kumquat-standin -c "$RUN/demo/settings/standin.yaml"
  await "http://127.0.0.1:$((9000 + offset))/_counts"
  $ctl rules load "$RUN/demo" >/dev/null
  $ctl import "$RUN/demo/inventory.csv" >/dev/null
  for z in $ZONES; do
    start "agent-$z" bin/kumquat-agent -c "$RUN/demo/settings/agent-$z.yaml"
    start "gateway-$z" bin/kumquat-gateway -c "$RUN/demo/settings/gateway-$z.yaml"
  done
  for port in 9411 9412 9413; do await "http://127.0.0.1:$((port + offset))/readyz"; done
  offset=$((offset + 1000))
done
bin/kumquat-load -c "$SCENARIO" -r "$TOP/report"
cat "$TOP"/report/*.md
