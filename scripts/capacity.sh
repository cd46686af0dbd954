#!/usr/bin/env bash
# Measures the slopes and writes docs/CAPACITY.md anew; --check only compares the page with the
# committed slopes. --constants takes the code's parameters anew and keeps the slopes, for a machine
# that is too busy to measure on.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = --check ]; then
  exec python3 scripts/make_capacity.py --check
fi
build=${ANVILDRUM_BUILD:-build}
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" -j "${ANVILDRUM_JOBS:-$(nproc)}" --target anvildrum-capacity-bench
if [ "${1:-}" = --constants ]; then
  "$build/bench/capacity/anvildrum-capacity-bench" --constants >"$build/capacity-constants.json"
  python3 scripts/make_capacity.py --constants "$build/capacity-constants.json"
  exit
fi
"$build/bench/capacity/anvildrum-capacity-bench" >"$build/capacity-slopes.json"
mv "$build/capacity-slopes.json" docs/figures/capacity-slopes.json
python3 scripts/make_capacity.py
python3 scripts/plot.py docs/figures/wire-cost.json docs/figures/wire-cost.svg
