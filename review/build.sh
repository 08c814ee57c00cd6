#!/bin/bash
# Builds the stand-ins that the scripts of the cases start. Needs no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin/Cargo.toml \
    --target-dir target/review
