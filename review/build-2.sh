#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. Needs the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/primrosepin-review-2 review/src-2/main.rs
