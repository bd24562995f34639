#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the build of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
set -e
mkdir -p target/review-2
for case in review/[4-8]; do
	if ls "$case"/*.go >/dev/null 2>&1; then
		go build -o "target/review-2/$(basename "$case")" "./$case"
	fi
done
