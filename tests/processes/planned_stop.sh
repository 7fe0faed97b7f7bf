#!/usr/bin/env bash
# Guards against planned shutdowns that abort requests: stops one daemon after
# the other with SIGTERM under light load and starts it again. Each must end
# with code 0, no caller may lose an answer, and nothing may run twice.
#
# Usage: planned_stop.sh [seed]. Needs a build. Makes no timing assertion.
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
  --base-port "$base" --duration-ms 14000 --base-rate 30 --peak-rate 40
node -e '
  const fs = require("node:fs");
  const file = process.argv[1] + "/caller.json";
  const settings = JSON.parse(fs.readFileSync(file, "utf8"));
  settings.jsonPath = process.argv[1] + "/result.json";
  fs.writeFileSync(file, JSON.stringify(settings));
' "$folder"
node dist/src/standins/caller_main.js "$folder/caller.json" >"$folder/summary.txt" 2>&1 &
caller=$!
sleep 2
for vm in 1 2; do
  pid=$(cat "$folder/daemon-$vm.pid")
  echo "stopping daemon-$vm"
  kill -TERM "$pid"
  # A second signal must not cut requests.
  kill -TERM "$pid"
  while kill -0 "$pid" 2>/dev/null; do sleep 0.1; done
  grep -q 'all requests are finished' "$folder/daemon-$vm.log" || {
    echo "daemon-$vm did not finish its shutdown" >&2
    tail -n 5 "$folder/daemon-$vm.log" >&2
    exit 1
  }
  nohup node dist/src/daemon/main.js "$folder/daemon-$vm.json" \
    >"$folder/daemon-$vm.log" 2>&1 </dev/null &
  echo $! >"$folder/daemon-$vm.pid"
  sleep 2
done
failed=0
wait "$caller" || failed=$?
cat "$folder/summary.txt"
if [ "$failed" -ne 0 ]; then
  echo "the caller found double runs or wrong answers" >&2
  exit 1
fi
node -e '
  const fs = require("node:fs");
  const result = JSON.parse(fs.readFileSync(process.argv[1] + "/result.json", "utf8"));
  const kinds = Object.values(result.kinds);
  const sum = name => kinds.reduce((total, kind) => total + kind[name], 0);
  if (sum("answered") < 250) throw new Error("only " + sum("answered") + " answers");
  if (sum("noAnswers") > 0) throw new Error(sum("noAnswers") + " requests were cut off");
  console.log("passed: " + sum("answered") + " answers, no request cut off");
' "$folder"
