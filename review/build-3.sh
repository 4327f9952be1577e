#!/bin/bash
# The stand-ins of cases 11 to 15 are plain modules of Node without dependencies; this checks that they can be loaded.
set -e
cd "$(dirname "$0")/stand-ins-3"
for file in *.mjs; do node --check "$file"; done
