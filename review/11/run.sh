#!/usr/bin/env bash
# A planned stop must not lose answers on connections whose requester has sent
# further requests ahead. Exit status: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
exec node review/11/case.mjs
