#!/bin/bash
# Builds the stand-ins of the cases in review/.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standins ./review/standins
