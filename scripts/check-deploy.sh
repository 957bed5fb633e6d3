#!/usr/bin/env bash
# Builds only the gateway, as specified by the deploy file, and runs it against
# fake platform services with fault injection.
# Usage: check-deploy.sh SOAK_PROGRAM
set -euo pipefail
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cmake -S . -B "$folder/target" -G Ninja -DCMAKE_BUILD_TYPE=Release -DWASABIHOOK_GATEWAY_ONLY=ON >/dev/null
cmake --build "$folder/target" --target wasabihook-gateway -j "$(nproc)" >/dev/null
"$1" --program "$folder/target/wasabihook-gateway" --seed 7 --seeds 4 --duration 12 --processes 6 --folder "$folder/soak"
