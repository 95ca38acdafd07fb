#!/bin/sh
# Builds what the scripts of the second review start, besides the system itself: one program a case.
set -e
cd "$(dirname "$0")"
mkdir -p standin-2/bin
compiler=${CXX:-g++}
$compiler -std=c++20 -O1 -pthread -c standin-2/kit.cpp -o standin-2/bin/kit.o
for number in 6 7 8 9 10; do
    if [ -f "$number/case.cpp" ]; then
        $compiler -std=c++20 -O1 -pthread -Istandin-2 "$number/case.cpp" standin-2/bin/kit.o \
            -o "standin-2/bin/case-$number"
    fi
done
