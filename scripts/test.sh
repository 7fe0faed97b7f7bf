#!/usr/bin/env bash
# Runs all tests of the built project; arguments are passed to node's test runner.
set -euo pipefail
cd "$(dirname "$0")/.."
# The list comes from the sources: dist may hold output of deleted files.
mapfile -t sources < <(find src bench -name '*_test.ts' | sort)
files=()
for source in "${sources[@]}"; do
  files+=("dist/${source%.ts}.js")
done
exec node --test --test-concurrency=4 "$@" "${files[@]}"
