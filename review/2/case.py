"""A route is given another service; then the balancers are restarted in turn, as at any release."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from fleet import IDLE_TIMEOUT_MS, Clients, Router, play, wait_until  # noqa: E402

ROUTE = ("127.1.0.1", 443)  # outside the networks that Fleet draws
OLD, NEW = "desk-blue", "desk-green"
FLOWS = 12
PAUSE = 0.7  # seconds between two requests of a flow
APPLY = 3.0  # configApplyMs


def configuration(version, service):
    return {"version": version,
            "routes": [{"name": "feed", "hostname": ROUTE[0], "pathPrefix": f"/{ROUTE[1]}/",
                        "type": "idempotent", "timeoutMs": 1000, "targetLatencyMs": 150,
                        "priority": 1, "service": service, "maxAttempts": 2}],
            "services": [{"name": name, "healthCheckPath": "/healthz", "maxConnections": 2000,
                          "protocol": "h1", "tls": False} for name in (OLD, NEW)],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": IDLE_TIMEOUT_MS}}


def case(fleet, trouble):
    balancers = [fleet.host(10), fleet.host(11)]
    fleet.seeds = [f"{balancer}:{fleet.ports['control']}" for balancer in balancers]
    fleet.store.write("config", "main", configuration(1, OLD))
    for balancer in balancers:
        fleet.start(balancer, "balancer")
    old = [fleet.endpoint(last, OLD) for last in (20, 21)]
    new = [fleet.endpoint(last, NEW) for last in (30, 31)]
    router = Router(fleet, balancers)
    clients = Clients(fleet, fleet.host(90), router)
    wait_until(lambda: all(fleet.is_ready(balancer) for balancer in balancers), "balancers ready")
    wait_until(lambda: clients.flow(ROUTE).open(), "a flow opens")
    time.sleep(3)

    flows = [clients.flow(ROUTE) for _ in range(FLOWS)]
    opened = [flow for flow in flows if flow.open()]
    if len(opened) < FLOWS:
        fleet.record.note("case", f"{FLOWS - len(opened)} flows did not open")
    done = threading.Event()

    def use(flow):
        count = 0
        while not done.is_set():
            count += 1
            if flow.ask(f"request-{flow.end[1]}-{count}") is None:
                return  # its client opens another flow
            done.wait(PAUSE)

    users = [threading.Thread(target=use, args=(flow,)) for flow in opened]
    for user in users:
        user.start()
    time.sleep(2)

    fleet.store.write("config", "main", configuration(2, NEW))
    time.sleep(APPLY + 1)
    fresh = clients.flow(ROUTE)
    if not fresh.open() or not any(endpoint.holds(fresh.key) or endpoint.flows for endpoint in new):
        fleet.record.note("case", "the new flow was not opened at the new service")
    for balancer in balancers:
        if trouble:
            fleet.restart(balancer)
        time.sleep(5)
    done.set()
    for user in users:
        user.join()
    alive = sum(not flow.reset for flow in opened)
    fleet.record.note("case", f"{len(opened)} flows opened before the change, {alive} of them "
                              f"without a reset; endpoints of {OLD} hold "
                              f"{sum(held.is_open for end in old for held in end.flows.values())}")


play(FOLDER, "ledgewater-lb", case)
