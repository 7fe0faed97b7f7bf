#!/usr/bin/env bash
# Stops the processes that start_fleet.sh started: SIGTERM first, and SIGKILL
# after 20 s for those that remain.
#
# Usage: stop_fleet.sh FOLDER
set -euo pipefail
folder=$1
# Daemons first, so that requests in flight can still finish.
for pattern in daemon targets platform; do
  pids=()
  for file in "$folder/$pattern"*.pid; do
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
    echo "fleet: process $pid did not end, killing it" >&2
    kill -KILL "$pid" 2>/dev/null || true
  done
done
