#!/bin/sh
# Builds the stand-ins that the scripts start. They have no dependencies, so no network is needed.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
cargo build --release --locked --offline --manifest-path "$root/review/standins/Cargo.toml" --target-dir "$root/target/review"
