"""What the scripts of review/4 to review/8 share: a small deployment on loopback addresses.

It builds on the project's own stand-ins (tests/process/packet_standins.py) and adds what the users'
pages allow beyond them: copies of the store that are seconds old, settings as the deploy templates
give them, and a record of what was sent, answered and run.
"""

import os
import queue
import signal
import sys
import threading
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "process"))

import packet_standins as standins  # noqa: E402

PROGRAM = os.path.join(ROOT, "target", "platform", "anvildrum-packetd")
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """record.txt of a case: one line for each event, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def note(self, text):
        with self.lock:
            line = f"{time.monotonic() - self.began:8.3f}  {text}"
            self.file.write(line + "\n")
            self.file.flush()
            print(line, flush=True)


class LaggingStore(standins.Store):
    """A store whose copies (`allowStale`) are `lag` seconds old, as PROTOCOL.md allows."""

    def __init__(self, address, lag):
        self.lag = lag
        self.times = [(0.0, 0)]  # (moment, revision) of each change
        super().__init__(address)

    def put(self, kind, name, spec):
        item = super().put(kind, name, spec)
        self.times.append((time.monotonic(), item["meta"]["revision"]))
        return item

    def delete(self, kind, name):
        super().delete(kind, name)
        self.times.append((time.monotonic(), self.revision))

    def copied_revision(self, lag):
        until = time.monotonic() - lag
        return max(revision for moment, revision in self.times if moment <= until)

    def objects_at(self, revision, kind):
        found = {}
        for at, of, event in self.events:
            if at > revision or of != kind:
                continue
            item = event["object"]
            if event["deleted"]:
                found.pop(item["meta"]["name"], None)
            else:
                found[item["meta"]["name"]] = item
        return found

    def call(self, method, kind, name, query, body, lag=None):
        lag = self.lag if lag is None else lag
        if method != "GET" or "allowStale" not in query:
            return super().call(method, kind, name, query, body)
        if "watch" in query:
            return self.watch_copy(kind, int(query["watch"]), int(query["waitMs"]), lag)
        with self.lock:
            revision = self.copied_revision(lag)
            found = self.objects_at(revision, kind)
        if not name:
            items = [item for _, item in sorted(found.items())]
            return 200, {"items": items, "more": False, "storeRevision": revision}
        item = found.get(name[0])
        return (200, item) if item else (404, {})

    def watch_copy(self, kind, after, wait_ms, lag):
        deadline = time.monotonic() + wait_ms / 1000
        while True:
            with self.lock:
                revision = max(self.copied_revision(lag), after)
                found = [event for at, of, event in self.events
                         if after < at <= revision and of == kind]
                if found or time.monotonic() >= deadline:
                    return 200, {"events": found, "storeRevision": revision}
            time.sleep(standins.WATCH_STEP_SECONDS)


class Entrance(standins.Store):
    """Another address of the same store, whose copies are of another age."""

    def __init__(self, address, store, lag):
        self.store, self.own_lag = store, lag
        super().__init__(address)

    def call(self, method, kind, name, query, body):
        return self.store.call(method, kind, name, query, body, self.own_lag)


class Machines(standins.Machines):
    """Machines with the settings that deploy/balancer.json and deploy/agent.json give."""

    def __init__(self, seeds, lag=0.0):
        super().__init__(PROGRAM)
        self.store.close()
        self.store = LaggingStore(self.host(1), lag)
        self.seeds = seeds

    def settings_of(self, last, service):
        own = super().settings_of(last, service)
        own |= {"seeds": [f"{self.host(seed)}:{standins.HEARTBEATS}" for seed in self.seeds],
                "configuration_within_seconds": 3, "grace_seconds": 6,
                "platform_contracts": ["base", "drain", "config", "cost", "recover", "flows",
                                       "platform"]}
        if service:
            own |= {"heartbeat_seconds": 0.77, "address_reused_after_seconds": 2}
        else:
            own["avoid_failing_targets"] = True
        return own

    def kill(self, last):
        process = self.processes.pop(last)
        process.send_signal(signal.SIGKILL)
        process.wait()


def configuration(version, route, service, kind="idempotent"):
    host, port = route
    return {"version": version, "services": [{"name": service}],
            "limits": {"idleTimeoutMs": 15000},
            "routes": [{"name": "r1", "hostname": host, "pathPrefix": f"/{port}/", "type": kind,
                        "timeoutMs": 1200, "targetLatencyMs": 200, "priority": 2,
                        "service": service}]}


def wait_until(met, seconds, step=0.02):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if met():
            return True
        time.sleep(step)
    return False


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def retransmitted(client, balancer, flow, data, record):
    """Sends a request with a client's retransmissions; its answer, "reset", or None."""
    for wait in (0.2, 0.4, 0.8):
        packet = standins.Packet((client.address, flow.port), flow.route, standins.ACK, flow.seq,
                                 flow.ack, data)
        client.socket.sendto(packet.encode(), (balancer, standins.PACKETS))
        record.note(f"client sends request {data!r} on flow {flow.port} to {balancer}")
        deadline = time.monotonic() + wait
        while True:
            left = deadline - time.monotonic()
            try:
                packet = client.queues[flow.port].get(timeout=max(0.0, left))
            except queue.Empty:
                break
            if packet.flags & standins.RST:
                record.note(f"client gets RST on flow {flow.port}, seq {packet.seq}")
                return "reset"
            if packet.data:
                record.note(f"client gets {packet.data!r} on flow {flow.port}")
                return packet.data.decode()
    return None


def run(folder, rule, seeds, lag, play):
    """Plays a case and ends every process that it started; the exit code for run.sh."""
    record = Record(folder)
    result = NOT_RUN
    try:
        machines = Machines(seeds, lag)
        try:
            result = play(machines, record)
        finally:
            machines.close()
    except Exception:
        record.note(traceback.format_exc())
        result = NOT_RUN
    record.note({HELD: "the rule held", BROKEN: f"{rule} broken", NOT_RUN: "not run"}[result])
    return result
