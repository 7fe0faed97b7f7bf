#!/usr/bin/env bash
# Demonstrates the product in one command: installs dependencies, builds, starts a
# small fleet, sends requests with a short load peak, prints a summary and stops
# all processes.
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
