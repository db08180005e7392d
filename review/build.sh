#!/bin/sh
# Builds the stand-ins of the review's scripts. They need no package besides the standard library.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --manifest-path review/Cargo.toml --target-dir target/review
