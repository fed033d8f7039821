#!/usr/bin/env bash
# Builds the stand-ins of the review's cases, without a network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
