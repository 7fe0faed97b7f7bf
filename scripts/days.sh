#!/usr/bin/env bash
# Runs the standard days of deployments on the users' platform and prints score,
# worth and rule violations of each.
#
# Usage: days.sh [-s SITE]... [-q] [reason]. SITE is the name of a deployment, by
# default each one; -q plays the light days only. The journal records the reason.
set -euo pipefail
cd "$(dirname "$0")/.."
system=../given/kit/more/system
program=$system/more/bench-d17393/bin/fleetbench
declare -A files=(
  [quabbin-blanks]=further
  [quabbin-blanks-grown]=further-grown
  [htw-chipyard-large]=large
  [htw-chipyard]=sites
  [kbm-gateway]=sites
  [htw-chipyard-grown]=grown
  [kbm-gateway-grown]=grown
)
sites=()
options=(--jobs "$(($(nproc) / 2))")
while getopts s:q option; do
  case $option in
    s) sites+=("$OPTARG") ;;
    q) options+=(--quick) ;;
    *) exit 2 ;;
  esac
done
shift $((OPTIND - 1))
if [ ${#sites[@]} -eq 0 ]; then
  sites=(quabbin-blanks quabbin-blanks-grown htw-chipyard-large htw-chipyard
    kbm-gateway htw-chipyard-grown kbm-gateway-grown)
fi
for site in "${sites[@]}"; do
  if [ -z "${files[$site]:-}" ]; then
    echo "days: unknown deployment $site; known: ${!files[*]}" >&2
    exit 2
  fi
done
if [ ! -x "$program" ]; then
  echo "days: the users' benchmark was not found, so no day was run" >&2
  exit 3
fi
why="${*:-the standard days}"
for site in "${sites[@]}"; do
  "$program" score "$system/${files[$site]}/$site.toml" "${options[@]}" --why "$why"
done
