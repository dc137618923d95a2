#!/usr/bin/env bash
# Checks the stand-ins and the cases 6 to 10. They are plain JavaScript, so there is nothing to compile;
# they use no stand-in of the project.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.js 6/*.js 7/*.js 8/*.js 9/*.js 10/*.js; do
  node --check "$file"
done
