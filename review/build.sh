#!/bin/sh
# Builds the stand-ins and clients of all scripts.
set -e
cd "$(dirname "$0")"
GOWORK=off GOFLAGS=-buildvcs=false CGO_ENABLED=0 go build -o bin/harness ./harness
