#!/usr/bin/env bash
# Builds the cases of this review and their stand-ins, without dependencies, into target/review-4.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-4
rustc --edition 2024 -O review/src-4/main.rs -o target/review-4/cases
