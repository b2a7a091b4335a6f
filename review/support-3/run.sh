#!/usr/bin/env bash
# Runs the program of a case in a process group of its own, with a temporary
# folder, and ends the whole group afterwards.
# Usage: run.sh FOLDER-OF-CASE PROGRAM
set -uo pipefail
case=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.."
program=target/review-3/$2
if [ ! -x "$program" ] || [ ! -x target/bin/chicorystep-edge ]; then
  echo "not built: run the build of the deploy file and review/build-3.sh" >&2
  exit 2
fi
scratch=$(mktemp -d)
set -m
timeout --signal=KILL 118 "$program" "$scratch" "$case/record.txt" &
group=$!
trap 'kill -KILL -- -"$group" 2>/dev/null; rm -rf "$scratch"' EXIT
wait "$group"
code=$?
case $code in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
