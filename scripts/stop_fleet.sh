#!/usr/bin/env bash
# Stops the processes that start_fleet.sh started: sends SIGTERM, then SIGKILL to
# those that have not exited after 20 s.
#
# Usage: stop_fleet.sh FOLDER
set -euo pipefail
folder=$1
# Stops daemons before targets, so that requests in flight can finish.
for prefix in daemon targets platform; do
  pids=()
  for file in "$folder/$prefix"*.pid; do
    [ -e "$file" ] || continue
    pid=$(cat "$file")
    rm -f "$file"
    if kill -TERM "$pid" 2>/dev/null; then pids+=("$pid"); fi
  done
  for pid in "${pids[@]}"; do
    for attempt in $(seq 200); do
      kill -0 "$pid" 2>/dev/null || continue 2
      sleep 0.1
    done
    echo "fleet: process $pid did not exit, sending SIGKILL" >&2
    kill -KILL "$pid" 2>/dev/null || true
  done
done
