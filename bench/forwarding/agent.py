#!/usr/bin/env python3
"""Processor time a request through one real agent process, against a plain Asio relay of the same
hops.

    bench/forwarding/agent.py BUILD [--rounds N] [--requests N] [--out FILE] [--before DAEMON]

An asker in the place of a balancer sends GETs through the tunnel -> agent (or relay) -> target and
back, on loopback addresses. Turn by turn, as in forwarding.py; stops by itself. The relay moves 64
bytes each way, the agent a GET of 17 bytes and an answer of 64, each within the tunnel's header on
one side.
"""

import argparse
import json
import pathlib
import subprocess
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import forwarding  # noqa: E402
import fleet  # noqa: E402

FLOWS = 256
WINDOWS = (1, 16, 128)
SLOTS = 1000  # enough that no request waits: the path is measured, not the queue
CONNECTIONS = 10_000
BYTES = 64
AGENT, BEFORE = 5, 6


class AgentBench(forwarding.Bench):
    """An agent and its target beside the processes of the forwarding bench."""

    def __init__(self, build):
        super().__init__(build)
        self.agents = {}

    def service(self, number):
        return f"agent-bench-{number}"

    def configuration(self):
        """Each agent has a service of its own, so that it is the home of all its flows."""
        base = super().configuration()
        one = base["services"][forwarding.SERVICE]
        for number in (AGENT, BEFORE):
            name = self.service(number)
            base["services"][name] = {**one, "addresses": [self.address(200 + number)]}
        return base

    def start_agent(self, number, daemon=None):
        port = 10 * number
        settings = {"role": "agent", "name": f"a{number}", "failure_domain": "bench-1",
                    "tunnel": self.address(port), "platform": [self.address(0)],
                    "tunnel_keys": [forwarding.KEY], "insecure_relay": True, "relay_peers": [],
                    "operator_port": self.address(port + 2), "log": {"level": "warn"},
                    "agent": {"target": {"name": f"t{number}", "service": self.service(number),
                                         "address": self.address(port + 3), "slots": SLOTS,
                                         "connections": CONNECTIONS}, "drain_seconds": 1}}
        path = self.path / f"a{number}.json"
        path.write_text(json.dumps(settings))
        self.begin([self.program, "target", "--front", self.address(port + 3)])
        agent = subprocess.Popen(
            [daemon or str(self.build / "src/daemon/anvildrumd"), "--settings", str(path)])
        self.balancers.append(agent)
        fleet.wait_until(lambda: self.is_settled(number), f"agent {number} settled")
        self.agents[number] = agent

    def is_settled(self, number):
        status = self.status(number)
        return status and status.get("ready") and status.get("settled")

    def ask(self, number, window, requests):
        """One turn of requests with the agent's processor time for each."""
        pid = self.agents[number].pid
        before = forwarding.processor_ns(pid)
        command = [self.program, "requests", "--to", self.address(10 * number), "--key",
                   forwarding.KEY, "--service", self.service(number), "--flows", str(FLOWS),
                   "--window", str(window), "--packets", str(requests)]
        done = subprocess.run(command, check=True, capture_output=True, text=True,
                              timeout=forwarding.LIMIT_SECONDS)
        result = json.loads(done.stdout)
        if result["pauses"] or result["refused"]:
            print(f"not all answered: {result}", file=sys.stderr)
        spent = forwarding.processor_ns(pid) - before
        return {**result, "ns_per_request": spent / result["answers"]}


def relay_turn(bench, window, requests):
    """The same number of exchanges through the relay, by one thread of load."""
    turn = bench.turn(bench.relay, [bench.address(2)], BYTES, window, requests)
    return {**turn, "ns_per_request": turn["ns_per_packet"] * forwarding.DATAGRAMS}


def cell(bench, window, rounds, requests):
    relay, agent, before = [], [], []
    for _ in range(rounds):
        relay.append(relay_turn(bench, window, requests))
        agent.append(bench.ask(AGENT, window, requests))
        if BEFORE in bench.agents:
            before.append(bench.ask(BEFORE, window, requests))
    change = {"change": forwarding.ratio(agent, before, "ns_per_request")} if before else {}
    keys = ("ns_per_request", "answers_per_second", "p50_us", "p99_us")
    return {"window": window, **change,
            "relay": {key: forwarding.median(relay, key) for key in keys},
            "agent": {key: forwarding.median(agent, key) for key in keys},
            "processor_time_ratio": forwarding.ratio(agent, relay, "ns_per_request")}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build")
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument("--requests", type=int, default=30_000, help="of one turn")
    parser.add_argument("--windows", type=int, nargs="+", default=WINDOWS)
    parser.add_argument("--out")
    parser.add_argument("--before", help="another build of anvildrumd")
    options = parser.parse_args()
    forwarding.LOAD_THREADS = 1  # as many askers as the agent has
    with AgentBench(options.build) as bench:
        bench.start()
        bench.start_agent(AGENT)
        if options.before:
            bench.start_agent(BEFORE, options.before)
        result = {"command": f"bench/forwarding/agent.py BUILD --rounds {options.rounds} "
                             f"--requests {options.requests}",
                  "machine": forwarding.machine(), "cells": []}
        for window in options.windows:
            result["cells"].append(cell(bench, window, options.rounds, options.requests))
            print(json.dumps(result["cells"][-1]), file=sys.stderr, flush=True)
    text = json.dumps(result, indent=2) + "\n"
    if options.out:
        pathlib.Path(options.out).write_text(text)
    print(text)


if __name__ == "__main__":
    main()
