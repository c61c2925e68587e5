#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8, with the Rust toolchain alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand review/stand/main.rs
