#!/usr/bin/env python3
"""Fails when docs/PROOFS.md names a test that does not exist.

A test is named as `FILE: CASE`: a Boost.Test case of a .cc file, or a line that holds CASE in any
other file.
"""
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs/PROOFS.md"
NAMED = re.compile(r"`([\w./-]+\.\w+): ([^`]+)`")
CASE = re.compile(r"BOOST_(?:AUTO|DATA|FIXTURE)_TEST_CASE\(\s*(\w+)")


def exists(file, case):
    path = ROOT / file
    if not path.is_file():
        return False
    text = path.read_text()
    if path.suffix == ".cc":
        return case in CASE.findall(text)
    return case in text


def main():
    named = NAMED.findall(PAGE.read_text())
    missing = [f"{file}: {case}" for file, case in named if not exists(file, case)]
    if not named:
        missing.append("docs/PROOFS.md names no test at all")
    if missing:
        sys.exit("named in docs/PROOFS.md, but not there:\n" + "\n".join(missing))


if __name__ == "__main__":
    main()
