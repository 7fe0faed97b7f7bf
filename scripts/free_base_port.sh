#!/usr/bin/env bash
# Prints the first port of a range of 400 ports without listeners, within 10000 to
# 29999. Ranges are tried in random order, so that concurrent runs rarely collide.
set -euo pipefail
for attempt in $(seq 100); do
  base=$((10000 + RANDOM % 50 * 400))
  if [ -z "$(awk -v low="$base" '
    function hex(text, i, value) {
      for (i = 1; i <= length(text); i++)
        value = value * 16 + index("0123456789ABCDEF", substr(text, i, 1)) - 1
      return value
    }
    FNR > 1 && $4 == "0A" {
      split($2, address, ":")
      port = hex(address[2])
      if (port >= low && port < low + 400) print port
    }' /proc/net/tcp /proc/net/tcp6 2>/dev/null)" ]; then
    echo "$base"
    exit 0
  fi
done
echo "no free range of ports" >&2
exit 1
