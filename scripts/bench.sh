#!/usr/bin/env bash
# Compares placement policies at the size of today: 18 runners, 3 plain
# services, 3 entries, 8 customers. WORKLOAD, SCENARIO, RATE, POLICIES, SEED,
# WARMUP, MEASURE and PREFERENCE (TOML fields) may be set.
set -euo pipefail
cd "$(dirname "$0")/.."
WORKLOAD=${WORKLOAD:-lanzani} SCENARIO=${SCENARIO:-steady}
DIR=${DIR:-build/bench} BASE=${BASE:-25100} RUNNERS=18 SERVICES=3 ENTRIES=3 ORACLE=true LOG_LEVEL=warning
if [ "$SCENARIO" = overload ]; then
  # Two slots a runner, so that it is the engines that are overloaded and not
  # this machine: each request holds one for about a quarter of a second.
  ENGINE_EXTRA=$'slots = 2'
  AGENT_EXTRA=$'[queue]\nslots = 2'
  WARMUP=${WARMUP:-14s} MEASURE=${MEASURE:-12s}
  RATE=${RATE:-110}
  POLICIES=${POLICIES:-"least-load keel"}
fi
source scripts/fleet.sh
begin_fleet

args=(--operator-key "$OPERATOR_KEY" --model "$MODEL" --service "$SERVICE" --workload "$WORKLOAD" --scenario "$SCENARIO")
for ((i = 0; i < ENTRIES; i++)); do args+=(--entry "$(entry_url "$i")"); done
for ((i = 0; i < RUNNERS; i++)); do args+=(--engine "http://$HOST:$(engine_port "$i")"); done
for ((i = 0; i < CUSTOMERS; i++)); do args+=(--key "$(customer_key "$i")"); done
for policy in ${POLICIES:-random least-load prefix-hash oracle keel}; do args+=(--policy "$policy"); done
[ -z "${RATE:-}" ] || args+=(--rate "$RATE")
[ -z "${SEED:-}" ] || args+=(--seed "$SEED")
[ -z "${WARMUP:-}" ] || args+=(--warmup "$WARMUP")
[ -z "${MEASURE:-}" ] || args+=(--measure "$MEASURE")
[ -z "${PREFERENCE:-}" ] || args+=(--preference "$PREFERENCE")

# The bench asks for a restart of all entries by writing a file.
restart_on_mark() {
  local i
  [ -e "$DIR/mark" ] || return 0
  rm -f "$DIR/mark"
  for ((i = 0; i < ENTRIES; i++)); do kill -KILL "${PID_OF[entry-$i]}" 2>/dev/null || true; done
  # The ports come free only once the processes are gone.
  for ((i = 0; i < ENTRIES; i++)); do wait "${PID_OF[entry-$i]}" 2>/dev/null || true; done
  for ((i = 0; i < ENTRIES; i++)); do spawn_entry "$i"; done
}

"$BIN/acaciakeel-standin" bench "${args[@]}" --mark-file "$DIR/mark" &
bench=$!
while kill -0 "$bench" 2>/dev/null; do
  restart_on_mark
  sleep 0.02
done
wait "$bench"
