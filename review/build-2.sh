#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the build of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
set -e
mkdir -p target/second-review
for case in review/[4-8]; do
	if ls "$case"/*.go >/dev/null 2>&1; then
		go build -o "target/second-review/$(basename "$case")" "./$case"
	fi
done
