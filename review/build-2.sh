#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 and later start, into target/. It needs Go alone and no network.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
CGO_ENABLED=0 GOTOOLCHAIN=local GOFLAGS="-buildvcs=false" GOWORK=off go build -o ../../target/review-standin-2 .
