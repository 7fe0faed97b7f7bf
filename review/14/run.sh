#!/usr/bin/env bash
# Servers must stop work on idempotent requests whose requester has left, also if
# that one had sent further requests on its connection. Exit status: 1 broken,
# 0 held, 2 could not run.
# TROUBLE=0 does the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
exec node review/14/case.mjs
