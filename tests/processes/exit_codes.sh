#!/usr/bin/env bash
# Guards against a daemon that fails to start without an actionable message:
# invalid settings, bad usage and ports in use must end with the documented exit
# code and one plain line for each error, without a stack trace.
#
# Usage: exit_codes.sh. Needs a build. Makes no timing assertion.
set -euo pipefail
cd "$(dirname "$0")/../.."
folder=$(mktemp -d)
daemon_pid=
finish() {
  if [ -n "$daemon_pid" ]; then kill -KILL "$daemon_pid" 2>/dev/null || true; fi
  rm -rf "$folder"
}
trap finish EXIT

fail() {
  echo "exit codes: $1" >&2
  cat "$folder/out" >&2
  exit 1
}

# expect CODE TEXT ARGUMENTS...: runs the daemon and checks exit code and output.
expect() {
  local code=$1 text=$2 status=0
  shift 2
  timeout 30 node dist/src/daemon/main.js "$@" >"$folder/out" 2>&1 || status=$?
  [ "$status" = "$code" ] || fail "exit code $status instead of $code for: $*"
  grep -qF -- "$text" "$folder/out" || fail "no message '$text' for: $*"
  if grep -qE '(^|\\n) +at ' "$folder/out"; then fail "stack trace for: $*"; fi
}

# settings FILE CALLER_PORT OPERATOR_PORT PEER_PORT: writes a settings file.
settings() {
  cat >"$folder/$1" <<JSON
{
  "vmId": "e-01",
  "failureDomain": "a",
  "caller": {"host": "127.0.0.1", "port": $2},
  "operator": {"host": "127.0.0.1", "port": $3},
  "peer": {"host": "127.0.0.1", "port": $4},
  "platformUrls": ["http://127.0.0.1:9"],
  "leaveDelayMs": 0
}
JSON
}

expect 0 'usage: sycamorepitchd' --help
expect 0 "$(node -p 'JSON.parse(fs.readFileSync("package.json")).version')" --version
expect 2 'usage: sycamorepitchd'
expect 2 'usage: sycamorepitchd' --unknown
expect 2 "$folder/none.json: cannot be read (ENOENT)" "$folder/none.json"
settings wrong.json 8080 9090 '"x"'
expect 2 "$folder/wrong.json:6: peer.port: found \"x\", expected a whole number from 0 to 65535" \
  "$folder/wrong.json"

base=$(bash scripts/free_base_port.sh)
settings first.json "$base" $((base + 1)) $((base + 2))
node dist/src/daemon/main.js "$folder/first.json" >"$folder/first.log" 2>&1 &
daemon_pid=$!
until grep -q 'listens, callers' "$folder/first.log"; do
  kill -0 "$daemon_pid" || fail 'the first daemon exited'
  sleep 0.1
done
settings caller.json "$base" $((base + 3)) $((base + 4))
settings operator.json $((base + 3)) $((base + 1)) $((base + 4))
settings peer.json $((base + 3)) $((base + 4)) $((base + 2))
port=$base
for listener in caller operator peer; do
  expect 1 "process: cannot listen on 127.0.0.1 port $port, the port is in use" \
    "$folder/$listener.json"
  grep -qF "change $listener.host and $listener.port" "$folder/out" ||
    fail "$listener: the setting is not named"
  port=$((port + 1))
done

kill -TERM "$daemon_pid"
status=0
wait "$daemon_pid" || status=$?
daemon_pid=
[ "$status" = 0 ] || fail "exit code $status after a planned shutdown"
echo 'exit codes: all as documented'
