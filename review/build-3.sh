#!/usr/bin/env bash
# Builds the programs of the third review's scripts, with their stand-ins, from
# the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
objects=()
for source in review/harness-3/*.cpp; do
    object=target/review-3/$(basename "$source" .cpp).o
    g++ -std=c++20 -O1 -c "$source" -o "$object" &
    objects+=("$object")
done
g++ -std=c++20 -O1 -c -x c++ - -o target/review-3/json.o \
    <<<'#include <boost/json/src.hpp>' &
wait
for source in review/1[1-5]/case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Ireview/harness-3 "$source" "${objects[@]}" \
        target/review-3/json.o -o "target/review-3/case-$number" -pthread &
done
wait
