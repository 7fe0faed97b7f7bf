#!/usr/bin/env bash
# Guards against a VM that wakes up from a long pause and acts on stale state:
# stops one daemon with SIGSTOP for longer than its peers wait before they call
# it dead, under light load, and lets it go on. No non-idempotent request may
# run twice, no answer may be wrong, and the VM must answer again.
#
# Usage: freeze_vm.sh [seed]. Needs a build. Makes no timing assertion.
. "$(dirname "$0")/../lib/fleet.sh"
fleet_open "${1:-1}" 3 --duration-ms 13000 --base-rate 30 --peak-rate 40
fleet_start
await_views 3
caller_start
sleep 2
signal STOP daemon-2
sleep 7
signal CONT daemon-2
caller_wait
grep -q 'this process paused' "$folder/daemon-2.log" ||
  fail 'daemon-2 did not notice its pause'
answers 2
node $checkers/truthful_answers.js "$folder" 200
