#!/usr/bin/env bash
# Runs all tests of a build directory. Tests listed in KNOWN-RED.txt run
# separately and do not decide the result.
# Usage: run-tests.sh BUILD_DIR
set -euo pipefail
build=${1:-build}
jobs=${JOBS:-$(nproc)}
known=$(sed -n "s/^test: *//p" KNOWN-RED.txt 2>/dev/null | paste -sd"|" || true)
if [ -n "$known" ]; then
  echo "Known failing tests (KNOWN-RED.txt), reported only:"
  ctest --test-dir "$build" -j "$jobs" -R "^($known)\$" || true
  ctest --test-dir "$build" -j "$jobs" --output-on-failure --no-tests=error \
    -E "^($known)\$"
else
  ctest --test-dir "$build" -j "$jobs" --output-on-failure --no-tests=error
fi
