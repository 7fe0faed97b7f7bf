#!/usr/bin/env bash
# A planned stop must not lose answers on connections whose requester has sent
# further requests ahead. Exit status: 1 broken, 0 held, 2 could not run.
# TROUBLE=0 does the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
exec node review/11/case.mjs
