#!/usr/bin/env bash
# Builds the program that plays the cases, with its stand-ins, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/case review/standin/main.rs
