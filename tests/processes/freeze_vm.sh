#!/usr/bin/env bash
# Guards against a VM that acts on stale state after a long pause. Under light
# load, one daemon is paused with SIGSTOP for longer than the time after which
# peers declare it dead, and resumed. No non-idempotent request may run twice, no
# answer may be wrong, and the VM must answer again.
#
# Usage: freeze_vm.sh [seed]. Needs a build. Makes no timing assertion.
. "$(dirname "$0")/../lib/fleet.sh"
fleet_open "${1:-1}" 3 --duration-ms 13000 --base-rate 30 --peak-rate 40
fleet_start
await_ready_members 3
caller_start
sleep 2
signal STOP daemon-2
sleep 7
signal CONT daemon-2
caller_wait
grep -q 'this process paused' "$folder/daemon-2.log" ||
  fail 'daemon-2 did not notice its pause'
expect_answer 2
node $checkers/truthful_answers.js "$folder" 200
