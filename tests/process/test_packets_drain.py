"""Failure domains that an operator drains, through real processes: openings stop there, open flows stay,
and what is drained outlives the processes while the platform is away."""

import os
import signal
import unittest

from packet_standins import BUSY, METRICS, Client, Machines, Target
from support import BUILD, WIDE_SECONDS, wait_until
from test_packets import ROUTE, configuration

BALANCER, NORTH, SOUTH, CLIENT = 10, 20, 21, 90
DOMAINS = {BALANCER: "north", NORTH: "north", SOUTH: "south"}
OPENINGS = 20  # enough that one of two targets would get some of them


class Drain(unittest.TestCase):
    def setUp(self):
        self.machines = Machines(os.path.join(BUILD, "platform", "anvildrum-packetd"))
        self.addCleanup(self.machines.close)
        self.store = self.machines.store
        self.store.put("config", "main", configuration(1, [ROUTE]))
        self.targets = {last: Target(self.machines.host(last), "desk") for last in (NORTH, SOUTH)}
        for last in (NORTH, SOUTH, BALANCER):
            self.start(last)
        self.client = Client(self.machines.host(CLIENT), self.machines.host(BALANCER))
        self.addCleanup(self.client.close)
        self.addCleanup(lambda: [target.stop() for target in self.targets.values()])
        self.wait_for_openings_at(NORTH)

    def start(self, last):
        service = None if last == BALANCER else "desk"
        own = {} if service else {"drains_within_seconds": 3}
        self.machines.start(last, service, failure_domain=DOMAINS[last], **own)

    def open_one(self):
        """The machine at which a new flow opens, and the flow; nothing where it does not open."""
        flow = self.client.new_flow(ROUTE)
        if not flow.open():
            return None, flow
        name = (flow.request(b"x") or "").split(":")[0]
        return next((last for last, target in self.targets.items() if target.id == name), None), flow

    def wait_for_openings_at(self, last):
        wait_until(lambda: self.open_one()[0] == last, f"an opening at {DOMAINS[last]}", WIDE_SECONDS)

    def wait_until_drained(self, count):
        wait_until(lambda: self.metric(BALANCER, "anvildrum_packets_drained_domains") == count,
                   f"{count} domains drained", WIDE_SECONDS)

    def wait_until_told(self, last):
        wait_until(lambda: self.metric(last, "anvildrum_packets_drained") == 1,
                   f"the agent at {DOMAINS[last]} told", WIDE_SECONDS)

    def assert_openings_go_to(self, last):
        for _ in range(OPENINGS):
            self.assertIn(self.open_one()[0], (last, None))
        self.wait_for_openings_at(last)

    def metric(self, last, name):
        text = self.machines.get(last, METRICS, "/metrics") or ""
        return sum(float(line.split()[1]) for line in text.splitlines()
                   if line.startswith(name + " "))

    def test_openings_leave_a_drained_domain_and_open_flows_stay(self):
        # The balancer's own domain is drained, and taken back: a flow that is open there is served
        # all the while, new ones open elsewhere, and come back afterwards.
        _, flow = self.open_one()
        self.store.put("evacuations", "north", {})
        self.wait_until_drained(1)
        self.assert_openings_go_to(SOUTH)
        self.assertTrue(str(flow.request(b"still")).endswith(":still"))
        self.store.delete("evacuations", "north")
        self.wait_until_drained(0)
        self.wait_for_openings_at(NORTH)

    def test_a_domain_stays_drained_through_an_outage_of_the_platform(self):
        # The platform is away, and the balancer is started again: it has the configuration and what
        # is drained from agents alone.
        self.store.put("evacuations", "north", {})
        self.wait_until_told(NORTH)
        self.store.harm = BUSY
        self.machines.end(BALANCER, signal.SIGKILL)
        self.start(BALANCER)
        wait_until(lambda: self.machines.is_ready(BALANCER), "the balancer ready", WIDE_SECONDS)
        self.wait_until_drained(1)
        self.assert_openings_go_to(SOUTH)

    def test_openings_are_refused_at_once_while_all_domains_are_drained(self):
        for domain in ("north", "south"):
            self.store.put("evacuations", domain, {})
        self.wait_until_drained(2)
        refused = self.client.new_flow(ROUTE)
        self.assertFalse(refused.open())
        self.assertGreater(self.metric(BALANCER, "anvildrum_packets_refused_total"), 0)


if __name__ == "__main__":
    unittest.main()
