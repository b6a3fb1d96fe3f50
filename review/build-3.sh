#!/usr/bin/env bash
# Builds the stand-ins and cases of the third review into target/review-3/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review-3/scenes review/standins-3/scenes.cpp review/standins-3/stage.cpp
