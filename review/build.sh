#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the scripts in this folder into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O2 -Wall -Wextra -pthread -Ireview/standins)
pids=()
for source in http store runner system; do
    g++ "${flags[@]}" -c "review/standins/$source.cpp" -o "target/review/$source.o" &
    pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
pids=()
for driver in review/[1-5]/driver.cpp; do
    [ -e "$driver" ] || continue
    number=$(basename "$(dirname "$driver")")
    g++ "${flags[@]}" "$driver" target/review/{http,store,runner,system}.o -o "target/review/case-$number" &
    pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
