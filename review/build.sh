#!/usr/bin/env bash
# Builds the stand-ins that the review's scripts start: the store, servers and clients, in one
# program. It needs Go's standard library only, and no network.
set -euo pipefail
cd "$(dirname "$0")/stand"
GOWORK=off GOTOOLCHAIN=local GOFLAGS=-buildvcs=false go build -o ../../target/review/stand .
