#!/usr/bin/env bash
# Bundles the daemon for the users' platform into one file. On a VM with a fifth
# of a core, loading separate modules takes longer than an outage may last.
set -euo pipefail
cd "$(dirname "$0")/.."
npx esbuild platform/main.ts --bundle --platform=node --target=node20 \
  --format=esm --minify-syntax --minify-whitespace --keep-names \
  --alias:undici=./scripts/undici_client.mjs \
  --alias:node:http2=./scripts/unused_builtin.mjs \
  --alias:https=./scripts/unused_builtin.mjs \
  --alias:zlib=./scripts/unused_builtin.mjs \
  --alias:node:zlib=./scripts/unused_builtin.mjs \
  --alias:cluster=./scripts/unused_builtin.mjs \
  --outfile=target/sycamorepitchd.mjs --log-level=warning \
  --external:dtrace-provider --external:moment --external:mv \
  --external:safe-json-stringify --external:source-map-support \
  --banner:js="import {createRequire} from 'node:module'; const require = createRequire(import.meta.url);"
