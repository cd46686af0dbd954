"""FLOW: the one balancer that knows a new agent loses power; another resets the agent's open flow.

Machines: balancers 10 (the one seed that is up), 11 and 12; agents 20 to 24 of one service. The
endpoint beside agent 24 starts some seconds after its agent, as an endpoint that has to load does.
"""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-2"))

from world import BROKEN, HELD, NOT_RUN, configuration, retransmitted, run, trouble, wait_until  # noqa: E402
from packet_standins import Client, Target  # noqa: E402

import packet_standins  # noqa: E402

SEED, OTHERS, STALE_SEEDS = 10, (11, 12), (13, 14)
AGENTS, NEWCOMER, CLIENT, ROUTE_HOST = (20, 21, 22, 23), 24, 90, 99
STABLE_SECONDS = 4.0        # stableWindowMs
POWER_SECONDS = 3.5         # for_s of node_kill (power) in the site file
PROBE_SECONDS = 0.5         # the routers' probes of readiness; two misses end the rotation
COPY_LAG_SECONDS = 3.0      # "seconds old"
packet_standins.HEARTBEAT_SECONDS = 0.77


def play(machines, record):
    route = (machines.host(ROUTE_HOST), 8443)
    machines.store.put("config", "main", configuration(1, route, "desk"))
    for last in (SEED, *OTHERS):
        machines.start(last)
    targets = {}
    for last in (*AGENTS, NEWCOMER):
        machines.start(last, "desk")
    for last in AGENTS:
        targets[last] = Target(machines.host(last), "desk")
    if not wait_until(lambda: all(machines.is_ready(last) for last in (SEED, *OTHERS)), 10):
        return NOT_RUN
    record.note("all balancers are ready; the fleet runs undisturbed for 8 s")
    client = Client(machines.host(CLIENT), machines.host(SEED))
    time.sleep(2 * STABLE_SECONDS)
    try:
        return disturb(machines, record, client, route, targets)
    finally:
        client.close()
        for target in targets.values():
            target.stop()


def disturb(machines, record, client, route, targets):
    newcomer = targets[NEWCOMER] = Target(machines.host(NEWCOMER), "desk")
    record.note(f"the endpoint {newcomer.id} beside agent {NEWCOMER} starts (scale_out)")
    flow = None
    for _ in range(400):
        tried = client.new_flow(route)
        if tried.open() and (tried.request(b"first") or "").startswith(newcomer.id):
            flow = tried
            break
        time.sleep(0.002)
    if flow is None:
        record.note("no flow reached the new endpoint")
        return NOT_RUN
    record.note(f"flow {flow.port} is open at {newcomer.id}, which has answered a request on it")
    flow.seq += len(b"first")
    taken = len(newcomer.openings)
    balancer = machines.host(SEED)
    if trouble():
        record.note(f"balancer {SEED} loses power (node_kill, power)")
        machines.kill(SEED)
        killed = time.monotonic()
        time.sleep(2 * PROBE_SECONDS)
        balancer = machines.host(OTHERS[0])
        record.note(f"two probes missed: the routers use balancer {OTHERS[0]}")
    else:
        time.sleep(2 * PROBE_SECONDS)
    time.sleep(0.4)  # a pause of the client between two requests
    answer = retransmitted(client, balancer, flow, b"again", record)
    alive = (flow.client.address, flow.port), flow.route
    holds = alive in newcomer.flows
    record.note(f"endpoint {newcomer.id} runs, holds the flow: {holds}; it sent no reset")
    if trouble():
        time.sleep(max(0.0, killed + POWER_SECONDS - time.monotonic()))
        machines.start(SEED)
        record.note(f"balancer {SEED} starts again")
    record.note(f"answer to the request: {answer}; openings at the new endpoint: {taken}")
    return BROKEN if answer == "reset" and holds else HELD


if __name__ == "__main__":
    sys.exit(run(HERE, "FLOW", (SEED, *STALE_SEEDS), COPY_LAG_SECONDS, play))
