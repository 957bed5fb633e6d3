#!/usr/bin/env bash
# Builds the gateway as the deploy file says, without the rest of the project,
# and runs it against stand-ins of the platform under faults.
# Usage: check-deploy.sh SOAK_PROGRAM
set -euo pipefail
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cmake -S . -B "$folder/target" -G Ninja -DCMAKE_BUILD_TYPE=Release -DWASABIHOOK_GATEWAY_ONLY=ON >/dev/null
cmake --build "$folder/target" --target wasabihook-gateway -j "$(nproc)" >/dev/null
"$1" --program "$folder/target/wasabihook-gateway" --seed 7 --seeds 2 --duration 5 --folder "$folder/soak"
