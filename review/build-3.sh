#!/bin/sh
# Builds the stand-ins and scripts of the cases 11 to 15, after the build of the deploy file.
set -e
cd "$(dirname "$0")/harness-3"
mkdir -p ../../target/review-3
GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-3/harness .
