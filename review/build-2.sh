#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start besides the programs of the deploy file: one program
# that holds all of their stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-rig ./review/rig
