#!/usr/bin/env bash
# Builds the stand-ins of the cases, without a network.
set -euo pipefail
cd "$(dirname "$0")/rig"
cargo build --release --locked --offline
