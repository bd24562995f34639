# Starts a whole deployment as separate processes on loopback. Sourced by
# demo.sh, bench.sh and others, which set:
#   DIR       folder for settings, logs and the list of processes
#   BASE      first port
#   RUNNERS SERVICES ENTRIES   how many of each
#   WORKLOAD  lanzani or kodukapital: names and the time new weights take
#   CENTRES   names of the data centres (default: those of the workload)
# and may set ENGINE_EXTRA and AGENT_EXTRA, TOML lines for all of a kind.

BIN=${BIN:-build/bin}
HOST=127.0.0.1
OPERATOR_KEY=operator-demo-key
PIDS=()
declare -A PID_OF

say() { printf '%s\n' "$*" >&2; }

build_programs() {
  mkdir -p "$BIN"
  go build -o "$BIN/" ./cmd/...
}

# spawn NAME COMMAND...: starts a process with its log in DIR/NAME.log.
spawn() {
  local name=$1
  shift
  "$@" >>"$DIR/$name.log" 2>&1 &
  PID_OF[$name]=$!
  PIDS+=($!)
}

# stop_fleet ends just the processes that this shell has started.
stop_fleet() {
  local pid
  for pid in "${PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}

await_http() {
  local url=$1 tries=${2:-200}
  until "$BIN/acaciakeel-standin" get "$url" >/dev/null 2>&1; do
    tries=$((tries - 1))
    if [ "$tries" -le 0 ]; then say "no answer from $url"; return 1; fi
    sleep 0.05
  done
}

workload_names() {
  case $WORKLOAD in
    lanzani) MODEL=catalogue; SERVICE=cart; LOAD_MS=400; CENTRES=${CENTRES:-"barracas avellaneda pompeya"} ;;
    kodukapital) MODEL=advice; SERVICE=letters; LOAD_MS=1300; CENTRES=${CENTRES:-"ulemiste kopli lasnamae"} ;;
    *) say "WORKLOAD is lanzani or kodukapital"; return 2 ;;
  esac
  REGION=region-1
  read -r -a CENTRE <<<"$CENTRES"
}

entry_url() { echo "http://$HOST:$((BASE + $1))"; }
platform_url() { echo "http://$HOST:$((BASE + 50))"; }
weights_url() { echo "http://$HOST:$((BASE + 51))"; }
engine_port() { echo $((BASE + 100 + $1)); }
agent_port() { echo $((BASE + 300 + $1)); }
centre_of() { echo "${CENTRE[$(($1 % ${#CENTRE[@]}))]}"; }

neighbours() { printf '["%s", "%s"]' "$(entry_url 0)" "$(entry_url $((ENTRIES - 1)))"; }

write_entry_settings() {
  local i=$1 hash
  hash=$("$BIN/keelctl" hash-key "$OPERATOR_KEY")
  cat >"$DIR/entry-$i.toml" <<TOML
[self]
name = "entry-$i"
listen = "$HOST:$((BASE + i))"
data_centre = "$(centre_of "$i")"
region = "$REGION"
[platform]
url = "$(platform_url)"
neighbours = $(neighbours)
[log]
level = "${LOG_LEVEL:-info}"
[[operator]]
name = "demo"
key_hash = "$hash"
role = "writer"
TOML
}

write_agent_settings() {
  local name=$1 i=$2 kind=$3
  cat >"$DIR/agent-$name.toml" <<TOML
${AGENT_TOP:-}
[self]
name = "vm-$name"
listen = "$HOST:$(agent_port "$i")"
data_centre = "$(centre_of "$i")"
region = "$REGION"
[platform]
url = "$(platform_url)"
neighbours = $(neighbours)
[log]
level = "${LOG_LEVEL:-info}"
[target]
name = "$name"
kind = "$kind"
url = "http://$HOST:$(engine_port "$i")"
oracle = ${ORACLE:-false}
${AGENT_EXTRA:-}
TOML
}

write_engine_settings() {
  cat >"$DIR/engine.toml" <<TOML
model = "$MODEL"
load_weights_ms = $LOAD_MS
weight_store = "$(weights_url)"
${ENGINE_EXTRA:-}
TOML
}

