#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start beside the programs of the deploy file, into target/review-2/. Run it after
# the build of the deploy file; it needs no other packages.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/harness-2 -B target/review-2 -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_BUILD_TYPE=RelWithDebInfo \
    -DCMAKE_EXE_LINKER_FLAGS=-fuse-ld=lld >/dev/null
cmake --build target/review-2
