"""FLOW: all processes are killed soon after an endpoint's start; seconds later its flows are reset.

Machines: balancers 10 and 11; agents 20 to 23 and 24 of one service. The endpoint beside agent 24
starts, and a client opens a flow to it; then all processes of the system are killed and started
again. The client's next request comes when all machines have been undisturbed for over 4 s.
"""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-2"))

from world import BROKEN, HELD, NOT_RUN, configuration, retransmitted, run, trouble, wait_until  # noqa: E402
from packet_standins import Client, Target  # noqa: E402

import packet_standins  # noqa: E402

SEEDS, AGENTS, NEWCOMER, CLIENT, ROUTE_HOST = (10, 11), (20, 21, 22, 23), 24, 90, 99
STABLE_SECONDS = 4.0      # stableWindowMs
RESTART_SECONDS = 0.5     # "restarted after a short delay"; down_s of kill_all in site files
packet_standins.HEARTBEAT_SECONDS = 0.77


class CountingTarget(Target):
    """An endpoint whose first heartbeat has sequence 0; PROTOCOL.md names no first number."""

    def heartbeat(self):
        if not hasattr(self, "counts"):
            self.counts = True
            self.sequence = -1
        return super().heartbeat()


def start_all(machines):
    for last in SEEDS:
        machines.start(last)
    for last in (*AGENTS, NEWCOMER):
        machines.start(last, "desk")


def play(machines, record):
    route = (machines.host(ROUTE_HOST), 8443)
    machines.store.put("config", "main", configuration(1, route, "desk"))
    start_all(machines)
    targets = {last: CountingTarget(machines.host(last), "desk") for last in AGENTS}
    if not wait_until(lambda: all(machines.is_ready(last) for last in SEEDS), 10):
        return NOT_RUN
    client = Client(machines.host(CLIENT), machines.host(SEEDS[0]))
    try:
        time.sleep(STABLE_SECONDS)
        record.note("undisturbed for 4 s")
        return disturb(machines, record, client, route, targets)
    finally:
        client.close()
        for target in targets.values():
            target.stop()


def open_at(client, route, target):
    """A flow that the target holds, with one request answered on it; None if it gets none."""
    for _ in range(100):
        flow = client.new_flow(route)
        if flow.open() and (flow.request(b"first") or "").startswith(target.id):
            flow.seq += len(b"first")
            return flow
    return None


def disturb(machines, record, client, route, targets):
    newcomer = targets[NEWCOMER] = CountingTarget(machines.host(NEWCOMER), "desk")
    record.note(f"the endpoint {newcomer.id} beside agent {NEWCOMER} starts")
    flow = open_at(client, route, newcomer)
    if flow is None:
        return NOT_RUN
    record.note(f"flow {flow.port} is open at {newcomer.id}, which has answered a request on it; its "
                f"last heartbeat had sequence {newcomer.sequence}")
    if trouble():
        for last in list(machines.processes):
            machines.kill(last)
        record.note("all processes of the system are killed")
        time.sleep(RESTART_SECONDS)
        start_all(machines)
        record.note(f"they are started again {RESTART_SECONDS} s later; heartbeats: "
                    f"{newcomer.sequence}")
    time.sleep(STABLE_SECONDS + 2)
    if not wait_until(lambda: all(machines.is_ready(last) for last in SEEDS), 5):
        return NOT_RUN
    record.note(f"all machines have run undisturbed for {STABLE_SECONDS + 2} s")
    answer = retransmitted(client, machines.host(SEEDS[0]), flow, b"again", record)
    holds = ((client.address, flow.port), flow.route) in newcomer.flows
    record.note(f"endpoint {newcomer.id} runs and holds the flow: {holds}; it sent no reset")
    record.note(f"answer to the request: {answer}")
    return BROKEN if answer == "reset" and holds else HELD


if __name__ == "__main__":
    sys.exit(run(HERE, "FLOW", SEEDS, 0.0, play))
