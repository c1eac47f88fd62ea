#!/usr/bin/env bash
# Builds the stand-ins of the cases. They need the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = common ] && continue
    rustc --edition 2024 -O -o "target/review/$name" "$source"
done
