#!/usr/bin/env bash
# Builds the stand-ins and the drivers that the scripts of the review start, into build-review/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B build-review -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_EXE_LINKER_FLAGS=-fuse-ld=lld >/dev/null
cmake --build build-review
