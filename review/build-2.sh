#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2. Needs only the compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/rig-2 review/rig-2.rs
