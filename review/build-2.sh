#!/usr/bin/env bash
# Builds the stand-ins of the cases that have a script, with the compiler alone: they use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.rs; do
    number=$(basename "$(dirname "$source")")
    rustc --edition 2021 -O -o "target/review-2/case-$number" "$source"
done
