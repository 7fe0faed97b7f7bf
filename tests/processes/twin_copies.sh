#!/usr/bin/env bash
# Guards against a booking that runs twice because two daemons receive copies of
# it at the same time (I4). Both copies are sent as first attempts, as after a
# double click. No faults are injected: while VMs disagree on the home VM of a
# key, two first attempts cannot be told apart.
#
# Usage: twin_copies.sh [seed]. Needs a build. Makes no timing assertion.
. "$(dirname "$0")/../lib/fleet.sh"
fleet_open "${1:-12}" 3 --duration-ms 4000 --base-rate 60 --peak-rate 60
edit caller.json '
  json.twinShare = 1;
  json.twinAttempt = 1;
  json.kinds = json.kinds.filter(kind => !kind.idempotent);'
fleet_start
await_ready_members 3
caller_start
caller_wait
node $checkers/truthful_answers.js "$folder" 200 200
