#!/usr/bin/env bash
# Starts a small fleet on loopback ports, with a platform stand-in, target
# processes and daemons. The settings are generated into a folder.
#
# Usage: start_fleet.sh FOLDER [options of dist/src/standins/fleet_main.js]
# Needs a build. Process ids are written to FOLDER/NAME.pid, logs to
# FOLDER/NAME.log. stop_fleet.sh FOLDER stops these processes and no others.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$1
shift
mkdir -p "$folder"
folder=$(cd "$folder" && pwd)
node dist/src/standins/fleet_main.js "$@" "$folder"

start_process() {
  local name=$1
  shift
  nohup "$@" >"$folder/$name.log" 2>&1 </dev/null &
  echo $! >"$folder/$name.pid"
}

# json_value FILE PATH: prints a value of a JSON file.
json_value() { node -p "JSON.parse(fs.readFileSync('$1','utf8')).$2"; }

platform_url=$(json_value "$folder/daemon-1.json" 'platformUrls[0]')
start_process platform node dist/src/standins/platform_main.js \
  --port "${platform_url##*:}" --config "$folder/config.json" --vms "$folder/vms.json"
for file in "$folder"/targets-*.json; do
  start_process "$(basename "$file" .json)" node dist/src/standins/target_main.js "$file"
done
for file in "$folder"/daemon-*.json; do
  start_process "$(basename "$file" .json)" node dist/src/daemon/main.js "$file"
done

# Waits until all daemons are ready.
for file in "$folder"/daemon-*.json; do
  port=$(json_value "$file" operator.port)
  for attempt in $(seq 300); do
    if curl -sf "http://127.0.0.1:$port/readyz" >/dev/null 2>&1; then
      continue 2
    fi
    sleep 0.1
  done
  echo "fleet: $(basename "$file" .json) did not become ready, see $folder" >&2
  tail -n 5 "${file%.json}.log" >&2
  exit 1
done
echo "fleet: ready, files in $folder"
