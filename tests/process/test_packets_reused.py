"""Addresses that change hands between services whose tags in a packet's stamp are equal, through
real processes."""

import os
import signal
import threading
import time
import unittest

from packet_standins import PACKETS, SYN, Client, Machines, Packet, Target
from support import BUILD, WIDE_SECONDS, wait_until
from test_packets import ROUTE, configuration

SEED, BALANCER, REUSED, OTHER_DESK, CLIENT = 10, 11, 20, 21, 90
EQUAL_TAG = "mapper-2783"  # the low bits of its hash are those of "desk"
OPENING_STEP_SECONDS = 0.005
WATCHED_SECONDS = 2


class Openings(threading.Thread):
    """Opens flows of the route one after the other until it is stopped."""

    def __init__(self, client):
        super().__init__(daemon=True)
        self.client, self.running = client, True

    def run(self):
        while self.running:
            flow = self.client.new_flow(ROUTE)
            packet = Packet((self.client.address, flow.port), ROUTE, SYN, flow.seq)
            self.client.socket.sendto(packet.encode(), (self.client.balancer, PACKETS))
            time.sleep(OPENING_STEP_SECONDS)

    def stop(self):
        self.running = False
        self.join()


class Reused(unittest.TestCase):
    def setUp(self):
        self.machines = Machines(os.path.join(BUILD, "platform", "anvildrum-packetd"))
        self.addCleanup(self.machines.close)
        self.machines.store.put("config", "main", configuration(1, [ROUTE]))
        self.client = Client(self.machines.host(CLIENT), self.machines.host(BALANCER))
        self.addCleanup(self.client.close)
        for last in (SEED, BALANCER):
            self.machines.start(last)

    def start(self, last, service):
        self.machines.start(last, service)
        wait_until(lambda: self.machines.is_ready(last), f"{last} runs", WIDE_SECONDS)
        target = Target(self.machines.host(last), service)
        self.addCleanup(lambda: target.running and target.stop())
        return target

    def end(self, last, target):
        self.machines.end(last, signal.SIGKILL)
        target.stop()

    def open_flow(self):
        def opened():
            flow = self.client.new_flow(ROUTE)
            return flow if flow.open() and flow.request(b"first") else None
        return wait_until(opened, "a flow opens", WIDE_SECONDS)

    def reuse(self, service):
        """Gives the address of a lost target to one of `service`, while openings come."""
        self.end(REUSED, self.desk)
        openings = Openings(self.client)
        openings.start()
        self.addCleanup(openings.stop)
        return self.start(REUSED, service)

    def test_openings_do_not_reach_the_next_service_at_an_address(self):
        """Guards against openings for a target of another service whose tag is equal."""
        self.desk = self.start(REUSED, "desk")
        self.open_flow()
        mapper = self.reuse(EQUAL_TAG)
        time.sleep(WATCHED_SECONDS)
        self.assertEqual(mapper.openings, [])

    def test_openings_reach_the_next_target_of_the_same_service(self):
        """Guards against openings that are withheld from a service that has their route."""
        self.desk = self.start(REUSED, "desk")
        self.open_flow()
        desk = self.reuse("desk")
        wait_until(lambda: desk.openings, "openings at the next target", WIDE_SECONDS)

    def test_a_flow_at_another_target_outlives_the_change(self):
        """Guards against packets of open flows that go to a reused address, or to nobody."""
        self.desk = self.start(REUSED, "desk")
        self.open_flow()
        other = self.start(OTHER_DESK, "desk")
        flow = wait_until(lambda: self.flow_at(other), "a flow at the other target", WIDE_SECONDS)
        mapper = self.reuse(EQUAL_TAG)
        deadline = time.monotonic() + WATCHED_SECONDS
        while time.monotonic() < deadline:
            self.assertEqual(flow.request(b"again"), f"{other.id}:again")
        self.assertEqual(mapper.openings, [])

    def test_flows_outlive_an_agent_that_restarts_with_the_other_service_beside_it(self):
        """Guards against a young agent that delivers by the tag, or that leaves its own flows."""
        self.desk = self.start(REUSED, "desk")
        flow = self.open_flow()
        mapper = self.start(OTHER_DESK, EQUAL_TAG)
        for last, service in ((REUSED, "desk"), (OTHER_DESK, EQUAL_TAG)):
            self.machines.end(last, signal.SIGKILL)
            self.machines.start(last, service)
        wait_until(lambda: flow.request(b"again") == f"{self.desk.id}:again", "an answer",
                   WIDE_SECONDS)
        self.open_flow()
        self.assertEqual(mapper.openings, [])

    def flow_at(self, target):
        flow = self.client.new_flow(ROUTE)
        answer = flow.request(b"first") if flow.open() else None
        return flow if answer == f"{target.id}:first" else None


if __name__ == "__main__":
    unittest.main()
