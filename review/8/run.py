"""ROUTE: an endpoint gets openings of another service that had its address before.

Machines: balancers 10 (the seed) and 11; agent 20 beside the one endpoint of service desk, agent 30
beside one of another service. Machine 20 is lost; two seconds later its address is used again by a
machine of the other service. The low 13 bits of the two names' XXH3 hashes are the same.
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

SEED, OTHER, DESK, MAPPER, CLIENT, ROUTE_HOST = 10, 11, 20, 30, 90, 99
OTHER_SERVICE = "mapper-2783"
REUSE_SECONDS, STABLE_SECONDS = 2.0, 4.0
OPENINGS_PER_SECOND = 100
packet_standins.HEARTBEAT_SECONDS = 0.77


class Openings(threading.Thread):
    def __init__(self, client, balancer, route):
        super().__init__(daemon=True)
        self.client, self.balancer, self.route = client, balancer, route
        self.running, self.count = True, 0

    def run(self):
        while self.running:
            flow = self.client.new_flow(self.route)
            packet = Packet((self.client.address, flow.port), self.route, SYN, flow.seq)
            self.client.socket.sendto(packet.encode(), (self.balancer, PACKETS))
            self.count += 1
            time.sleep(1 / OPENINGS_PER_SECOND)


def play(machines, record):
    route = (machines.host(ROUTE_HOST), 8443)
    machines.store.put("config", "main", configuration(1, route, "desk"))
    for last in (SEED, OTHER):
        machines.start(last)
    machines.start(DESK, "desk")
    machines.start(MAPPER, OTHER_SERVICE)
    targets = [Target(machines.host(DESK), "desk"), Target(machines.host(MAPPER), OTHER_SERVICE)]
    if not wait_until(lambda: all(machines.is_ready(last) for last in (SEED, OTHER)), 10):
        return NOT_RUN
    client = Client(machines.host(CLIENT), machines.host(OTHER))
    openings = Openings(client, machines.host(OTHER), route)
    openings.start()
    try:
        time.sleep(2 * STABLE_SECONDS)
        record.note(f"undisturbed for 8 s; desk took {len(targets[0].openings)} openings")
        machines.kill(DESK)
        targets[0].stop()
        record.note(f"machine {DESK} is lost with its endpoint (replace_with_reuse, side)")
        time.sleep(REUSE_SECONDS + 0.2)
        after = OTHER_SERVICE if trouble() else "desk"
        machines.start(DESK, after)
        wait_until(lambda: machines.is_ready(DESK), 5, step=0.002)
        targets[0] = Target(machines.host(DESK), after)
        record.note(f"its address is used again by a machine and endpoint of {after}")
        time.sleep(3)
    finally:
        openings.running = False
        openings.join()
        client.close()
        for target in targets:
            target.stop()
    taken = len(targets[0].openings)
    record.note(f"the new endpoint of {after} took {taken} openings of desk's route")
    if not trouble():
        return HELD if taken else NOT_RUN
    return BROKEN if taken else HELD


if __name__ == "__main__":
    sys.exit(run(HERE, "ROUTE", (SEED,), 0.0, play))
