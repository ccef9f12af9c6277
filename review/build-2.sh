#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start.
set -e
cd "$(dirname "$0")/.."
cargo build --quiet --release --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
