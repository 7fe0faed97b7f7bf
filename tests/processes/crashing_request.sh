#!/usr/bin/env bash
# Guards against a request that crashes each target that runs it and is resent
# through all daemons in turn. At most two targets may crash before all daemons
# refuse the request. A popular read that was in flight at the crashes must still
# be served.
#
# Usage: crashing_request.sh [seed]. Needs a build. Copies are 2.5 s apart: an
# implication reaches all VMs within 2 s (design page, section 3.8).
. "$(dirname "$0")/../lib/fleet.sh"
fleet_open "${1:-61}" 4 --duration-ms 16000 --base-rate 80 --peak-rate 80
edit caller.json '
  json.kinds = json.kinds.filter(kind => kind.name === "price-check");
  json.maxSendings = 6;'
fleet_start
await_ready_members 4
target_control 1 '{"action": "slow", "value": 5}'
target_control 2 '{"action": "slow", "value": 5}'
caller_start
sleep 1.5
# send_poison VM SUFFIX: sends the crashing request through a daemon.
send_poison() {
  curl -s -m 5 -o /dev/null -w "$1 %{http_code} %header{x-verdict} %header{x-refusal-reason}\n" \
    -H 'x-service: growers-desk' -H 'x-poison: 1' -H "x-request-id: poison-$2" \
    "http://127.0.0.1:$(caller_port "$1")/price?lot=7" | tee -a "$folder/poison.txt"
}
for copy in 1 2 3 4; do
  send_poison "$copy" "$copy"
  sleep "${RESEND_GAP:-2.5}"
done
for vm in 1 2 3 4; do send_poison "$vm" "last-$vm"; done
caller_wait
node $checkers/crashes.js "$folder" 4
node $checkers/truthful_answers.js "$folder" 500
