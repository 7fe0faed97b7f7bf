#!/usr/bin/env bash
# Measures the cost of whole daemons on loopback: processor time, memory, gossip
# bytes, probes and platform calls, first without callers, then under light load.
# Usage: bench/daemon_cost.sh [seed] [VM counts] [requests per second and VM] [seconds]
#   for example: bench/daemon_cost.sh 1 "6 12 24" 20 20
# Needs a build (npm run build).
set -euo pipefail
cd "$(dirname "$0")/.."
seed=${1:-1} sizes=${2:-6 12 24} rate=${3:-20} seconds=${4:-20}
program=dist/bench/daemon_cost.js
# Compilation and the first garbage collections end before the measurement.
warm_up_seconds=10
folder=$(mktemp -d)
caller=
stop() {
  if [ -n "$caller" ]; then kill -TERM "$caller" 2>/dev/null || true; fi
  for fleet in "$folder"/fleet-*; do
    if [ -d "$fleet" ]; then bash scripts/stop_fleet.sh "$fleet"; fi
  done
  rm -rf "$folder"
}
trap stop EXIT

for size in $sizes; do
  fleet=$folder/fleet-$size
  total=$((size * rate))
  bash scripts/start_fleet.sh "$fleet" --vms "$size" --seed "$seed" \
    --base-port "$(bash scripts/free_base_port.sh)" \
    --base-rate "$total" --peak-rate "$total" \
    --duration-ms $(((seconds + 5) * 1000)) >/dev/null
  sleep "$warm_up_seconds"
  node "$program" measure "$fleet" "$seconds" "$folder/idle.jsonl"
  if [ "$rate" -gt 0 ]; then
    node dist/src/standins/caller_main.js "$fleet/caller.json" >"$folder/caller.txt" &
    caller=$!
    sleep 3
    node "$program" measure "$fleet" "$seconds" "$folder/loaded.jsonl"
    wait "$caller"
    caller=
  fi
  bash scripts/stop_fleet.sh "$fleet"
  rm -rf "$fleet"
done
echo "daemon cost: seed $seed, $seconds s each, load average $(cut -d ' ' -f 1-3 /proc/loadavg), $(nproc) processors"
node "$program" table "$folder/idle.jsonl" "without callers"
if [ "$rate" -gt 0 ]; then
  node "$program" table "$folder/loaded.jsonl" "$rate requests per second and VM"
  node "$program" calls "$folder/idle.jsonl" "$folder/loaded.jsonl"
fi
