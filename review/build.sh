#!/bin/sh
# Builds the stand-ins that the scripts of the cases start.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
