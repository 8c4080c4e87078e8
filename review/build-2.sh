#!/bin/sh
# Builds all stand-ins of the second review's scripts. They depend on the project's crates by path, and on nothing that the
# workspace does not have; no network is needed.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
for number in 2 3 4; do
    cargo build --release --locked --offline \
        --manifest-path "$root/review/standins-$number/Cargo.toml" --target-dir "$root/target/review-$number"
done
