#!/usr/bin/env bash
# Builds the stand-ins that the cases start. No dependencies, no network.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --release --locked --offline --manifest-path standins/Cargo.toml --target-dir standins/target
