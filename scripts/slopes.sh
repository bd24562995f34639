#!/usr/bin/env bash
# Costs at several sizes with the lines through them, for docs/CAPACITY.md:
# one entry before six runners at several rates, then the pure parts alone.
set -euo pipefail
cd "$(dirname "$0")/.."
WORKLOAD=${WORKLOAD:-lanzani}
DIR=${DIR:-build/slopes} BASE=${BASE:-26100} RUNNERS=6 SERVICES=1 ENTRIES=1 LOG_LEVEL=warning
source scripts/fleet.sh
begin_fleet
args=(--operator-key "$OPERATOR_KEY" --model "$MODEL" --service "$SERVICE" --workload "$WORKLOAD" --entry "$(entry_url 0)")
for ((i = 0; i < RUNNERS; i++)); do args+=(--engine "http://$HOST:$(engine_port "$i")" --agent "http://$HOST:$(agent_port "$i")"); done
for ((i = 0; i < CUSTOMERS; i++)); do args+=(--key "$(customer_key "$i")"); done
"$BIN/acaciakeel-standin" slopes "${args[@]}" --plot "${PLOT:-$DIR/slopes.png}"
