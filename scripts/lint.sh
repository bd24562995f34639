#!/usr/bin/env bash
# gofmt, vet and staticcheck over the whole module.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(gofmt -l $(git ls-files '*.go'))
if [ -n "$unformatted" ]; then
  echo "not gofmt-clean: $unformatted"
  exit 1
fi
go vet ./...
go tool staticcheck ./...
echo "gofmt, vet and staticcheck are clean"
