#!/usr/bin/env bash
# Builds every program and shows the main job with real processes on loopback ports:
# three entries before six targets, an order lodged once, an entry lost to a kill.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --workspace --bins --locked
cargo run --package shallotfork-bench --example demo --locked
