#!/usr/bin/env python3
"""Runs clang-tidy on source files; scripts/tidy.py BUILD_DIR FILE...

A file that was clean before is not checked again while nothing that it is compiled from has changed:
itself, the headers that the build in BUILD_DIR has read for it, its compile command, the checks and
clang-tidy. What was clean is kept by hash under ~/.cache, for all copies of the repository.
"""
import concurrent.futures
import functools
import hashlib
import json
import os
import pathlib
import re
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
CLEAN = pathlib.Path.home() / ".cache" / "anvildrum-tidy"
KEPT_SECONDS = 30 * 24 * 3600
# clang-tidy counts the warnings of other people's headers, which it does not show.
NOISE = re.compile(r"warnings? (generated|treated)|Suppressed|Use -header-filter")


@functools.cache
def hash_of(path):
    return hashlib.sha256(pathlib.Path(path).read_bytes()).hexdigest()


def read_headers(build):
    """For each object of the build, the files that it was compiled from."""
    listing = subprocess.run(["ninja", "-C", build, "-t", "deps"], capture_output=True, text=True,
                             check=True).stdout
    headers = {}
    for block in listing.split("\n\n"):
        target, *files = block.strip().split("\n")
        if target.endswith("(VALID)"):
            headers[target.split(":")[0]] = [os.path.join(build, file.strip()) for file in files]
    return headers


def read_commands(build):
    """For each source file, the command that compiles it and the object that comes of it."""
    entries = json.loads((build / "compile_commands.json").read_text())
    return {entry["file"]: (entry["command"], entry["command"].split(" -o ")[1].split()[0])
            for entry in entries}


def key_of(source, commands, headers, tool):
    """What the verdict on a file depends on; None where the build has not compiled it."""
    command, target = commands.get(str(source), ("", ""))
    if target not in headers:
        return None
    parts = [tool, command.replace(str(ROOT), "")]
    for file in sorted({os.path.normpath(file) for file in headers[target]}):
        parts.append(file.replace(str(ROOT), "") + " " + hash_of(file))
    return hashlib.sha256("\n".join(parts).encode()).hexdigest()


def check(build, source, key):
    """Whether the file is clean; what is wrong is printed."""
    if key and (CLEAN / key).exists():
        return True
    done = subprocess.run(["clang-tidy", "-p", str(build), "--quiet", str(source)],
                          capture_output=True, text=True)
    told = (done.stdout + done.stderr).splitlines()
    lines = [line for line in told if not NOISE.search(line)]
    if lines:
        print("\n".join(lines), flush=True)
    if done.returncode == 0 and not lines and key:
        (CLEAN / key).touch()
    return done.returncode == 0


def forget_old():
    CLEAN.mkdir(parents=True, exist_ok=True)
    for entry in CLEAN.iterdir():
        if time.time() - entry.stat().st_mtime > KEPT_SECONDS:
            entry.unlink(missing_ok=True)


def main():
    build = pathlib.Path(sys.argv[1]).resolve()
    sources = [ROOT / name for name in sys.argv[2:]]
    forget_old()
    version = subprocess.run(["clang-tidy", "--version"], capture_output=True, text=True).stdout
    tool = version + (ROOT / ".clang-tidy").read_text()
    commands, headers = read_commands(build), read_headers(build)
    keys = [key_of(source, commands, headers, tool) for source in sources]
    known = sum(1 for key in keys if key and (CLEAN / key).exists())
    print(f"clang-tidy: {len(sources)} files, {known} clean before and unchanged", flush=True)
    jobs = int(os.environ.get("ANVILDRUM_JOBS", os.cpu_count()))
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        clean = list(pool.map(lambda one: check(build, *one), zip(sources, keys)))
    if not all(clean):
        sys.exit(f"clang-tidy: {clean.count(False)} files with findings")


if __name__ == "__main__":
    main()
