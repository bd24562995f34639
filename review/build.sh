#!/usr/bin/env bash
# Builds what the review's scripts start beside the programs of the deploy file: for each case with
# a script one program, which holds its stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
for main in review/[0-9]*/main.go; do
  case=$(basename "$(dirname "$main")")
  go build -o "target/review-$case" "./review/$case"
done
