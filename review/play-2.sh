#!/usr/bin/env bash
# Plays a case of the second review by its name: play-2.sh NAME FOLDER; record.txt goes to the folder.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run or was broken off.
set -uo pipefail
name="${1:?name of the case}"
folder="$(cd "${2:?folder}" && pwd)" || exit 2
cd "$(dirname "$0")/.."
for program in target/release/pier-gate target/review-2/stand-in; do
  [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
# The stand-in ends the hosts that it started, also when it is killed.
timeout --kill-after=2 115 target/review-2/stand-in "$name" "$folder" &
play=$!
trap 'kill "$play" 2>/dev/null; wait "$play"; exit 2' INT TERM
wait "$play"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
