#!/usr/bin/env bash
# Guards against one failed process that stops the service or makes work run
# twice: kills one daemon, one target process and the platform stand-in in turn
# under light load, then checks that the others still answer, that no
# non-idempotent request ran twice and that no answer was wrong.
#
# Usage: kill_parts.sh [seed]. Needs a build. Makes no timing assertion.
set -euo pipefail
cd "$(dirname "$0")/../.."
seed=${1:-1}
base=$(bash scripts/free_base_port.sh)
folder=$(mktemp -d)
finish() {
  bash scripts/stop_fleet.sh "$folder" || true
  if [ "${KEEP:-0}" = 1 ]; then echo "files kept in $folder"; else rm -rf "$folder"; fi
}
trap finish EXIT

bash scripts/start_fleet.sh "$folder" --seed "$seed" --vms 3 \
  --base-port "$base" --duration-ms 16000 --base-rate 30 --peak-rate 40
node -e '
  const fs = require("node:fs");
  const file = process.argv[1] + "/caller.json";
  const settings = JSON.parse(fs.readFileSync(file, "utf8"));
  settings.jsonPath = process.argv[1] + "/result.json";
  settings.maxSendings = 6;
  fs.writeFileSync(file, JSON.stringify(settings));
' "$folder"

kill_part() {
  echo "killing $1"
  kill -KILL "$(cat "$folder/$1.pid")"
  rm "$folder/$1.pid"
}

node dist/src/standins/caller_main.js "$folder/caller.json" >"$folder/summary.txt" 2>&1 &
caller=$!
sleep 3
kill_part platform
sleep 3
kill_part daemon-1
sleep 4
# The ledger of the killed process is lost with it, so it is read first: work
# that ran there must not run again elsewhere.
curl -s "http://127.0.0.1:$((base + 2))/ledger" >"$folder/ledger-before.json"
kill_part targets-2
failed=0
wait "$caller" || failed=$?
cat "$folder/summary.txt"
if [ "$failed" -ne 0 ]; then
  echo "the caller found double runs or wrong answers" >&2
  exit 1
fi
for vm in 2 3; do
  port=$(node -p "JSON.parse(fs.readFileSync('$folder/daemon-$vm.json','utf8')).caller.port")
  curl -sf --retry 5 --retry-all-errors -H 'x-service: growers-desk' \
    "http://127.0.0.1:$port/price" >/dev/null || {
    echo "daemon-$vm does not answer" >&2
    exit 1
  }
done
node -e '
  const fs = require("node:fs");
  const folder = process.argv[1];
  const result = JSON.parse(fs.readFileSync(folder + "/result.json", "utf8"));
  const kinds = Object.values(result.kinds);
  const sum = name => kinds.reduce((total, kind) => total + kind[name], 0);
  const answered = sum("answered");
  if (answered < 300) throw new Error("only " + answered + " answers");
  if (sum("wrong") > 0) throw new Error("wrong answers");
  if (result.ledger.doubleRuns.length > 0) throw new Error("double runs");
  const before = JSON.parse(fs.readFileSync(folder + "/ledger-before.json", "utf8"));
  const overlap = Object.keys(before.runs).filter(id => result.onceRuns[id] > 0);
  if (overlap.length > 0) throw new Error("ran at a killed target and again: " + overlap);
  console.log("passed: " + answered + " answers, 0 double runs, 0 wrong answers");
' "$folder"
