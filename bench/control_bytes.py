#!/usr/bin/env python3
"""Measures the control traffic of each balancer and agent, in bytes a second, idle and under load.

    bench/control_bytes.py --build BUILD [--seconds 30] [--out docs/figures/control_bytes.json]

Real processes on loopback, both users' deployments one after the other. From /metrics: what an
instance sent by the tunnel (UDP payload) but clients' packets and replies, and what it sent by the
relay (messages without ZeroMQ's framing, CURVE and TCP); what it received likewise; both together, and
again with the 28 bytes of UDP and IPv4 headers that each datagram has on a wire. Calls to the platform are counted, not their bytes."""

import argparse
import json
import os
import pathlib
import re
import statistics
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "scripts"))
import fleet  # noqa: E402

SAMPLE = re.compile(r'anvildrum_(tunnel|relay)_(sent|received)_(bytes|datagrams|messages)_total'
                    r'\{kind="(\w+)"\}')
DATA = {"packet", "reply"}  # clients' own datagrams on their way
UDP_IP_HEADERS = 28  # bytes a datagram over IPv4
SETTLE_SECONDS = 15  # after the start, and after the load's begin
DRAIN_SECONDS = 5  # so that the fleet ends soon
GOAL = 4096  # bytes a second and node
GOALS = ("both_ways", "both_ways_with_headers")  # what is held against it
LOADS = {
    "ledgewater": [("desk", ["--flows", "100", "--observe", "feed", "--post", "hold", "--rate", "50"]),
                   ("mapper", ["--flows", "30", "--get", "route", "--rate", "30"])],
    "telebombeo": [("scada-gw", ["--flows", "100", "--observe", "status", "--post", "setpoint",
                                 "--rate", "50"]),
                   ("report-srv", ["--flows", "10", "--report", "report"])],
}


def counts(deployment):
    """{instance: {(way, direction, unit, kind): value}} and the platform's calls."""
    found = {}
    for name, entry in deployment.entries():
        metrics = deployment.metrics(entry)
        found[name] = {match.groups(): value for key, value in metrics.items()
                       if (match := SAMPLE.fullmatch(key))}
        found[name]["platform"] = sum(value for key, value in metrics.items()
                                      if key.startswith("anvildrum_platform_calls_total"))
    return found


def rates(before, after, seconds):
    """Of one instance: bytes a second of control traffic."""
    grown = {key: (after[key] - before.get(key, 0)) / seconds for key in after}
    total, by_kind, headers = {"sent": 0.0, "received": 0.0}, {}, 0.0  # headers: both ways
    for key, value in grown.items():
        if key == "platform":
            continue
        way, direction, unit, kind = key
        if kind in DATA:
            continue
        if unit == "datagrams":
            headers += value * UDP_IP_HEADERS
        if unit != "bytes":
            continue
        total[direction] += value
        if direction == "sent" and value > 0:
            by_kind[f"{way} {kind}"] = round(value, 1)
    both = total["sent"] + total["received"]
    return {**total, "both_ways": both, "both_ways_with_headers": both + headers,
            "platform_calls": grown["platform"], "by_kind": by_kind}


def spread(values):
    return {"mean": round(statistics.mean(values), 1), "max": round(max(values), 1)}


def summary(instances):
    figures = {key: spread([one[key] for one in instances])
               for key in ("sent", "received", *GOALS, "platform_calls")}
    kinds = sorted({kind for one in instances for kind in one["by_kind"]})
    figures["sent_by_kind_mean"] = {
        kind: round(statistics.mean(one["by_kind"].get(kind, 0) for one in instances), 1)
        for kind in kinds}
    return figures


def measure(deployment, seconds):
    before, began = counts(deployment), time.monotonic()
    time.sleep(seconds)
    after, lasted = counts(deployment), time.monotonic() - began
    one = {name: rates(before[name], after[name], lasted) for name in after}
    balancers = {balancer["name"] for balancer in deployment.plan["balancers"]}
    return {"seconds": round(lasted, 1),
            "balancer": summary([one[name] for name in one if name in balancers]),
            "agent": summary([one[name] for name in one if name not in balancers])}


def run(name, options):
    make_options = ["--drain-seconds", str(DRAIN_SECONDS)]
    with fleet.Fleet(name, options.build, (), make_options) as deployment:
        deployment.start()
        time.sleep(SETTLE_SECONDS)
        idle = measure(deployment, options.seconds)
        load_seconds = SETTLE_SECONDS + options.seconds + SETTLE_SECONDS
        loads = [deployment.start_load(service, *arguments, "--seconds", str(load_seconds))
                 for service, arguments in LOADS[name]]
        time.sleep(SETTLE_SECONDS)
        loaded = measure(deployment, options.seconds)
        summaries = [deployment.finish_load(load) for load in loads]
    worst = {key: max(phase[role][key]["max"] for phase in (idle, loaded)
                      for role in ("balancer", "agent")) for key in GOALS}
    return {"balancers": len(deployment.plan["balancers"]), "agents": len(deployment.plan["targets"]),
            "load": [f"{service}: {' '.join(arguments)}" for service, arguments in LOADS[name]],
            "streams_alive": sum(one["streams_alive"] for one in summaries),
            "requests_answered": sum(one["answered"] for one in summaries),
            "idle": idle, "under_load": loaded,
            "worst_instance": worst, "within_goal": {key: worst[key] < GOAL for key in GOALS}}


def cpu_model():
    lines = pathlib.Path("/proc/cpuinfo").read_text().splitlines()
    return next((line.split(":")[1].strip() for line in lines if "model name" in line), "unknown")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True)
    parser.add_argument("--seconds", type=int, default=30)
    parser.add_argument("--out")
    options = parser.parse_args()
    machine = {"cpus": os.cpu_count(), "cpu": cpu_model(),
               "load_average_before": round(os.getloadavg()[0], 1)}
    figures = {
        "what": "bytes a second of control traffic per instance: tunnel datagrams (UDP payload) but "
                "packets and replies of clients, and messages of the relay (payload)",
        "command": f"bench/control_bytes.py --seconds {options.seconds}",
        "goal_bytes_per_second": GOAL, "machine": machine,
        "deployments": {name: run(name, options) for name in LOADS},
    }
    text = json.dumps(figures, indent=2)
    print(text)
    if options.out:
        pathlib.Path(options.out).write_text(text + "\n")


if __name__ == "__main__":
    main()
