#!/usr/bin/env bash
# Two of the three entry processes of a zone are stopped in turn while orders arrive.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -eu
cd "$(dirname "$0")/../.."
exec target/review/primrosepin-review-2 stop review/7/record.txt
