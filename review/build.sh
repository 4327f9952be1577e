#!/usr/bin/env bash
# Checks the stand-ins that the scripts start. They are plain modules of Node.js and need no compilation.
set -euo pipefail
cd "$(dirname "$0")"
for file in support/*.mjs [1-5]/*.mjs further/*/*.mjs; do node --check "$file"; done
