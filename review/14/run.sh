#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was broken, 0
# if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
program=$root/target/review-3/event_ids
[ -x "$program" ] && [ -x "$root/target/bin/sardine-platform-entry" ] || exit 2
SARDINE_TARGET_BIN=$root/target/bin exec timeout -k 5 115 "$program"
