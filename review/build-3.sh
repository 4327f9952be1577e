#!/bin/bash
# The stand-ins of this review are plain modules of Node without dependencies; this checks that they can be loaded.
set -e
cd "$(dirname "$0")/stand-ins-3"
for file in *.mjs; do node --check "$file"; done
