#!/usr/bin/env bash
# Builds the stand-ins of the third review. They are plain modules of Node.js, so
# only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-3/*.mjs review/1[1-5]/*.mjs; do
  node --check "$file"
done
