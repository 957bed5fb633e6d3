#!/usr/bin/env bash
# Runs the scenarios in bench/ against real daemons and fake backends on
# loopback.
# Usage: bench.sh [BUILD_DIR] [--quick] [--scenario NAME]... [--list] ...
set -euo pipefail
cd "$(dirname "$0")/.."
build=build
if [ "$#" -gt 0 ] && [ "${1#-}" = "$1" ]; then
  build=$1
  shift
fi
exec python3 scripts/bench.py --build "$build" "$@"
