#!/usr/bin/env bash
# Guards against probes beyond the budget (I1) while daemons are killed and
# replaced at the same address, one is added before another one exits, one is
# paused, and the fleet is partitioned. At most 5 VMs are alive at once, which is
# the ceiling in the preset.
#
# Usage: probe_budget.sh [seed]. Needs a build. Makes no timing assertion.
. "$(dirname "$0")/../lib/fleet.sh"
fleet_open "${1:-51}" 5 --duration-ms 18000 --base-rate 30 --peak-rate 60
edit config.json '
  json.presets.lunch.vmCeiling = 5;
  for (const service of Object.values(json.presets.lunch.services)) {
    service.probeBudgetPerSecond = 30;
  }'
# The fifth daemon starts later.
mv "$folder/daemon-5.json" "$folder/late-5.json"
edit caller.json 'json.entries.pop();'
fleet_start
caller_start
sleep 4
signal KILL daemon-1
daemon_start 1
sleep 2
relay_control '{"action": "cut", "halves": [["e-01", "e-02"], ["e-03", "e-04", "e-05"]]}'
sleep 2
signal KILL daemon-3
daemon_start 3
sleep 1
signal STOP daemon-4
sleep 2
signal CONT daemon-4
relay_control '{"action": "heal"}'
mv "$folder/late-5.json" "$folder/daemon-5.json"
daemon_start 5
await_ready 5
signal TERM daemon-2
caller_wait
# 4 VMs with 60 probes in 10 s each; a quarter less while some are down.
node $checkers/probes.js "$folder" 30 180
