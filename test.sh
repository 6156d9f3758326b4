#!/usr/bin/env bash
# Builds every program and runs every test.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --workspace --bins --locked
cargo test --workspace --locked --no-fail-fast
if [ -s KNOWN-RED.txt ]; then
  echo "known red:"
  cat KNOWN-RED.txt
fi
