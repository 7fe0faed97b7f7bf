#!/usr/bin/env bash
# Plays the standard days of both sites of the users' platform: score, worth and
# broken rules of each. Arguments: the reason for the run, for the journal.
set -euo pipefail
cd "$(dirname "$0")/.."
system=../given/kit/more/system
if [ ! -x "$system/bin/fleetbench" ]; then
  echo "days: the users' bench is not here, so no day was played" >&2
  exit 3
fi
why="${*:-the standard days of both sites}"
for site in htw-chipyard kbm-gateway; do
  "$system/bin/fleetbench" score "$system/sites/$site.toml" --jobs 4 --why "$why"
done
