#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-2
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread)
"${CXX:-g++}" "${flags[@]}" -c review/standins-2/standins.cpp -o target/review-2/standins.o
for number in 6 7 8 9 10; do
    if [[ -f review/${number}/case.cpp ]]; then
        "${CXX:-g++}" "${flags[@]}" -I review/standins-2 "review/${number}/case.cpp" target/review-2/standins.o \
            -o "target/review-2/case-${number}"
    fi
done
