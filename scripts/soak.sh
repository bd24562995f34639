#!/usr/bin/env bash
# Breaks a deployment at random, by a seed, while callers check what must
# always hold: SIGKILL and restart of entries and agents, engine crashes,
# pauses, outages of the platform's service. SEED, DURATION (seconds), RATE.
set -euo pipefail
cd "$(dirname "$0")/.."
WORKLOAD=${WORKLOAD:-lanzani} SEED=${SEED:-1} DURATION=${DURATION:-180} RATE=${RATE:-12}
DIR=${DIR:-build/soak} BASE=${BASE:-28100} RUNNERS=3 SERVICES=2 ENTRIES=2 LOG_LEVEL=info
ENGINE_EXTRA=$'step_ms = 15.0\nresume_grace_ms = 5000.0'
AGENT_EXTRA=$'[ledger]\nclock_margin_ms = 200.0'
source scripts/fleet.sh
begin_fleet
RANDOM=$SEED

args=(--operator-key "$OPERATOR_KEY" --model "$MODEL" --service "$SERVICE" --seed "$SEED" --rate "$RATE" --duration "${DURATION}s")
for ((i = 0; i < ENTRIES; i++)); do args+=(--entry "$(entry_url "$i")"); done
for ((i = RUNNERS; i < RUNNERS + SERVICES; i++)); do args+=(--service-url "http://$HOST:$(engine_port "$i")"); done
for ((i = 0; i < CUSTOMERS; i++)); do args+=(--key "$(customer_key "$i")"); done
"$BIN/acaciakeel-standin" soak "${args[@]}" &
checker=$!

standin() { "$BIN/acaciakeel-standin" "$@" >/dev/null 2>&1 || true; }
agent_names() { local i; for ((i = 0; i < RUNNERS; i++)); do echo "runner-$i"; done; for ((i = RUNNERS; i < RUNNERS + SERVICES; i++)); do echo "desk-$i"; done; }
mapfile -t AGENTS < <(agent_names)

break_something() {
  local entry=$((RANDOM % ENTRIES)) agent=${AGENTS[$((RANDOM % ${#AGENTS[@]}))]} engine=$((RANDOM % RUNNERS))
  case $((RANDOM % 6)) in
    0) say "kill entry-$entry"; kill -KILL "${PID_OF[entry-$entry]}" || true; wait "${PID_OF[entry-$entry]}" 2>/dev/null || true; sleep 0.3; spawn_entry "$entry" ;;
    1) say "kill agent-$agent"; kill -KILL "${PID_OF[agent-$agent]}" || true; wait "${PID_OF[agent-$agent]}" 2>/dev/null || true; sleep 0.3; spawn_agent "$agent" ;;
    2) say "crash engine-$engine"; standin post "http://$HOST:$(engine_port "$engine")/admin/crash" ;;
    3) say "pause agent-$agent"; kill -STOP "${PID_OF[agent-$agent]}" || true; sleep 1.5; kill -CONT "${PID_OF[agent-$agent]}" || true ;;
    4) say "platform down"; standin post "$(platform_url)/faults" '{"down":true}'; sleep 3; standin post "$(platform_url)/faults" '{}' ;;
    5) say "stop agent-$agent"; kill -TERM "${PID_OF[agent-$agent]}" || true; wait "${PID_OF[agent-$agent]}" 2>/dev/null || true; spawn_agent "$agent" ;;
  esac
}

# The last seconds are calm, so that every request can come to its end.
end=$((SECONDS + DURATION - 5))
while [ "$SECONDS" -lt "$end" ] && kill -0 "$checker" 2>/dev/null; do
  break_something
  sleep 2
done
wait "$checker"
