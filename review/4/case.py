"""A balancer stands still while some agents are restarted in turn; then all is calm."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from fleet import IDLE_TIMEOUT_MS, Clients, Router, play, wait_until  # noqa: E402

ROUTE = ("127.1.0.1", 443)  # outside the networks that Fleet draws
SERVICE = "desk"
FREEZE = 4.0  # seconds, for_s of `node_freeze` in the site file
RESTARTED = 2  # of four agents: share 0.3 of `roll_term` on side, rounded up, two at a time
RESTART_AT = 2.0  # seconds after the freeze began
PAUSE = 9.0  # seconds without disruption, more than stableWindowMs (4,000)
FLOWS, OPEN_EVERY = 40, 0.01  # opened just before the routers leave the balancer out


def configuration():
    return {"version": 1,
            "routes": [{"name": "feed", "hostname": ROUTE[0], "pathPrefix": f"/{ROUTE[1]}/",
                        "type": "idempotent", "timeoutMs": 1000, "targetLatencyMs": 150,
                        "priority": 1, "service": SERVICE, "maxAttempts": 2}],
            "services": [{"name": SERVICE, "healthCheckPath": "/healthz", "maxConnections": 2000,
                          "protocol": "h1", "tls": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": IDLE_TIMEOUT_MS}}


def open_flows(clients):
    """Opens a flow after the other, each with one request; those that were answered."""
    answered, users = [], []

    def use(flow):
        if flow.open() and flow.ask(f"request-{flow.end[1]}-1"):
            answered.append(flow)

    for _ in range(FLOWS):
        users.append(threading.Thread(target=use, args=(clients.flow(ROUTE),)))
        users[-1].start()
        time.sleep(OPEN_EVERY)
    return answered, users


def restart_agents(fleet, endpoints):
    """Two at a time, as the site file has it."""
    restarts = [threading.Thread(target=fleet.restart, args=(endpoint.address,))
                for endpoint in endpoints]
    for restart in restarts:
        restart.start()
    for restart in restarts:
        restart.join()


def play_round(fleet, trouble, router, clients, restarted):
    frozen = router.nodes[0]
    fleet.judged_from = float("inf")
    began = time.monotonic()
    if trouble:
        fleet.freeze(frozen)
        wait_until(lambda: router.missed[frozen] == 1, "the balancer misses a probe")
    answered, users = open_flows(clients)
    time.sleep(max(began + RESTART_AT - time.monotonic(), 0))
    if trouble:
        restart_agents(fleet, restarted)
    time.sleep(max(began + FREEZE - time.monotonic(), 0))
    if trouble:
        fleet.wake(frozen)
    for user in users:
        user.join()

    time.sleep(PAUSE)
    fleet.judged_from = time.monotonic()
    fleet.record.note("case", f"{len(answered)} flows are open and were answered")
    users = [threading.Thread(target=flow.ask, args=(f"request-{flow.end[1]}-2",))
             for flow in answered]
    for user in users:
        user.start()
        time.sleep(OPEN_EVERY)
    for user in users:
        user.join()
    fleet.record.note("case", f"{sum(flow.reset for flow in answered)} of them were reset, "
                              f"{sum(not flow.reset and not flow.answer for flow in answered)} "
                              "not answered")


def case(fleet, trouble):
    balancers = [fleet.host(last) for last in (10, 11, 12)]
    fleet.seeds = [f"{balancer}:{fleet.ports['control']}" for balancer in balancers]
    fleet.store.write("config", "main", configuration())
    for balancer in balancers:
        fleet.start(balancer, "balancer")
    endpoints = [fleet.endpoint(last, SERVICE) for last in (20, 21, 22, 23)]
    router = Router(fleet, balancers)
    clients = Clients(fleet, fleet.host(90), router)
    wait_until(lambda: all(fleet.is_ready(balancer) for balancer in balancers), "balancers ready")
    wait_until(lambda: clients.flow(ROUTE).open(), "a flow opens")
    time.sleep(3)

    for restarted in (endpoints[:RESTARTED], endpoints[RESTARTED:]):
        play_round(fleet, trouble, router, clients, restarted)


play(FOLDER, "ledgewater-lb", case)
