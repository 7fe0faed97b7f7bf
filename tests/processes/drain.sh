#!/usr/bin/env bash
# Guards against draining targets that receive new requests (I5). Four targets
# announce a drain by one sign each (load endpoint, header, refusal, VM list)
# while all readers of the platform but one are stale. Then a newer VM list,
# written before the drains, lists the first three targets as live.
#
# Usage: drain.sh [seed]. Needs a build. The bound is the 3 s of I5, by the clock
# of the target process.
. "$(dirname "$0")/../lib/fleet.sh"
fleet_open "${1:-21}" 4 --duration-ms 12000 --base-rate 100 --peak-rate 100
fleet_start
await_ready_members 4
reader=$(find_reader 4)
echo "only $reader sees new documents"
platform_mode "$(stale_readers_except "$reader" 4)"
caller_start
for target in t-01 t-02 t-07 t-08; do await_arrival "$target"; done
target_control 1 '{"target": "t-01", "action": "drain-by-load"}'
sleep 0.5
target_control 2 '{"target": "t-02", "action": "drain-by-header"}'
sleep 0.5
target_control 1 '{"target": "t-07", "action": "drain-by-refusal"}'
sleep 0.5
target_control 2 '{"target": "t-08", "action": "mark"}'
edit vms.json 'json.vms.find(vm => vm.id === "t-08").state = "leaving";'
publish vms vms.json
sleep 2
edit vms.json 'json.vms.find(vm => vm.id === "t-03").failureDomain = "b";'
publish vms vms.json
caller_wait
grep -q "adopted vms revision 0, platform version 4" "$folder"/daemon-*.log ||
  fail "the second VM list was not adopted"
node $checkers/drain.js "$folder" t-01 t-02 t-07 t-08
