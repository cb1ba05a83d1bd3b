#!/usr/bin/env bash
# Builds the stand-ins of the second review. They use the standard library only.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root/review/standins-2"
export GOWORK=off GOFLAGS=-mod=mod GOPROXY=off
go build -o "$root/target/review-2/" ./...
