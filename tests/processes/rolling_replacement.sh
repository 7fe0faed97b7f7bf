#!/usr/bin/env bash
# Guards against planned shutdowns that abort requests or lose configuration (I6,
# I7). All daemons are stopped with SIGTERM and replaced in turn, under light load
# and during an outage of the platform. The caller follows /readyz, like a load
# balancer.
#
# Usage: rolling_replacement.sh [seed]. Needs a build. Makes no timing assertion.
. "$(dirname "$0")/../lib/fleet.sh"
fleet_open "${1:-31}" 3 --duration-ms 17000 --base-rate 50 --peak-rate 50
edit caller.json '
  json.readyPorts = json.entries.map(entry => entry.port + 50);
  json.maxSendings = 1;
  const long = json.kinds.find(kind => kind.name === "batch-check");
  long.share = 4;
  long.timeoutMs = 10000;'
fleet_start
await_ready_members 3
start_status_watch 3
edit config.json 'json.revision = 7;'
publish config config.json
await_revision all 7 3
platform_mode '{"mode": "outage"}'
# Longer service times, so that requests are in flight at each shutdown.
target_control 1 '{"action": "slow", "value": 5}'
target_control 2 '{"action": "slow", "value": 5}'
caller_start
sleep 1
for vm in 1 2 3; do
  signal TERM "daemon-$vm"
  await_end "daemon-$vm"
  grep -q 'all requests are finished' "$folder/daemon-$vm.log" ||
    fail "daemon-$vm did not finish its shutdown"
  daemon_start "$vm"
  await_ready "$vm"
done
caller_wait
stop_status_watch 3
node $checkers/rolling.js "$folder" 300
node $checkers/truthful_answers.js "$folder" 300
node $checkers/versions.js "$folder/status.log" 3 7
