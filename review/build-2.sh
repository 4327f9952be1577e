#!/usr/bin/env bash
# Prepares what the scripts of the cases 6 to 10 start beside the gateways. The stand-ins are plain JavaScript modules
# without dependencies, so there is nothing to compile: their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for module in stand-ins-2/*.mjs [0-9]*/run.mjs; do
  [ -e "$module" ] || continue
  node --check "$module"
done
