#!/usr/bin/env python3
"""Runs a whole deployment, sends real requests through every balancer and checks the answers.
Called by scripts/demo.sh."""

import argparse
import json
import pathlib
import signal
import subprocess
import sys

import fleet

SAMPLE_REQUESTS = 40
POSTS = {"desk": "hold", "scada-gw": "setpoint"}
READS = {"desk": ".well-known/core", "mapper": "route", "scada-gw": ".well-known/core",
         "report-srv": ".well-known/core"}
DRAIN_SECONDS = "5"  # streams of the demo's own clients need no hours
STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)
KEPT_DRAIN_SECONDS = "20"  # when all agents stop at once, none can take the others' flows


def on_stop_signals(handler):
    for number in STOP_SIGNALS:
        signal.signal(number, handler)


class Demo:
    def __init__(self, deployment):
        self.fleet = deployment
        self.wrong = 0
        self.answers = {}

    def check(self, what, answer, right):
        mark = "ok" if right else "WRONG"
        print(f"{mark:5} {what}: {answer[:110]}")
        self.wrong += 0 if right else 1

    def read(self, service, address):
        path = READS[service]
        answer = fleet.coap("get", f"coap://{address}/{path}")
        right = "target" in answer or answer.startswith("</")
        self.check(f"GET  {service}/{path} by {address}", answer, right)

    def post(self, service, address, number):
        request_id = f"demo-{number}"
        uri = f"coap://{address}/{POSTS[service]}"
        answer = fleet.coap("post", uri, json.dumps({"id": request_id}))
        try:
            body = json.loads(answer)
            right = body["id"] == request_id and body["executions"] == 1
            self.answers[body["target"]] = self.answers.get(body["target"], 0) + 1
        except (ValueError, KeyError, TypeError):
            right = False
        self.check(f"POST {service}/{POSTS[service]} by {address}", answer, right)

    def through_every_balancer(self):
        number = 0
        for balancer in self.fleet.plan["balancers"]:
            for service, address in zip(self.fleet.plan["services"], balancer["binds"]):
                self.read(service["name"], address)
                if service["name"] in POSTS:
                    number += 1
                    self.post(service["name"], address, number)

    def load(self):
        service = self.fleet.plan["services"][0]
        command = [self.fleet.program("anvildrum-load-client"), "--service",
                   f"coap://{service['address']}", "--flows", str(SAMPLE_REQUESTS),
                   "--post", POSTS[service["name"]], "--rate", "40", "--seconds", "4", "--json"]
        result = subprocess.run(command, capture_output=True, text=True, timeout=120)
        self.check("load through the fabric", result.stdout.strip(), result.returncode == 0)
        summary = json.loads(result.stdout)
        print("balance over targets:", json.dumps(summary["by_target"]))

    def print_trace(self):
        spans = []
        for file in sorted(self.fleet.path.glob("*trace*")) + sorted(self.fleet.path.glob("*.jsonl")):
            for line in file.read_text().splitlines():
                spans.append(json.loads(line))
        traces = {}
        for span in spans:
            traces.setdefault(span["span_context"]["trace_id"], []).append(span)
        if not traces:
            return self.check("trace", "no trace was written", False)
        longest = max(traces.values(), key=len)
        print("one trace:")
        for span in longest:
            print(" ", json.dumps(span)[:200])
        names = {span["operation_name"] for span in longest}
        self.check("trace has every hop", ", ".join(sorted(names)),
                   {"client_edge", "tunnel", "home_lookup", "admission", "target"} <= names)


def announce(deployment):
    """The lines that --keep prints for whoever aims a client, a patch or a signal at it."""
    for name, (role, process) in deployment.processes.items():
        print(f"process {role} {name} {process.pid}")
    for service in deployment.plan["services"]:
        print(f"service {service['name']} coap://{service['address']}")
    ctl = pathlib.Path(deployment.program("anvilctl")).resolve()
    print(f"operator {ctl} --platform {deployment.plan['platform']}")
    print("ready", flush=True)


def keep(deployment):
    announce(deployment)
    try:
        while True:
            signal.pause()
    except fleet.Interrupted:
        return 0


def run(deployment):
    """The number of wrong answers."""
    demo = Demo(deployment)
    demo.through_every_balancer()
    demo.load()
    demo.print_trace()
    status = deployment.ctl("status")
    demo.check("anvilctl status", status.stderr, status.returncode == 0)
    print(status.stdout)
    return demo.wrong


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("deployment", choices=["ledgewater", "telebombeo"])
    parser.add_argument("--build", required=True)
    parser.add_argument("--keep", action="store_true")
    options = parser.parse_args()
    drain_seconds = KEPT_DRAIN_SECONDS if options.keep else DRAIN_SECONDS
    make_options = ["--drain-seconds", drain_seconds]
    # Safeguard: a signal that comes while processes are being started would otherwise leave them
    # running with nobody to stop them. From here on it leads to the stop below, which no further
    # signal cuts short.
    interrupts = fleet.Interrupts()
    on_stop_signals(interrupts)
    deployment = fleet.Fleet(options.deployment, options.build, make_options=make_options,
                             own_groups=True, interrupts=interrupts)
    try:
        deployment.start()
        wrong = keep(deployment) if options.keep else run(deployment)
    except fleet.Interrupted:
        wrong = 1
    finally:
        on_stop_signals(signal.SIG_IGN)
        killed = deployment.stop()
    if killed:
        print("had to be killed:", ", ".join(killed))
    return 1 if wrong or killed else 0


if __name__ == "__main__":
    sys.exit(main())
