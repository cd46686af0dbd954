#!/usr/bin/env bash
# Formatter and linter over our own sources; scripts/lint.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
sources() { git ls-files "$@" | grep -v '^generated/' || true; }
sources '*.cc' '*.h' | xargs -r clang-format --dry-run -Werror
# The fuzzers have no compile command in this build (ANVILDRUM_FUZZ).
sources '*.cc' | grep -v '^tools/fuzz/' | xargs -r scripts/tidy.py "$build"
