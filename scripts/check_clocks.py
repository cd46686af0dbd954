#!/usr/bin/env python3
"""Fails when a file under src/ reads a clock that isn't listed here with its reason.

A wall clock jumps and the steady clock stands still while a machine is suspended, so that neither
may decide anything: cores take the time as an argument, from base::Now.
"""
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
READS = re.compile(r"system_clock::now|steady_clock::now|high_resolution_clock|Clock::now|"
                   r"std::time\(|\bgettimeofday|clock_gettime|\btime\(nullptr\)")
MAY_READ = {
    "src/base/internal/clock.cc": "base::Now itself",
    "src/ctl/main.cc": "the time written into the history, and --timeout of one command",
    "src/packetd/internal/common.cc": "a seed that differs between starts; nothing is compared",
    "src/daemon/internal/runtime.cc": "the start number, which revisions go before; trace times",
}


def main():
    reading = set()
    for path in sorted((ROOT / "src").rglob("*")):
        if path.suffix not in (".cc", ".h") or "tests" in path.parts:
            continue
        if READS.search(re.sub(r"//.*", "", path.read_text())):
            reading.add(str(path.relative_to(ROOT)))
    wrong = [f"{name}: reads a clock" for name in sorted(reading - set(MAY_READ))]
    wrong += [f"{name}: reads none any more" for name in sorted(set(MAY_READ) - reading)]
    if wrong:
        sys.exit("\n".join(wrong))


if __name__ == "__main__":
    main()
