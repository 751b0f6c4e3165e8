#!/bin/sh
# Builds the stand-ins that the scripts start: clients, backend servers and the platform, one program for all of them.
set -e
cd "$(dirname "$0")/standin"
CGO_ENABLED=0 GOFLAGS=-buildvcs=false GOTOOLCHAIN=local go build -o ../bin/standin .
