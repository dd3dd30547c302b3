#!/usr/bin/env bash
# Builds the cases with their stand-ins into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
"${CXX:-g++}" "${flags[@]}" -c review/standins/standins.cpp -o target/review/standins.o
for source in review/[0-9]*/case.cpp; do
    number=$(basename "$(dirname "${source}")")
    "${CXX:-g++}" "${flags[@]}" "${source}" target/review/standins.o -o "target/review/case-${number}"
done
