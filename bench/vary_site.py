#!/usr/bin/env python3
"""Writes variants of a site file of the users' bench, for hunts on deployments that no standard day
shows: another hash of the routers, other bounds, delays, sizes and rates. Only fields whose meaning
the users' pages tell are changed.

    bench/vary_site.py SITE.toml FOLDER --seeds 4     # FOLDER/NAME-1.toml ..., wire.json beside them
"""

import argparse
import pathlib
import random
import re
import shutil


def scaled(text, pattern, factor, digits=3):
    """`text` with each number after `pattern` multiplied by `factor`."""
    return re.sub(rf"({pattern} = )([0-9.]+)",
                  lambda found: found[1] + f"{float(found[2]) * factor:.{digits}g}", text)


def integer(text, pattern, change):
    return re.sub(rf"({pattern} = )([0-9]+)",
                  lambda found: found[1] + str(change(int(found[2]))), text)


def cold(text, per_second):
    """`text` with services whose cold targets bear that many requests a second; 0: no limit."""
    if per_second == 0:
        return text
    return re.sub(r"(cold_x = [0-9.]+,)", rf"\1 cold_per_s = {per_second}.0,", text)


def vary(text, draw):
    text = re.sub(r'hash = "\w+"', f'hash = "{draw.choice(("mod", "steady"))}"', text)
    text = integer(text, "beat_ms", lambda _: draw.choice((400, 770, 1000, 1300)))
    text = integer(text, "drain_ms", lambda had: had + draw.choice((-1000, 0, 2000)))
    text = integer(text, "config_ms", lambda had: had + draw.choice((0, 2000)))
    text = integer(text, "slots", lambda had: max(1, had + draw.choice((-1, 0, 2))))
    text = scaled(text, "cross_zone_ms", draw.choice((0.5, 1, 4)))
    text = scaled(text, "client_ms", draw.choice((0.5, 1, 3)))
    text = scaled(text, "cpu_share", draw.choice((0.7, 1, 1.5)))
    text = cold(text, draw.choice((0, 5, 20, 80)))
    text = scaled(text, " }, per_s", draw.choice((0.5, 0.8, 1)), digits=4)  # of traffic
    return text


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("folder", type=pathlib.Path)
    parser.add_argument("--seeds", type=int, default=4)
    options = parser.parse_args()
    options.folder.mkdir(parents=True, exist_ok=True)
    shutil.copy(options.site.parent / "wire.json", options.folder)
    for seed in range(1, options.seeds + 1):
        text = vary(options.site.read_text(), random.Random(f"{options.site.stem}-{seed}"))
        (options.folder / f"{options.site.stem}-{seed}.toml").write_text(text)


if __name__ == "__main__":
    main()