spawn_entry() { spawn "entry-$1" "$BIN/acaciakeel-entry" run -c "$DIR/entry-$1.toml"; }
spawn_agent() { spawn "agent-$1" "$BIN/acaciakeel-agent" run -c "$DIR/agent-$1.toml"; }
spawn_engine() { spawn "engine-$1" "$BIN/acaciakeel-standin" engine -c "$DIR/engine.toml" --listen "$HOST:$(engine_port "$1")"; }
spawn_service() { spawn "service-$1" "$BIN/acaciakeel-standin" service --listen "$HOST:$(engine_port "$1")"; }

# list_vm NAME ROLE CENTRE URL: puts a VM into the platform's list.
list_vm() {
  "$BIN/acaciakeel-standin" put "$(platform_url)/admin/vms" \
    "{\"name\":\"$1\",\"role\":\"$2\",\"data_centre\":{\"name\":\"$3\",\"region\":\"$REGION\"},\"url\":\"$4\"}"
}

start_fleet() {
  workload_names
  mkdir -p "$DIR"
  spawn platform "$BIN/acaciakeel-standin" platform --listen "$HOST:$((BASE + 50))"
  spawn weights "$BIN/acaciakeel-standin" weights --listen "$HOST:$((BASE + 51))"
  await_http "$(platform_url)/healthz"
  write_engine_settings
  local i
  for ((i = 0; i < ENTRIES; i++)); do
    write_entry_settings "$i"
    list_vm "entry-$i" entry "$(centre_of "$i")" "$(entry_url "$i")"
    spawn_entry "$i"
  done
  for ((i = 0; i < RUNNERS; i++)); do
    spawn_engine "$i"
    write_agent_settings "runner-$i" "$i" engine
    list_vm "vm-runner-$i" agent "$(centre_of "$i")" "http://$HOST:$(agent_port "$i")"
    spawn_agent "runner-$i"
  done
  for ((i = RUNNERS; i < RUNNERS + SERVICES; i++)); do
    spawn_service "$i"
    write_agent_settings "desk-$i" "$i" service
    list_vm "vm-desk-$i" agent "$(centre_of "$i")" "http://$HOST:$(agent_port "$i")"
    spawn_agent "desk-$i"
  done
  for ((i = 0; i < ENTRIES; i++)); do await_http "$(entry_url "$i")/healthz"; done
}

CUSTOMERS=8
customer_key() { echo "customer-key-$1"; }

write_resources() {
  local i
  {
    printf '[[model]]\nname = "%s"\nweights_version = "v1"\n\n' "$MODEL"
    printf '[[service]]\nname = "%s"\n\n' "$SERVICE"
    printf '[[preference]]\nname = "default"\n%s\n\n' "${PREFERENCE:-}"
    for ((i = 0; i < CUSTOMERS; i++)); do
      printf '[[customer]]\nname = "customer-%d"\nkey_hashes = ["%s"]\n\n' "$i" "$("$BIN/keelctl" hash-key "$(customer_key "$i")")"
    done
    for ((i = 0; i < RUNNERS; i++)); do
      printf '[[target]]\nname = "runner-%d"\nvm = "vm-runner-%d"\nmodel = "%s"\nagent_url = "http://%s:%d"\ndata_centre = "%s"\nregion = "%s"\n\n' \
        "$i" "$i" "$MODEL" "$HOST" "$(agent_port "$i")" "$(centre_of "$i")" "$REGION"
    done
    for ((i = RUNNERS; i < RUNNERS + SERVICES; i++)); do
      printf '[[target]]\nname = "desk-%d"\nvm = "vm-desk-%d"\nservice = "%s"\nagent_url = "http://%s:%d"\ndata_centre = "%s"\nregion = "%s"\n\n' \
        "$i" "$i" "$SERVICE" "$HOST" "$(agent_port "$i")" "$(centre_of "$i")" "$REGION"
    done
  } >"$DIR/fleet.toml"
}

keelctl() { "$BIN/keelctl" --entry "$(entry_url 0)" --key "$OPERATOR_KEY" "$@"; }

apply_fleet() {
  write_resources
  keelctl apply -f "$DIR/fleet.toml" >"$DIR/apply.log"
  keelctl wait --timeout 20s --processes $((ENTRIES + RUNNERS + SERVICES))
}

# begin_fleet builds the programs and starts a fleet with its resources
# applied; it ends with the script.
begin_fleet() {
  rm -rf "$DIR"
  trap stop_fleet EXIT
  trap 'exit 130' INT TERM
  build_programs
  start_fleet
  apply_fleet >&2
}
