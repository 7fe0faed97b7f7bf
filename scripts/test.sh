#!/usr/bin/env bash
# Runs all tests of the built project: first those of node's test runner, to
# which arguments are passed, then the checks with separate processes. With
# PROCESSES=0 the latter are left out.
set -euo pipefail
cd "$(dirname "$0")/.."
# The list comes from the sources: dist may hold output of deleted files.
mapfile -t sources < <(find src bench platform -name '*_test.ts' | sort)
files=()
for source in "${sources[@]}"; do
  files+=("dist/${source%.ts}.js")
done
# The time limit ends a test that waits for an event that never comes.
node --test --test-concurrency=4 --test-timeout=120000 "$@" "${files[@]}"
[ "${PROCESSES:-1}" = 1 ] || exit 0
# Each check takes ports of its own. Two at once keep the load of the machine low.
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
run_check() {
  local log="$1/$(basename "$2" .sh).log" status=0
  bash "$2" >"$log" 2>&1 || status=$?
  echo "# $2: exit code $status"
  cat "$log"
  if [ "$status" -ne 0 ] && grep -qxF "test: $2" KNOWN-RED.txt; then
    echo "# $2: known to fail, see KNOWN-RED.txt"
    return 0
  fi
  return "$status"
}
export -f run_check
printf '%s\0' tests/processes/*.sh |
  xargs -0 -n 1 -P 2 bash -c 'run_check "$@"' run_check "$folder"
