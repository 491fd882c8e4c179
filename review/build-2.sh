#!/usr/bin/env bash
# Builds the stand-ins of the scripts review/N/run.sh into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/testdata/standin
