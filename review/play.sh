#!/usr/bin/env bash
# play.sh NAME FOLDER: plays a case and ends all that it started, also if it is broken off.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
work=$(mktemp -d) || exit 2

finish() {
  for file in "$work"/*/gate.pid; do
    [ -s "$file" ] && kill -KILL "$(cat "$file")" 2>/dev/null
  done
  rm -rf "$work"
}
trap finish EXIT
trap 'kill -TERM "$case" 2>/dev/null; wait "$case"; exit 2' INT TERM

TMPDIR=$work timeout -k 1 110 target/review/case "$1" "$2" &
case=$!
wait "$case"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
