#!/bin/sh
# Builds the stand-ins and the drivers of the second review's scripts into target/review-2, after the build of the deploy file. Needs the
# packages of the deploy file only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags="-std=c++20 -O2 -pthread -Wall -Wextra -Ireview/standins-2"
for source in http world; do
    g++ $flags -c "review/standins-2/$source.cpp" -o "target/review-2/$source.o"
done
for number in 6 7 8 9; do
    g++ $flags "review/$number/driver.cpp" target/review-2/http.o target/review-2/world.o -o "target/review-2/case-$number"
done
