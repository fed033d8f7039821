#!/bin/sh
# Builds the stand-ins of the second review's cases. No network is needed: they use the standard library alone.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin-2/Cargo.toml
