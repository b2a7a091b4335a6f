#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review's scripts into build-review/.
# Needs the packages of deploy/system.toml and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B build-review -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build-review -j "$(nproc)"
