"""Open flows of a new target, through real processes that are killed shortly after its start, and
openings at new targets while the platform is away."""

import os
import signal
import time
import unittest

from packet_standins import BUSY, Client, Machines, Target
from support import BUILD, WIDE_SECONDS, wait_until
from test_packets import ROUTE, configuration

BALANCER, AGENT, CLIENT = 10, 20, 90
HEARTBEATS_BEFORE_REQUEST = 6
HEARTBEAT_STEP_SECONDS = 0.5


class PromptedTarget(Target):
    """A target that counts its heartbeats from 0 and sends them when the test says so."""

    def announce(self):
        self.sequence = -1


class Killed(unittest.TestCase):
    def setUp(self):
        self.machines = Machines(os.path.join(BUILD, "platform", "anvildrum-packetd"))
        self.addCleanup(self.machines.close)
        self.store = self.machines.store
        self.store.put("config", "main", configuration(1, [ROUTE]))
        self.target = PromptedTarget(self.machines.host(AGENT), "desk")
        self.addCleanup(self.target.stop)
        self.client = Client(self.machines.host(CLIENT), self.machines.host(BALANCER))
        self.addCleanup(self.client.close)
        for last in (BALANCER, AGENT):
            self.start(last)

    def start(self, last):
        self.machines.start(last, None if last == BALANCER else "desk")
        wait_until(lambda: self.machines.is_ready(last) or last == BALANCER, f"{last} runs",
                   WIDE_SECONDS)

    def restart(self, *killed):
        for last in killed:
            self.machines.end(last, signal.SIGKILL)
        for last in killed:
            self.start(last)

    def open_flow(self):
        def opened():
            flow = self.client.new_flow(ROUTE)
            return flow if flow.open() and flow.request(b"first") else None
        return wait_until(opened, "a flow opens", WIDE_SECONDS)

    def assert_served(self, flow):
        for _ in range(HEARTBEATS_BEFORE_REQUEST):
            self.target.heartbeat()
            time.sleep(HEARTBEAT_STEP_SECONDS)
        self.assertEqual(wait_until(lambda: flow.request(b"again"), "an answer", WIDE_SECONDS),
                         f"{self.target.id}:again")

    def test_a_flow_outlives_all_processes(self):
        """Guards against a second heartbeat that counts as the first, so that the flow is reset."""
        self.target.heartbeat()
        flow = self.open_flow()
        self.restart(BALANCER, AGENT)
        self.assert_served(flow)

    def test_a_flow_outlives_agents_that_are_killed_twice(self):
        """Guards against a process that finds its predecessor's record and counts itself the first."""
        self.target.heartbeat()
        flow = self.open_flow()
        self.restart(AGENT)
        self.restart(BALANCER, AGENT)
        self.assert_served(flow)

    def test_a_flow_outlives_all_processes_while_the_platform_is_away(self):
        """Guards against a record that could not be read and counts as absent."""
        self.target.heartbeat()
        flow = self.open_flow()
        self.store.harm = BUSY
        self.restart(BALANCER, AGENT)
        self.target.heartbeat()
        time.sleep(HEARTBEAT_STEP_SECONDS)
        self.store.harm = None
        self.assert_served(flow)

    def test_a_new_target_is_served_while_the_platform_is_away(self):
        """Guards against openings that wait for a record for as long as nothing can be recorded."""
        self.target.heartbeat()
        self.open_flow()
        self.store.harm = BUSY
        self.target.stop()
        self.target = PromptedTarget(self.machines.host(AGENT), "desk")
        self.addCleanup(self.target.stop)
        for _ in range(3):
            self.target.heartbeat()
        self.assert_served(self.open_flow())


if __name__ == "__main__":
    unittest.main()
