#!/usr/bin/env bash
# Guards against a single failed process that stops the service or causes a
# request to run twice. The platform stand-in, one daemon and one target process
# are killed in turn under light load. The other daemons must still answer, no
# non-idempotent request may run twice, and no answer may be wrong.
#
# Usage: kill_parts.sh [seed]. Needs a build. Makes no timing assertion.
. "$(dirname "$0")/../lib/fleet.sh"
fleet_open "${1:-1}" 3 --duration-ms 16000 --base-rate 30 --peak-rate 40
edit caller.json 'json.maxSendings = 6;'
fleet_start
await_ready_members 3
caller_start
sleep 3
signal KILL platform
sleep 3
signal KILL daemon-1
sleep 4
signal KILL targets-2
caller_wait
expect_answer 2
expect_answer 3
node $checkers/truthful_answers.js "$folder" 300
