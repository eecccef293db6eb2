#!/bin/sh
# Builds the stand-ins of the third review. They need nothing but the compiler.
# The sources are in a folder named tests, where the names of the platform's protocol may stand.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standins review/standins-3/tests/main.rs
