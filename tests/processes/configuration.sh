#!/usr/bin/env bash
# Guards against configuration that is lost, reverts to an older version or
# differs between VMs (I7). Presets are published while all readers of the
# platform but one are stale, right before an outage, while the fleet is
# partitioned into two halves, and by two operators with the same revision.
#
# Usage: configuration.sh [seed]. Needs a build. The bound is the 5 s of I7, by
# the clock of the program that polls /status.
. "$(dirname "$0")/../lib/fleet.sh"
fleet_open "${1:-41}" 5
fleet_start
await_ready_members 5
start_status_watch 5

# write_revision REVISION [CAPACITY]: writes config-REVISION-CAPACITY.json, whose
# queue capacity is the sum of both.
write_revision() {
  edit config.json "json.revision = $1;
    json.presets.lunch.services['growers-desk'].queueCapacity = ${2:-100} + $1;"
  cp "$folder/config.json" "$folder/config-$1-${2:-100}.json"
}

reader=$(find_reader 5)
echo "only $reader sees new documents: revision 2"
platform_mode "$(stale_readers_except "$reader" 5)"
write_revision 2
publish config config-2-100.json
await_revision all 2 5

echo 'outage right after the publication: revision 3'
write_revision 3
publish config config-3-100.json
await_revision any 3 5
platform_mode '{"mode": "outage"}'
await_revision all 3 5

echo 'the platform serves the first publication again: stale'
platform_mode '{"mode": "stale", "staleReaders": []}'
sleep 1

echo 'partition into two halves: revision 4'
relay_control '{"action": "cut", "halves": [["e-01", "e-02"], ["e-03", "e-04", "e-05"]]}'
platform_mode '{"mode": "normal"}'
write_revision 4
publish config config-4-100.json
await_revision any 4 5
sleep 3

echo 'two operators publish during the partition, one in each half first: revision 5'
platform_mode "$(stale_readers_except "$(find_reader 5)" 5)"
write_revision 5 200
write_revision 5 300
publish config config-5-200.json
await_revision any 5 5
platform_mode '{"staleReaders": []}'
publish config config-5-300.json
sleep 1
relay_control '{"action": "heal"}'
await_revision all 5 5

echo 'two operators publish at the same instant: revision 6'
write_revision 6 400
write_revision 6 500
publish config config-6-400.json &
publish config config-6-500.json
wait $!
await_revision all 6 5
# Long enough for a stale version to return by gossip.
sleep 2
stop_status_watch 5
node $checkers/versions.js "$folder/status.log" 5 6 \
  --within 2 --within 3 --within 6 --superseded 5
