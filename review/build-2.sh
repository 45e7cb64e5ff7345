#!/usr/bin/env bash
# Builds the stand-ins and callers of cases 6 to 10, under target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/harness-2 -B target/review-2 -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review-2 -j4
