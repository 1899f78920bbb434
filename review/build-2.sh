#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, with the compiler and its standard library
# alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin-2 review/standin-2.rs
