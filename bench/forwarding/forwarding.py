#!/usr/bin/env python3
"""Processor time a packet through one real balancer process, against a plain Asio relay of the same
hops; delay against the direct path; memory of the flows that a balancer holds.

    bench/forwarding/forwarding.py BUILD [--rounds N] [--packets N] [--out FILE] [--before DAEMON]

Client -> balancer (or relay) -> sink and back, on loopback addresses. The sinks stand in for agents
and targets. All run turn by turn, so that a busy machine bears on each alike; the figures are
medians over the rounds, and ratios are medians of each round's ratio. Stops by itself. With
--before, a second balancer from another build of anvildrumd takes its turn as well, and each cell
says by what ratio the processor time a packet changed.
"""

import argparse
import datetime
import json
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "scripts"))
import fleet  # noqa: E402

KEY = "000102030405060708090a0b0c0d0e0f"
SERVICE = "bench"
SINKS = 3
LOAD_THREADS = 2
FLOWS = 256  # a thread
SIZES = (64, 1200)
WINDOWS = (1, 8, 64)  # on the way at a time, a thread
HELD = 100_000
DEFAULT_ENTRIES = 1_000_000  # as in src/settings
SMALLEST_ENTRIES = 1024
SETTLE_SECONDS = 0.5
BEFORE = 4  # number of the balancer that --before names
DATAGRAMS = 2  # forwarded for each answer: one each way
NS_PER_SECOND = 1e9
LIMIT_SECONDS = 120  # of one turn


