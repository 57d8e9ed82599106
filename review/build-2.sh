#!/usr/bin/env bash
# Builds the stand-ins of the second review; they need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O review/standin-2/main.rs -o target/review-2/stand-in
