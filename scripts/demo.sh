#!/usr/bin/env bash
# The main job, end to end, in separate processes on loopback. Exits 0 only
# if each check held. KEEP=1 stays up afterwards, until interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."
DIR=build/demo BASE=${BASE:-24100} RUNNERS=3 SERVICES=1 ENTRIES=2 WORKLOAD=${WORKLOAD:-lanzani}
source scripts/fleet.sh
rm -rf "$DIR"
trap stop_fleet EXIT
trap 'exit 130' INT TERM

say "building"
build_programs
say "starting 1 platform, $ENTRIES entries, $RUNNERS runners, $SERVICES plain service, an agent beside each target"
start_fleet
say "applying resources with keelctl"
apply_fleet
keelctl status

standin() { "$BIN/acaciakeel-standin" "$@"; }
KEY=$(customer_key 0)
standin demo --entry "$(entry_url 0)" --entry "$(entry_url 1)" --key "$KEY" --model "$MODEL" --service "$SERVICE" \
  --service-truth "http://$HOST:$(engine_port "$RUNNERS")/truth"

if [ "${KEEP:-}" = 1 ]; then
  pids() { local out=() name; for name in "${!PID_OF[@]}"; do case $name in $1*) out+=("${PID_OF[$name]}") ;; esac; done; echo "${out[*]:-}"; }
  keys=()
  for ((i = 0; i < CUSTOMERS; i++)); do keys+=("$(customer_key "$i")"); done
  {
    echo "ENTRY_URLS=\"$(entry_url 0) $(entry_url 1)\""
    echo "CUSTOMER_KEYS=\"${keys[*]}\""
    echo "OPERATOR_KEY=\"$OPERATOR_KEY\""
    echo "MODEL=\"$MODEL\""
    echo "SERVICE=\"$SERVICE\""
    echo "ENTRY_PIDS=\"$(pids entry-)\""
    echo "AGENT_PIDS=\"$(pids agent-)\""
    echo "ENGINE_PIDS=\"$(pids engine-)\""
    echo "PLATFORM_PID=\"${PID_OF[platform]}\""
    echo "KEELCTL=\"$BIN/keelctl --entry $(entry_url 0) --key $OPERATOR_KEY\""
  } >"$DIR/demo.env"
  say "staying up until interrupted; see $DIR/demo.env"
  while :; do sleep 1; done
fi
