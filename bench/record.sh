#!/usr/bin/env bash
# Runs a bench and writes its output, with the command and the machine, to docs/figures/NAME.md.
#   bench/record.sh BUILD_DIR NAME [ARGUMENTS...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
name=$2
shift 2
out=docs/figures/$name.md
mkdir -p docs/figures
fence='```'
{
  echo "# $name"
  echo
  echo "Command: \`bench/record.sh BUILD_DIR $name $*\`. Machine: $(nproc) x$(grep -m1 'model name' /proc/cpuinfo | cut -d: -f2), load average $(cut -d' ' -f1 /proc/loadavg) before the run."
  echo
  if [[ $name == *overload* ]]; then "$build/bench/$name"; else
    echo "$fence"
    "$build/bench/$name" "$@" 2>/dev/null
    echo "$fence"
  fi
} >"$out.new"
mv "$out.new" "$out"
