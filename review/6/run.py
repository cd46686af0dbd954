"""EVAC: a new endpoint in an evacuated zone gets openings before its agent knows of the evacuation.

Machines: balancers 10 (the seed) and 11; agents 20, 21 and 24 of service desk in zone z1, agents 30
and 31 of service mapper in z2. All endpoints of desk are in z1, which an operator evacuates.
"""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-2"))

from world import BROKEN, HELD, NOT_RUN, configuration, run, trouble, wait_until  # noqa: E402
from packet_standins import PACKETS, SYN, Client, Packet, Target  # noqa: E402

import packet_standins  # noqa: E402

SEED, OTHER = 10, 11
DESK, MAPPER, NEWCOMER, CLIENT, ROUTE_HOST = (20, 21), (30, 31), 24, 90, 99
STABLE_SECONDS, EVACUATE_SECONDS = 5.0, 5.0  # stableWindowMs and evacuateMs of the site
OPENINGS_PER_SECOND = 300  # of the small sites, 375 for the service that has the most
packet_standins.HEARTBEAT_SECONDS = 0.77


class Openings(threading.Thread):
    """Clients that open flows at an even rate through one balancer; copies are not sent."""

    def __init__(self, client, balancer, route):
        super().__init__(daemon=True)
        self.client, self.balancer, self.route = client, balancer, route
        self.sent, self.running = {}, True

    def run(self):
        while self.running:
            flow = self.client.new_flow(self.route)
            packet = Packet((self.client.address, flow.port), self.route, SYN, flow.seq)
            self.sent[flow.port] = time.monotonic()
            self.client.socket.sendto(packet.encode(), (self.balancer, PACKETS))
            time.sleep(1 / OPENINGS_PER_SECOND)


class TimedTarget(Target):
    """An endpoint that notes when each opening reached it."""

    def __init__(self, *args):
        self.arrivals = []
        super().__init__(*args)

    def answer(self, packet):
        if packet.flags & SYN:
            self.arrivals.append((time.monotonic(), packet.source[1]))
        return super().answer(packet)


def play(machines, record):
    route = (machines.host(ROUTE_HOST), 8443)
    machines.store.put("config", "main", configuration(1, route, "desk"))
    for last in (SEED, OTHER):
        machines.start(last, failure_domain="z2", drains_within_seconds=EVACUATE_SECONDS)
    for last in (*DESK, NEWCOMER):
        machines.start(last, "desk", failure_domain="z1")
    for last in MAPPER:
        machines.start(last, "mapper", failure_domain="z2")
    targets = {last: TimedTarget(machines.host(last), "desk") for last in DESK}
    targets |= {last: TimedTarget(machines.host(last), "mapper") for last in MAPPER}
    if not wait_until(lambda: all(machines.is_ready(last) for last in (SEED, OTHER)), 10):
        return NOT_RUN
    client = Client(machines.host(CLIENT), machines.host(OTHER))
    openings = Openings(client, machines.host(OTHER), route)
    openings.start()
    try:
        return evacuate(machines, record, targets, openings)
    finally:
        openings.running = False
        openings.join()
        client.close()
        for target in targets.values():
            target.stop()


def evacuate(machines, record, targets, openings):
    time.sleep(STABLE_SECONDS + 1)
    served = sum(len(targets[last].arrivals) for last in DESK)
    record.note(f"undisturbed for {STABLE_SECONDS + 1:.0f} s; desk took {served} openings")
    acknowledged = time.monotonic()
    if trouble():
        machines.store.put("evacuations", "z1", {})
        record.note("the evacuation of z1 is acknowledged")
    time.sleep(EVACUATE_SECONDS + 1.5)
    record.note("evacuateMs has passed, and 1.5 s more")
    newcomer = targets[NEWCOMER] = TimedTarget(machines.host(NEWCOMER), "desk")
    record.note(f"an endpoint starts beside agent {NEWCOMER} in z1 (scale_out)")
    time.sleep(1.5)  # 8 s after the acknowledgement, as long as the site file evacuates a zone
    late = [(at, port) for last in (*DESK, NEWCOMER) for at, port in targets[last].arrivals
            if at > acknowledged + EVACUATE_SECONDS]
    for at, port in late[:20]:
        record.note(f"opening from port {port}, sent {openings.sent[port] - acknowledged:.3f} s and "
                    f"arrived {at - acknowledged:.3f} s after the acknowledgement")
    record.note(f"openings later than evacuateMs: {len(late)}, of these {len(newcomer.arrivals)} at "
                "the new endpoint")
    if not trouble():
        return HELD if newcomer.arrivals else NOT_RUN
    return BROKEN if late else HELD


if __name__ == "__main__":
    sys.exit(run(HERE, "EVAC", (SEED,), 0.0, play))
