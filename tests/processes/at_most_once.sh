#!/usr/bin/env bash
# Guards against bookings that run twice and against false answers (I2, I3, I4).
# The caller resends bookings with the same key through other daemons, and sends
# 30 % of them through two daemons at once. Meanwhile target processes are killed
# between the halves of their responses, or truncate them; home VMs are killed
# and replaced at the same address; a daemon is paused past the deadlines of its
# requests; and the fleet is partitioned into two halves.
#
# Usage: at_most_once.sh [seed]. Needs a build. Makes no timing assertion.
. "$(dirname "$0")/../lib/fleet.sh"
fleet_open "${1:-11}" 4 --duration-ms 15000 --base-rate 60 --peak-rate 60
edit caller.json '
  json.twinShare = 0.3;
  json.maxSendings = 6;
  json.kinds = json.kinds.filter(kind => kind.bodyBytes > 0 || kind.name === "price-check");
  for (const kind of json.kinds) {
    kind.share = kind.idempotent ? 10 : 45;
    kind.timeoutMs = 1500;
    kind.headers = {"x-pad-bytes": "20000", "x-split-ms": "20"};
  }'
fleet_start
# Longer service times, so that requests are in flight when faults occur.
target_control 1 '{"action": "slow", "value": 10}'
target_control 2 '{"action": "slow", "value": 10}'
caller_start
sleep 1.5
signal KILL targets-1
sleep 0.5
targets_start 1
sleep 1
signal KILL daemon-2
daemon_start 2
sleep 1
target_control 2 '{"target": "t-02", "action": "truncate"}'
sleep 0.5
signal STOP daemon-3
sleep 3
signal CONT daemon-3
target_control 2 '{"target": "t-02", "action": "heal"}'
sleep 1
relay_control '{"action": "cut", "halves": [["e-01", "e-02"], ["e-03", "e-04"]]}'
sleep 2.5
relay_control '{"action": "heal"}'
sleep 1
signal KILL daemon-1
daemon_start 1
signal KILL targets-2
targets_start 2
caller_wait
node $checkers/truthful_answers.js "$folder" 300 100
