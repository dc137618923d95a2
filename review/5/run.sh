#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
# Writes what was sent, answered and run to record.txt.
cd "$(dirname "$0")" || exit 2
: > record.txt
timeout -k 5 115 node case.mjs
code=$?
# A program that fails by itself exits with 1, too, and has no result.
grep -q "result .* exit=$code\$" record.txt || exit 2
exit "$code"
