#!/usr/bin/env bash
# Guards against planned shutdowns that abort requests. Under light load, two
# daemons in turn are stopped with SIGTERM and started again, while the caller
# ignores /readyz. Each daemon must complete its shutdown, no request may be left
# without an answer, and none may run twice.
#
# Usage: planned_stop.sh [seed]. Needs a build. Makes no timing assertion.
. "$(dirname "$0")/../lib/fleet.sh"
fleet_open "${1:-1}" 3 --duration-ms 14000 --base-rate 30 --peak-rate 40
edit caller.json "json.jsonPath = '$folder/result.json';"
fleet_start
await_ready_members 3
caller_start
sleep 2
for vm in 1 2; do
  signal TERM "daemon-$vm"
  # A second signal must not abort requests.
  signal TERM "daemon-$vm"
  await_end "daemon-$vm"
  grep -q 'all requests are finished' "$folder/daemon-$vm.log" ||
    fail "daemon-$vm did not finish its shutdown"
  daemon_start "$vm"
  sleep 2
done
caller_wait
node -e '
  const result = JSON.parse(fs.readFileSync(process.argv[1], "utf8"));
  const noAnswerCount = Object.values(result.kinds).reduce((sum, kind) => sum + kind.noAnswers, 0);
  if (noAnswerCount > 0) throw new Error(noAnswerCount + " requests received no answer");
' "$folder/result.json"
node $checkers/truthful_answers.js "$folder" 250
