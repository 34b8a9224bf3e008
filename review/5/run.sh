#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
# The program leaves the disruption out if TROUBLE is 0.
export TROUBLE="${TROUBLE:-1}"
top=$(cd ../.. && pwd)
export PRIMROSEPIN_PLATFORM="$top/target/release/primrosepin-platform"
[ -x "$PRIMROSEPIN_PLATFORM" ] && [ -x "$top/target/review/primrosepin-review" ] || exit 2
exec timeout -k 2 110 "$top/target/review/primrosepin-review" resend
