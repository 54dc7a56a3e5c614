#!/bin/sh
# Runs a built case: run-case.sh N. TROUBLE=0 leaves the disruption out. Exit status: 1 if the rule
# was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
program=target/review/$1
[ -x "$program" ] || { echo "$program is not built: run review/build.sh" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
ARENAS=${ARENAS:-2} CASE=review/$1 FOLDER=$folder timeout -k 2 110 "$program"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
