#!/usr/bin/env bash
# Builds the stand-ins of the scripts in this folder, from the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/rig review/rig.rs
