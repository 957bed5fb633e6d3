#!/usr/bin/env bash
# Measures the costs of the modules and computes docs/CAPACITY.md from them.
# Usage: capacity.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
raw=$(mktemp)
trap 'rm -f "$raw"' EXIT
"$build/capacity_benchmark" --benchmark_min_time=0.05 \
  --benchmark_repetitions=7 --benchmark_report_aggregates_only=false \
  --benchmark_out="$raw" --benchmark_out_format=json
scripts/capacity.py slopes "$raw" bench/capacity-slopes.json
scripts/capacity.py page bench/capacity-slopes.json scripts/capacity-template.md \
  docs/CAPACITY.md
