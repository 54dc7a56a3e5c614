#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10 into target/review-2/. Run after the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/script.cc; do
    [ -f "$source" ] || continue
    # Case 8 uses the stand-ins of the earlier review.
    shared=()
    ! grep -q '"review/standin/standin.h"' "$source" || shared=(review/standin/standin.cc)
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I. "${shared[@]}" "$source" \
        -o "target/review-2/$(basename "$(dirname "$source")")"
done
