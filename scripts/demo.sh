#!/usr/bin/env bash
# Builds if needed, runs a whole deployment on this machine, sends requests through every balancer,
# prints answers, balance and a trace, and stops everything.
#   scripts/demo.sh [ledgewater|telebombeo] [--keep]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${ANVILDRUM_BUILD:-build}
deployment=ledgewater
case "${1:-}" in ledgewater | telebombeo) deployment=$1 && shift ;; esac
cmake -S . -B "$build" -G Ninja >/dev/null 2>&1
cmake --build "$build" -j "${ANVILDRUM_JOBS:-$(nproc)}" >&2
exec python3 scripts/demo.py "$deployment" --build "$build" "$@"
