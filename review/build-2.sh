#!/bin/sh
# The stand-ins of review/4 to review/8 are Python programs of the standard library. Nothing has to
# be built; this checks that each of them, the project's own too, can be read.
cd "$(dirname "$0")/.." || exit 2
for file in tests/process/packet_standins.py review/standins-2/*.py review/[4-8]/run.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 2
done
