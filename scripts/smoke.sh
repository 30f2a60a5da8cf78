#!/usr/bin/env bash
# Smoke test: starts the demonstration, sends it a request of each kind and stops
# it. Prints the failures and exits with 1 if there are any.
set -euo pipefail
cd "$(dirname "$0")/.."

trap 'bash scripts/down.sh' EXIT
bash scripts/up.sh >run-up.log 2>&1 || { cat run-up.log; exit 1; }
rm -f run-up.log

failed=0
expect() { # expect NAME PATTERN TEXT
  if grep -q "$2" <<<"$3"; then echo "smoke: $1: ok"; else
    echo "smoke: $1: expected $2 in: $3"
    failed=1
  fi
}
call() { curl -sS -i -m 20 -H 'Authorization: Bearer demo-key' "$@"; }

chat='{"model":"guide-small","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"hello"}]}'
expect "streamed answer" 'data: \[DONE\]' "$(call http://127.0.0.1:8080/v1/chat/completions -d "$chat")"
expect "whole answer" '"finish_reason":"stop"' "$(call http://127.0.0.1:8081/v1/chat/completions -d "${chat/true/false}")"
expect "lookup" ' 200 ' "$(call http://127.0.0.1:8082/venues/7)"
expect "booking" 'Kumquat-Verdict: ran' "$(call -X POST -H 'Idempotency-Key: smoke' -d seat http://127.0.0.1:8080/bookings)"
expect "booking repeated elsewhere" 'Idempotent-Replayed: true' "$(call -X POST -H 'Idempotency-Key: smoke' -d seat http://127.0.0.1:8082/bookings)"
expect "refusal" '"verdict":"not_run"' "$(call -X POST -d seat http://127.0.0.1:8081/bookings)"
# A server is listed from the start, and listed as serving once an agent has
# polled it.
status() { bin/kumquatctl -c deploy/demo/settings/kumquatctl.yaml status; }
expect "status" 'engine-a1' "$(status)"
for _ in $(seq 50); do
  status | grep -q 'engine-a1 .*serving' && break
  sleep 0.1
done
expect "status of a polled server" 'engine-a1 .*serving' "$(status)"
exit $failed
