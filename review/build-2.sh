#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are plain modules of Node.js,
# which need no compiler; this checks that each can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
shopt -s nullglob
for file in review/lib-2/*.mjs review/{6,7,8,9,10}/*.mjs; do
  node --check "$file"
done