class Bench:
    """The processes of one run."""

    def __init__(self, build):
        self.build = pathlib.Path(build)
        self.program = str(self.build / "bench/forwarding/anvildrum-forwarding-bench")
        self.folder = tempfile.TemporaryDirectory(prefix="anvildrum-bench-")
        self.path = pathlib.Path(self.folder.name)
        self.base, self.holder = fleet.reserve_ports()
        self.processes = []
        self.balancers = []
        self.sinks = {}
        self.balancer = self.before = self.relay = None

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop(self.balancers)
        self.stop(self.processes)
        self.folder.cleanup()
        self.holder.close()

    @staticmethod
    def stop(processes):
        for process in processes:
            process.terminate()
        for process in processes:
            try:
                process.wait(timeout=fleet.STOP_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def address(self, offset):
        return f"127.0.0.1:{self.base + offset}"

    def begin(self, command):
        """Starts a process and returns it with the first line that it prints."""
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self.processes.append(process)
        return process, process.stdout.readline()

    def start(self):
        _, line = self.begin([self.program, "sinks", "--key", KEY, "--sinks", str(SINKS)])
        self.sinks = json.loads(line)
        self.write("objects.json", {"config": self.configuration(), **self.sinks["records"]})
        self.begin([str(self.build / "tools/platform_standin/anvildrum-platform-standin"),
                    "--listen", self.address(0), "--load", str(self.path / "objects.json")])
        echoes = [word for echo in self.sinks["echoes"] for word in ("--to", echo)]
        self.relay, _ = self.begin([self.program, "relay", "--front", self.address(2), *echoes])
        self.balancer = self.start_balancer(1, DEFAULT_ENTRIES)

    def start_balancer(self, number, entries, daemon=None):
        """Balancer `number`, whose port of clients is at client_side(number)."""
        path = self.path / f"b{number}.json"
        path.write_text(json.dumps(self.settings(number, entries)))
        balancer = subprocess.Popen(
            [daemon or str(self.build / "src/daemon/anvildrumd"), "--settings", str(path)])
        self.balancers.append(balancer)
        fleet.wait_until(lambda: self.is_ready(number), f"balancer {number} ready")
        return balancer

    def client_side(self, number):
        return self.address(10 * number + 3)

    def write(self, name, value):
        (self.path / name).write_text(json.dumps(value))

    def configuration(self):
        return {"number": 1, "history": [], "services": {SERVICE: {
            "addresses": [self.address(1)],
            "spread": {"load_margin": 0.03, "local_failure_domain_first": False,
                       "slow_start_seconds": 10},
            "limits": {"queue_ms": 250, "client_in_flight": 64, "flow_idle_seconds": 7200},
            "weights": {}}}}

    def settings(self, number, entries):
        port = 10 * number
        bind = {"address": self.address(1), "bind": self.client_side(number)}
        return {"role": "balancer", "name": f"b{number}", "failure_domain": "bench-1",
                "tunnel": self.address(port), "platform": [self.address(0)],
                "tunnel_keys": [KEY], "insecure_relay": True, "relay_peers": [],
                "operator_port": self.address(port + 2),
                "balancer": {"control": self.address(port + 1), "bind": [bind],
                             "flow_table_entries": entries},
                "log": {"level": "warn"}}

    def status(self, number):
        code, text = fleet.Fleet.http(self, self.address(10 * number + 2), "/status")
        return json.loads(text) if code == 200 else None

    def is_ready(self, number):
        status = self.status(number)
        return status and status.get("ready") and len(status["targets"]) == SINKS

    def load(self, to, size, window, packets):
        command = [self.program, "load", "--threads", str(LOAD_THREADS), "--flows", str(FLOWS),
                   "--window", str(window), "--packets", str(packets), "--size", str(size),
                   "--warm-up", str(2 * FLOWS)]
        command += [word for address in to for word in ("--to", address)]
        done = subprocess.run(command, check=True, capture_output=True, text=True,
                              timeout=LIMIT_SECONDS)
        return json.loads(done.stdout)

    def turn(self, process, to, size, window, packets):
        """One turn of load with the processor time of `process` for each datagram forwarded."""
        before = processor_ns(process.pid) if process else 0
        result = self.load(to, size, window, packets)
        if result["pauses"]:
            print(f"datagrams were lost: {result}", file=sys.stderr)
        if process:
            answers = result["answers"] + LOAD_THREADS * 2 * FLOWS  # with those of the warm-up
            result["ns_per_packet"] = (processor_ns(process.pid) - before) / answers / DATAGRAMS
            result["packets_per_second"] = result["answers_per_second"] * DATAGRAMS
        return result


def processor_ns(pid):
    """Of all threads of the process, from the scheduler's own count."""
    tasks = pathlib.Path(f"/proc/{pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks)


def resident_bytes(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


def median(turns, key):
    return round(statistics.median(turn[key] for turn in turns), 1)


def ratio(over, under, key):
    """Median, least and greatest of the rounds' ratios."""
    ratios = [one[key] / other[key] for one, other in zip(over, under)]
    return {"median": round(statistics.median(ratios), 3), "min": round(min(ratios), 3),
            "max": round(max(ratios), 3)}


def cell(bench, size, window, rounds, packets):
    """One size and window: floor, balancer and direct path in turn."""
    relay, balancer, direct, before = [], [], [], []
    for _ in range(rounds):
        relay.append(bench.turn(bench.relay, [bench.address(2)], size, window, packets))
        balancer.append(bench.turn(bench.balancer, [bench.client_side(1)], size, window, packets))
        if bench.before:
            before.append(
                bench.turn(bench.before, [bench.client_side(BEFORE)], size, window, packets))
        direct.append(bench.turn(None, bench.sinks["echoes"], size, window, packets))
    keys = ("ns_per_packet", "packets_per_second", "p50_us", "p99_us")
    change = {"change": ratio(balancer, before, "ns_per_packet")} if before else {}
    return {
        **change, "bytes": size, "window": window * LOAD_THREADS,
        "relay": {key: median(relay, key) for key in keys},
        "balancer": {key: median(balancer, key) for key in keys},
        "direct": {key: median(direct, key) for key in ("p50_us", "p99_us")},
        "processor_time_ratio": ratio(balancer, relay, "ns_per_packet"),
        "packets_per_second_ratio": ratio(balancer, relay, "packets_per_second"),
        "p50_over_direct": ratio(balancer, direct, "p50_us"),
        "p99_over_direct": ratio(balancer, direct, "p99_us"),
        "relay_p50_over_direct": ratio(relay, direct, "p50_us"),
        "relay_p99_over_direct": ratio(relay, direct, "p99_us"),
    }


def hold(bench, number, entries):
    """Flows that a balancer of this table holds after HELD new ones, and its resident memory."""
    process = bench.start_balancer(number, entries)
    subprocess.run([bench.program, "hold", "--to", bench.client_side(number), "--flows", str(HELD)],
                   check=True, timeout=LIMIT_SECONDS)
    held = fleet.wait_until(lambda: settled_flows(bench, number), "flows settled")
    return {"entries": entries, "held": held, "resident_bytes": resident_bytes(process.pid)}


def settled_flows(bench, number):
    """The count of flows once it stands still."""
    before = bench.status(number)["flows"]
    time.sleep(SETTLE_SECONDS)
    return before if bench.status(number)["flows"] == before else None


def memory(bench):
    """The whole process's growth from the smallest table to one for HELD flows; all memory of a
    table is taken at its start, so a flow that comes takes none."""
    small, large = hold(bench, 2, SMALLEST_ENTRIES), hold(bench, 3, HELD)
    grown = large["resident_bytes"] - small["resident_bytes"]
    flows = large["held"] - small["held"]
    return {"sent": HELD, "small": small, "large": large, "bytes_per_flow": round(grown / flows, 1),
            "bytes_per_100000_flows": round(grown / flows * 100_000)}


def machine():
    lines = pathlib.Path("/proc/cpuinfo").read_text().splitlines()
    model = next(line.split(":", 1)[1].strip() for line in lines if line.startswith("model name"))
    return {"processors": os.cpu_count(), "model": model, "load_average": os.getloadavg(),
            "date": datetime.date.today().isoformat()}


def report(one):
    """One line of a cell on standard error, to follow the run."""
    spread = one["processor_time_ratio"]
    print(f"{one['bytes']} B, {one['window']} on the way: relay "
          f"{one['relay']['ns_per_packet']} ns, balancer {one['balancer']['ns_per_packet']} ns, "
          f"ratio {spread['median']} ({spread['min']} to {spread['max']}), packets a second "
          f"x {one['packets_per_second_ratio']['median']}, p50 x "
          f"{one['p50_over_direct']['median']} (relay {one['relay_p50_over_direct']['median']}), "
          f"p99 x {one['p99_over_direct']['median']} "
          f"(relay {one['relay_p99_over_direct']['median']})", one.get("change", ""),
          file=sys.stderr, flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build")
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument("--packets", type=int, default=60_000, help="answers of one turn")
    parser.add_argument("--windows", type=int, nargs="+", default=WINDOWS)
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    parser.add_argument("--out")
    parser.add_argument("--before", help="another build of anvildrumd")
    options = parser.parse_args()
    with Bench(options.build) as bench:
        bench.start()
        if options.before:
            bench.before = bench.start_balancer(BEFORE, DEFAULT_ENTRIES, options.before)
        result = {"command": "bench/forwarding/forwarding.py BUILD --rounds "
                             f"{options.rounds} --packets {options.packets}",
                  "machine": machine(), "memory": memory(bench), "cells": []}
        for size in options.sizes:
            for window in options.windows:
                one = cell(bench, size, window, options.rounds, options.packets)
                result["cells"].append(one)
                report(one)
    text = json.dumps(result, indent=2) + "\n"
    if options.out:
        pathlib.Path(options.out).write_text(text)
    print(text)


if __name__ == "__main__":
    main()
