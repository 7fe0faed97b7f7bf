#!/usr/bin/env bash
# Runs all tests of the built project: first the unit tests with the test runner
# of Node.js, to which arguments are passed, then the checks with separate
# processes. PROCESSES=0 skips the latter.
set -euo pipefail
cd "$(dirname "$0")/.."
# Test files are listed from the sources, since dist may hold output of deleted files.
mapfile -t sources < <(find src bench platform -name '*_test.ts' | sort)
files=()
isolated_files=()
for source in "${sources[@]}"; do
  case $source in
    *_isolated_test.ts) isolated_files+=("dist/${source%.ts}.js") ;;
    *) files+=("dist/${source%.ts}.js") ;;
  esac
done
# Unit tests that KNOWN-RED.txt lists, as lines "test: FILE: NAME", and their files.
red_names=$(sed -n 's/^test: [^ ]*_test\.ts: //p' KNOWN-RED.txt)
mapfile -t red_files < <(sed -n 's|^test: \([^ ]*_test\)\.ts: .*|dist/\1.js|p' KNOWN-RED.txt | sort -u)
mapfile -t files < <(printf '%s\n' "${files[@]}" | grep -vxF "$(printf '%s\n' "${red_files[@]}" none)")
# The timeout ends a test that waits for an event that never happens.
node --test --test-concurrency=4 --test-timeout=120000 "$@" "${files[@]}"
# Runs a file with known failures. Any other failure counts, and so does a run
# that ends without a summary.
run_red_file() {
  local output failed
  echo "# $1: with known failures, see KNOWN-RED.txt"
  output=$(node --test-timeout=120000 "$1") || true
  echo "$output"
  failed=$(sed -n 's/^not ok [0-9]* - //p' <<<"$output" | grep -vxF "${red_names:-none}" || true)
  [ -z "$failed" ] && grep -q '^# tests' <<<"$output"
}
for file in "${red_files[@]}"; do
  run_red_file "$file"
done
[ "${PROCESSES:-1}" = 1 ] || exit 0
# Each check reserves its own ports. Only two run at once, to limit the load.
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
# run_check FOLDER SCRIPT: runs a check and prints its output when it has ended.
# Ignores a failure that KNOWN-RED.txt lists.
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
# Tests that measure the memory of a daemon under a crowd of callers, one after
# the other and apart from everything else.
bash scripts/bundle.sh
node --test --test-concurrency=1 --test-timeout=180000 "${isolated_files[@]}"
