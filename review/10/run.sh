#!/usr/bin/env bash
# The answer of a worker is lost after its zone was taken out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -eu
cd "$(dirname "$0")/../.."
exec target/review/primrosepin-review-2 evac review/10/record.txt
