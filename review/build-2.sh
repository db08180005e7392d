#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts; needs the Rust compiler only. They start the program of the
# deploy file, which has to be built before.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O review/scenarios-2/main.rs -o target/review-2/scenarios
