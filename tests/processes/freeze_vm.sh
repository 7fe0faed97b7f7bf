#!/usr/bin/env bash
# Guards against a VM that wakes up from a long pause and acts on stale state:
# stops one daemon with SIGSTOP for longer than its peers wait before they call
# it dead, under light load, and lets it go on. No non-idempotent request may
# run twice, no answer may be wrong, and the VM must answer again.
#
# Usage: freeze_vm.sh [seed]. Needs a build. Makes no timing assertion.
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
  --base-port "$base" --duration-ms 13000 --base-rate 30 --peak-rate 40
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
frozen=$(cat "$folder/daemon-2.pid")
kill -STOP "$frozen"
sleep 7
kill -CONT "$frozen"
failed=0
wait "$caller" || failed=$?
cat "$folder/summary.txt"
if [ "$failed" -ne 0 ]; then
  echo "the caller found double runs or wrong answers" >&2
  exit 1
fi
grep -q 'this process paused' "$folder/daemon-2.log" || {
  echo "daemon-2 did not notice its pause" >&2
  exit 1
}
port=$(node -p "JSON.parse(fs.readFileSync('$folder/daemon-2.json','utf8')).caller.port")
curl -sf --retry 5 --retry-all-errors -H 'x-service: growers-desk' \
  "http://127.0.0.1:$port/price" >/dev/null || {
  echo "daemon-2 does not answer" >&2
  exit 1
}
node -p '"passed: " + Object.values(JSON.parse(require("node:fs").readFileSync(process.argv[1] + "/result.json", "utf8")).kinds).reduce((sum, kind) => sum + kind.answered, 0) + " answers, 0 double runs, 0 wrong answers"' "$folder"
