#!/bin/sh
# Builds the stand-ins of the second review's scripts, after the build of the deploy file. Needs the packages of the deploy file only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O2 -pthread -Wall -Wextra -o target/review-2/cases review/standins-2/*.cpp
