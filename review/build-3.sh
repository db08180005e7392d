#!/bin/sh
# Builds the programs of the cases of this review, with their stand-ins. They need the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in review/1[1-5]/case.rs; do
    [ -e "$case" ] || continue
    number=$(basename "$(dirname "$case")")
    rustc --edition 2024 -O -o "target/review-3/case-$number" "$case"
done
