#!/usr/bin/env bash
# Compares the request path of the daemon with direct calls and plain proxies.
# Usage: bench/request_path.sh [seed] [seconds per round] [rounds] [loads]
# Loads are a list of connections:requests per second, such as 1:100,32:500.
# Needs a build (npm run build). DAEMON=0 omits the daemon; VARIANTS="direct daemon"
# measures only these variants. DAEMON_NODE_FLAGS are Node.js flags of the daemon,
# such as --cpu-prof.
set -euo pipefail
cd "$(dirname "$0")/.."
seed=${1:-1} seconds=${2:-1} rounds=${3:-10} loads=${4:-1:100,32:500,32:1500}
base=$(bash scripts/free_base_port.sh)
program=dist/bench/request_path.js
folder=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$folder"
}
trap stop EXIT
start() { "$@" >"$folder/$((${#pids[@]})).log" 2>&1 & pids+=($!); }

target=$((base)) http=$((base + 1)) undici=$((base + 2)) restify=$((base + 3))
variants=()
add() { # name port: adds the process started last as a variant
  case " ${VARIANTS:-$1} " in *" $1 "*) variants+=("$1=$2=${pids[-1]}") ;; esac
}
start node "$program" target "$target"
add direct "$target"
start node "$program" http-http "$http" "$target"
add http-http "$http"
start node "$program" http-undici "$undici" "$target"
add http-undici "$undici"
start node "$program" restify-undici "$restify" "$target"
add restify-undici "$restify"
if [ "${DAEMON:-1}" = 1 ]; then
  platform=$((base + 4)) caller=$((base + 5)) operator=$((base + 6)) peer=$((base + 7))
  cat >"$folder/config.json" <<JSON
{"revision": 1, "inForce": "bench", "presets": {"bench": {"vmCeiling": 1, "services": {"bench": {
  "slotsPerTarget": 64, "connectionsPerTarget": 64, "probeBudgetPerSecond": 10, "routing": "estimated-load",
  "longLaneShare": 0.5, "maxEjectedShare": 0.3, "retryBudgetShare": 0.1, "queueCapacity": 256, "slowStartMs": 0,
  "kinds": {"price": {"method": "GET", "pathPrefix": "/price", "idempotent": true, "urgent": false,
    "long": false, "worth": 1, "timeoutMs": 2000}}}}}}}
JSON
  cat >"$folder/vms.json" <<JSON
{"vms": [
  {"id": "e-01", "role": "entry", "host": "127.0.0.1", "port": $peer, "failureDomain": "a", "state": "live"},
  {"id": "t-01", "role": "target", "service": "bench", "host": "127.0.0.1", "port": $target, "failureDomain": "a", "state": "live"}
]}
JSON
  cat >"$folder/settings.json" <<JSON
{"vmId": "e-01", "failureDomain": "a", "caller": {"host": "127.0.0.1", "port": $caller},
 "operator": {"host": "127.0.0.1", "port": $operator}, "peer": {"host": "127.0.0.1", "port": $peer},
 "platformUrls": ["http://127.0.0.1:$platform"], "leaveDelayMs": 0, "logLevel": "warn"}
JSON
  start node dist/src/standins/platform_main.js --port "$platform" --config "$folder/config.json" --vms "$folder/vms.json"
  # shellcheck disable=SC2086 # a list of flags
  start node ${DAEMON_NODE_FLAGS:-} dist/src/daemon/main.js "$folder/settings.json"
  for _ in $(seq 100); do
    curl -sf "http://127.0.0.1:$operator/readyz" >/dev/null && break
    sleep 0.1
  done
  add daemon "$caller"
fi
sleep 1
node "$program" load "$seed" "$seconds" "$rounds" "$loads" "${variants[@]}"
