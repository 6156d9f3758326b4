#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 4 and 5 start, with the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/drill review/standin-2/main.rs
