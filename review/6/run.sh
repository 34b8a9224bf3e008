#!/usr/bin/env bash
# Two control machines are replaced as planned; later another one loses its disk.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -eu
cd "$(dirname "$0")/../.."
exec target/review/primrosepin-review-2 quorum review/6/record.txt
