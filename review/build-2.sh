#!/bin/sh
# Builds the stand-ins of the second review's scripts into target/review-2/. They use the Go
# standard library only, so that no network is needed. The project itself is built before by the
# command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/second"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-2/rig .
