#!/usr/bin/env bash
# The stand-ins are plain JavaScript below review/lib and need no build. The gateway comes from the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
test -f target/currantdrift-gateway.cjs
for file in review/lib/*.mjs review/[0-9]/case.mjs; do node --check "$file"; done
