#!/usr/bin/env bash
# The main job in one command: installs, builds, starts a small fleet, sends a
# short lunch hour, prints a summary and stops everything.
#
# Usage: lunch_hour.sh [options of dist/src/standins/fleet_main.js]
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d node_modules ] || npm ci
npm run --silent build
folder=$(mktemp -d)
finish() {
  bash scripts/stop_fleet.sh "$folder" || true
  rm -rf "$folder"
}
trap finish EXIT
bash scripts/start_fleet.sh "$folder" --base-port "$(bash scripts/free_base_port.sh)" "$@"
echo "lunch hour: sending requests"
node dist/src/standins/caller_main.js "$folder/caller.json"
