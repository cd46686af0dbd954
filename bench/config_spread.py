#!/usr/bin/env python3
"""Measures the time from an accepted patch to its being in force on every balancer and agent.

    bench/config_spread.py --build BUILD [--deployment ledgewater] [--patches 40] [--out FILE]

Real processes on loopback. The start is the moment before the conditional write is sent, so that
the figure includes the platform's answer; the end is each instance's own log line. The slowest
instance of each patch counts."""

import argparse
import json
import os
import pathlib
import re
import statistics
import sys
import time
from datetime import datetime, timezone

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "scripts"))
import fleet  # noqa: E402

LINE = re.compile(r"time=(\S+) .*event=configuration_in_force number=(\d+)")
SETTLE_SECONDS = 30


def in_force(deployment, number):
    """Seconds since the epoch at which each instance had the number, by its log; None: not yet."""
    times = {}
    for name, _ in deployment.entries():
        for stamp, logged in LINE.findall(deployment.log_of(name)):
            if int(logged) >= number:
                moment = datetime.strptime(stamp, "%Y-%m-%dT%H:%M:%S.%fZ")
                times[name] = moment.replace(tzinfo=timezone.utc).timestamp()
                break
    return times if len(times) == len(deployment.entries()) else None


def one_patch(deployment, number, service):
    patch = deployment.path / "patch.json"
    operation = {"op": "replace", "path": f"/services/{service}/limits/queue_ms", "value": 200 + number}
    if number == 1:
        operation = {"op": "add", "path": f"/services/{service}/limits",
                     "value": {"queue_ms": 200 + number}}
    patch.write_text(json.dumps([operation]))
    started = time.time()
    result = deployment.ctl("apply", "--base", str(number), str(patch))
    if result.returncode != 0:
        raise fleet.FleetError(f"patch refused: {result.stderr}")
    times = fleet.wait_until(lambda: in_force(deployment, number + 1), "patch in force", SETTLE_SECONDS)
    return max(times.values()) - started


def quantile(values, share):
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def cpu_model():
    lines = pathlib.Path("/proc/cpuinfo").read_text().splitlines()
    return next((line.split(":")[1].strip() for line in lines if "model name" in line), "unknown")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True)
    parser.add_argument("--deployment", default="ledgewater")
    parser.add_argument("--patches", type=int, default=40)
    parser.add_argument("--out")
    options = parser.parse_args()
    with fleet.Fleet(options.deployment, options.build) as deployment:
        deployment.start()
        service = deployment.plan["services"][0]["name"]
        seconds = [one_patch(deployment, n, service) for n in range(1, options.patches + 1)]
    figures = {
        "what": "seconds from sending a patch to its being in force on the slowest instance",
        "command": f"bench/config_spread.py --deployment {options.deployment} "
                   f"--patches {options.patches}",
        "instances": len(deployment.entries()), "patches": options.patches,
        "p50": round(statistics.median(seconds), 4), "p99": round(quantile(seconds, 0.99), 4),
        "max": round(max(seconds), 4),
        "machine": {"cpus": os.cpu_count(), "cpu": cpu_model(),
                    "load_average": round(os.getloadavg()[0], 1)},
    }
    text = json.dumps(figures, indent=2)
    print(text)
    if options.out:
        pathlib.Path(options.out).write_text(text + "\n")


if __name__ == "__main__":
    main()
