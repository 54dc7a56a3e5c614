#!/usr/bin/env bash
# Builds what the scripts of the third review start, into target/review-3/. Needs the build of the
# deploy file to have run, for the project's own programs.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for name in kit fleet; do
    g++ -std=c++20 -O1 -pthread -c "review/standin-3/$name.cc" -o "$out/$name.o"
done
for source in review/1[1-5]/*.cc; do
    program=$out/$(basename "$source" .cc)
    g++ -std=c++20 -O1 -pthread "$source" "$out/kit.o" "$out/fleet.o" -o "$program"
done
