#!/usr/bin/env bash
# Builds the programs of the cases in review/11 to review/15 into
# target/review-3/. The build of the deploy file must have run before: its
# libraries are linked.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O2 -g1 -I. -DASIO_STANDALONE -DASIO_NO_DEPRECATED
  -DASIO_DISABLE_STD_ALIGNED_ALLOC -Wno-missing-field-initializers)
for source in chicorystep/standin/emulated_store.cc chicorystep/standin/emulated_worker.cc; do
  g++ "${flags[@]}" -c "$source" -o "$out/$(basename "$source" .cc).o" &
done
wait
for source in review/1[1-5]/*.cc; do
  [ -e "$source" ] || continue
  g++ "${flags[@]}" "$source" "$out/emulated_store.o" "$out/emulated_worker.o" \
    target/libchicorystep_platform.a target/libchicorystep_workflows.a \
    -lhttp_parser -lprometheus-cpp-core -lfmt -lpthread \
    -o "$out/$(basename "$(dirname "$source")")-$(basename "$source" .cc)"
done
