#!/usr/bin/env bash
# Case 7; see claim.txt. Exit status: 1 if the rule was broken, 0 if it held, 2
# if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/../.."
exec node review/7/case.mjs
