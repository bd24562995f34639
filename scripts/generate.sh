#!/usr/bin/env bash
# Regenerates api/: needs protoc (Debian's protobuf-compiler). The result is committed.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/tools
go build -o build/tools/ google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
PATH="$PWD/build/tools:$PATH" protoc -I api --go_out=. --go_opt=module=acaciakeel \
  --connect-go_out=. --connect-go_opt=module=acaciakeel,simple=false api/keel/v1/keel.proto
