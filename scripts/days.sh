#!/usr/bin/env bash
# Runs the standard days of both sites of the users' platform and prints score,
# worth and rule violations of each. Arguments: reason for the run, which the
# journal records.
set -euo pipefail
cd "$(dirname "$0")/.."
system=../given/kit/more/system
if [ ! -x "$system/bin/fleetbench" ]; then
  echo "days: the users' benchmark was not found, so no day was run" >&2
  exit 3
fi
why="${*:-the standard days of both sites}"
for site in htw-chipyard kbm-gateway; do
  "$system/bin/fleetbench" score "$system/sites/$site.toml" --jobs 4 --why "$why"
done
