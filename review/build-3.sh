#!/usr/bin/env bash
# Builds what the scripts in review/11 to review/15 start, beside the project's own programs. Needs the packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/harness-3 -B target/review-3 -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_EXE_LINKER_FLAGS=-fuse-ld=lld >/dev/null
cmake --build target/review-3
