"""What the process tests share: a fleet for each test, built on scripts/fleet.py."""

import itertools
import json
import os
import pathlib
import sys
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "scripts"))

import fleet  # noqa: E402
from fleet import wait_until  # noqa: E402

BUILD = os.environ.get("ANVILDRUM_BUILD", str(ROOT / "build"))
WIDE_SECONDS = 60  # a condition that takes longer than this is not going to come true
DRAIN_SECONDS = 5
SIGNAL_GAP_SECONDS = 0.0002  # short beside what a process does between its last line and its end
# A target waits for the acknowledgements of clients that are gone; its agent has drained before.
TARGET_STOP = ["--drain-ms", "3000"]


def signal_until_gone(process, first, *later):
    """Sends `first`, then all of them again and again until the process is gone; its exit code."""
    process.send_signal(first)
    for number in itertools.cycle((first, *later)):
        if process.poll() is not None:
            return process.returncode
        process.send_signal(number)
        time.sleep(SIGNAL_GAP_SECONDS)


class FleetTest(unittest.TestCase):
    """Starts a fleet and stops it again; a process that had to be killed fails the test."""

    def start_fleet(self, deployment="ledgewater", target_options=(), drain_seconds=DRAIN_SECONDS):
        running = fleet.Fleet(deployment, BUILD, [*TARGET_STOP, *target_options],
                              ["--drain-seconds", str(drain_seconds)])
        self.addCleanup(self.stop_fleet, running)
        return running.start()

    def stop_fleet(self, running):
        self.assertEqual(running.stop(), [], "processes that SIGTERM did not end")

    def assert_right(self, summary):
        """No wrong answer, no double execution, no broken stream or report, and some answers."""
        self.assertTrue(summary["passed"], summary)
        self.assertEqual(summary["errors"], 0, summary)

    def assert_at_most_once(self, running, service):
        """No POST ran twice, also not at two targets."""
        total = {}
        for target in running.plan["targets"]:
            if target["service"] != service:
                continue
            for request_id, count in running.executions(target["name"]).items():
                total[request_id] = total.get(request_id, 0) + count
        twice = {request_id: count for request_id, count in total.items() if count > 1}
        self.assertEqual(twice, {}, "POSTs that ran more than once")
        return total

    def replace_target(self, running, target):
        """Returns the runs that the target forgets with its restart."""
        self.assertEqual(running.terminate(target["agent"]), 0)
        ran = running.executions(target["name"])
        self.assertEqual(running.terminate(target["name"]), 0)
        running.start_target(target["name"])
        running.start_daemon("agent", target)
        wait_until(running.is_ready, f"{target['name']} ready again", WIDE_SECONDS)
        return ran


class Observer:
    """The stock client observing a resource; its notifications are read from its output."""

    def __init__(self, running, service, path, seconds=600):
        self.file = running.path / f"observer-{time.monotonic_ns()}.txt"
        uri = f"coap://{running.service_address(service)}/{path}"
        self.process = running.start_command(
            ["coap-client-notls", "-w", "-s", str(seconds), "-B", str(seconds), "-m", "get",
             "-o", str(self.file), uri])

    def notifications(self):
        """Those that were new when they came, oldest first. The stock client prints every message,
        also the retransmission of an old one whose first copy or acknowledgement was lost; a client
        discards that by its Observe number (RFC 7641, 3.4), which rises with the sequence."""
        text = self.file.read_text() if self.file.exists() else ""
        whole = text[:text.rfind("\n") + 1]
        fresh = []
        for line in whole.splitlines():
            one = json.loads(line) if line.startswith("{") else None
            if one and (not fresh or one["sequence"] > fresh[-1]["sequence"]):
                fresh.append(one)
        return fresh

    def await_more(self, count=10):
        """Waits until `count` further notifications have come."""
        goal = len(self.notifications()) + count
        wait_until(lambda: len(self.notifications()) >= goal, f"{count} more notifications",
                   WIDE_SECONDS)

    def check(self, test):
        """One target served the whole stream, and it still goes."""
        test.assertIsNone(self.process.poll(), "the stream's client has ended")
        targets = {one["target"] for one in self.notifications()}
        test.assertEqual(len(targets), 1, "targets of a stream")
