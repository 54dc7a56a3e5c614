#!/bin/sh
# Builds the stand-ins and the cases of the review into target/review/. Needs g++ only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]*/case.cc; do
    number=$(basename "$(dirname "$case")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I. review/standin/standin.cc "$case" -o "target/review/$number"
done
