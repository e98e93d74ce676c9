#!/usr/bin/env bash
# Builds the stand-ins of the script cases 6 to 10. The programs of the deploy file are
# built before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/harness-2
