#!/usr/bin/env bash
# Builds the stand-ins of the platform, the executors and the clients. Run the build
# of deploy/system.toml first.
set -euo pipefail
cd "$(dirname "$0")/harness"
go build -o ../../target/review-harness .
