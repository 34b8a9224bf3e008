#!/usr/bin/env bash
# Consumers leave while their orders wait unread at a busy worker.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -eu
cd "$(dirname "$0")/../.."
exec target/review/primrosepin-review-2 gone review/10/record.txt
