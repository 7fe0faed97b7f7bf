#!/usr/bin/env bash
# Guards against one failed process that stops the service or makes work run
# twice: kills one daemon, one target process and the platform stand-in in turn
# under light load, then checks that the others still answer, that no
# non-idempotent request ran twice and that no answer was wrong.
#
# Usage: kill_parts.sh [seed]. Needs a build. Makes no timing assertion.
. "$(dirname "$0")/../lib/fleet.sh"
fleet_open "${1:-1}" 3 --duration-ms 16000 --base-rate 30 --peak-rate 40
edit caller.json 'json.maxSendings = 6;'
fleet_start
await_views 3
caller_start
sleep 3
signal KILL platform
sleep 3
signal KILL daemon-1
sleep 4
signal KILL targets-2
caller_wait
answers 2
answers 3
node $checkers/truthful_answers.js "$folder" 300
