#!/bin/bash
# Builds the stand-ins of the scripts into target/review. Needs rustc only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -C opt-level=2 -o target/review/standin review/standin/main.rs
