#!/usr/bin/env bash
# Formatter, vet, linter, build and tests. Needs Go and its module proxy only.
# A test listed in KNOWN-RED.txt is skipped here and named at the end.
set -euo pipefail
cd "$(dirname "$0")"
packages=(./fleet/... ./daemon/... ./platform/... ./lab/...)

echo "== format"
unformatted=$(go tool gofumpt -l fleet daemon platform lab)
if [ -n "$unformatted" ]; then
  echo "not formatted with gofumpt:"
  echo "$unformatted"
  exit 1
fi

echo "== vet"
go vet "${packages[@]}"

echo "== lint"
go tool staticcheck "${packages[@]}"

echo "== build"
go build "${packages[@]}"

echo "== test"
skip=()
if [ -f KNOWN-RED.txt ]; then
  names=$(awk '/^test: /{print $2}' KNOWN-RED.txt | paste -sd'|' -)
  if [ -n "$names" ]; then
    skip=(-skip "^($names)\$")
  fi
fi
# Crowds of clients are played one at a time, apart from other load, below.
mapfile -t raced < <(go list "${packages[@]}" | grep -v '/lab/crowd$')
go test -race -count=1 "${skip[@]}" "${raced[@]}"

echo "== explorations, without the race detector"
go test -count=1 "${skip[@]}" ./fleet/process/ledger ./lab/ledgercheck

echo "== clients outside the limits, without the race detector"
go test -count=1 -timeout 30m "${skip[@]}" ./lab/crowd

if [ -f KNOWN-RED.txt ]; then
  echo "== known red"
  cat KNOWN-RED.txt
fi
