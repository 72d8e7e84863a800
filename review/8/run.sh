#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
rig=$root/target/review-2/rig-2
export MASTICCROSS_PLATFORM=$root/target/release/masticcross-platform
[ -x "$rig" ] && [ -x "$MASTICCROSS_PLATFORM" ] || exit 2
exec "$rig" killed-entry
