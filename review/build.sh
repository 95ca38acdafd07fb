#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
flags=(-std=c++20 -O1 -g -Wall -Wextra -pthread)
g++ "${flags[@]}" -c standin/standin.cpp -o bin/standin.o
for source in [1-5]/case.cpp; do
    [ -e "$source" ] || continue
    g++ "${flags[@]}" "$source" bin/standin.o -o "bin/case-${source%%/*}"
done
