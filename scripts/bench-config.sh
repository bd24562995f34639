#!/usr/bin/env bash
# How changes reach 10, 50, 150 and 300 processes in three data centres:
# time in force, reverts, calls of the platform's service, bytes and processor
# time. SIZES, CHANGES, EVERY and RESOURCES may be set.
set -euo pipefail
cd "$(dirname "$0")/.."
BASE=${BASE:-27000} DIR=${DIR:-build/bench-config} HOST=127.0.0.1
source scripts/fleet.sh
rm -rf "$DIR"
mkdir -p "$DIR"
trap stop_fleet EXIT
trap 'exit 130' INT TERM
build_programs
REGION=region-1

for size in ${SIZES:-10 50 150 300}; do
  spawn platform "$BIN/acaciakeel-standin" platform --listen "$HOST:$((BASE + 50))"
  await_http "$(platform_url)/healthz"
  members=()
  for ((i = 0; i < size; i++)); do
    dc="dc-$((i % 3))" at="$HOST:$((BASE + 100 + i))"
    list_vm "vm-$i" agent "$dc" "http://$at"
    spawn "member-$i" "$BIN/acaciakeel-standin" follow --listen "$at" --name "vm-$i" --data-centre "$dc" --platform "$(platform_url)"
    members+=(--member "http://$at")
  done
  for ((i = 0; i < size; i++)); do await_http "http://$HOST:$((BASE + 100 + i))/healthz"; done
  "$BIN/acaciakeel-standin" bench-config --platform "$(platform_url)" "${members[@]}" \
    --changes "${CHANGES:-30}" --every "${EVERY:-400ms}" --resources "${RESOURCES:-200}"
  stop_fleet
  PIDS=()
done
