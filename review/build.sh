#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra -o target/review/scenario \
  review/standin/lab.cc review/standin/scenario.cc -lpthread
