#!/usr/bin/env bash
# Case 7; see claim.txt. Exit status: 1 if the rule was broken, 0 if it held, 2
# if the case could not run.
#
# With TROUBLE=0 it does the same without the disruption, and must exit with 0.
set -uo pipefail
cd "$(dirname "$0")/../.."
export TROUBLE="${TROUBLE:-1}"
exec node review/7/case.mjs
