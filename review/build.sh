#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Needs the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/primrosepin-review review/src/main.rs
