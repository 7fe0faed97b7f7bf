#!/usr/bin/env bash
# Runs all tests of the built project: first those of node's test runner, to
# which arguments are passed, then the checks with separate processes. With
# PROCESSES=0 the latter are left out.
set -euo pipefail
cd "$(dirname "$0")/.."
# The list comes from the sources: dist may hold output of deleted files.
mapfile -t sources < <(find src bench -name '*_test.ts' | sort)
files=()
for source in "${sources[@]}"; do
  files+=("dist/${source%.ts}.js")
done
node --test --test-concurrency=4 "$@" "${files[@]}"
if [ "${PROCESSES:-1}" = 1 ]; then
  for check in tests/processes/*.sh; do
    echo "# $check"
    bash "$check"
  done
fi
