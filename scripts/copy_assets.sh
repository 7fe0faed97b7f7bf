#!/usr/bin/env bash
# Copies source files that tsc does not emit (protocol definitions) to dist.
set -euo pipefail
cd "$(dirname "$0")/.."
while IFS= read -r file; do
  mkdir -p "dist/$(dirname "$file")"
  cp "$file" "dist/$file"
done < <(find src -name '*.proto')
