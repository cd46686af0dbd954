"""A fleet of real processes between stand-ins: who may be harmed, and how each is put right again."""

import os
import random
import signal
import socket
import subprocess
import threading
import time

from packet_standins import PACKETS, STORE, Machines, Packet
from tcp_proxy import Mode, Proxy
from traffic import Books, SoakFlow, SoakTarget, Stage

STORE_HOST, FIRST_BALANCER, FIRST_AGENT, CLIENT_HOST = 1, 10, 60, 250
PROXY_PORT = STORE + 1
PROBE_SECONDS, MISSES = 0.5, 2
LOSS, DUPLICATED = 0.01, 0.01  # of the packets between clients and balancers
FIXED_ROUTES = {("198.18.0.1", 8443): "desk", ("198.18.0.2", 8443): "mapper"}
MOVED_ROUTE = ("198.18.0.3", 8443)  # with `moves`: its service changes
SERVICES = ("desk", "mapper")
VERSION_PORT = 9000  # each version of the configuration has one route of its own besides
TICK_SECONDS = 0.01
REUSED_AFTER = 2.0  # seconds after a target's end at which its address may serve another service


class Fleet(Machines):
    """Processes, their way to the store through a proxy each, targets, and the fabric."""

    def __init__(self, program, sizes, log_folder):
        super().__init__(program)
        self.books, self.logs, self.log_files = Books(), log_folder, []
        self.balancers = [FIRST_BALANCER + i for i in range(sizes.balancers)]
        self.agents = {FIRST_AGENT + i: "mapper" if i % 3 == 2 else "desk"
                       for i in range(sizes.agents)}
        self.proxies, self.targets, self.paused, self.began_at = {}, {}, set(), {}
        self.lock = threading.RLock()
        self.in_rotation, self.running = set(), True
        self.client_address = self.host(CLIENT_HOST)
        self.client = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.client.bind((self.client_address, PACKETS))
        self.client.settimeout(TICK_SECONDS)
        self.flows, self.ports, self.operations = {}, 0, 0
        self.version, self.versions_seen = 0, {}
        self.routes = dict(FIXED_ROUTES)
        if sizes.moves:
            self.routes[MOVED_ROUTE] = SERVICES[0]
        self.new_version()
        for last in [*self.balancers, *self.agents]:
            self.proxies[last] = Proxy((self.host(last), PROXY_PORT),
                                       (self.host(STORE_HOST), STORE))
        for last, service in self.agents.items():
            self.start_target(last, service)
            self.start(last, service)
        for last in self.balancers:
            self.start(last)
        self.prober = threading.Thread(target=self.probe, daemon=True)
        self.prober.start()

    # Processes

    def settings_of(self, last, service):
        return super().settings_of(last, service) | {
            "seeds": [f"{self.host(seed)}:8166" for seed in self.balancers[:3]],
            "platform": f"{self.host(last)}:{PROXY_PORT}"}

    def start(self, last, service=None):
        command = [self.program, "--settings", self.settings(last, service)]
        log = open(self.log_of(last), "ab")
        self.log_files.append(log)
        self.began_at[last] = log.tell()
        self.processes[last] = subprocess.Popen(command, stdout=log, stderr=log)

    def log_of(self, last):
        return os.path.join(self.logs, f"machine-{last}.log")

    def has_started(self, last):
        """Whether the process has said that it has started. Before that it handles no signal, and
        SIGTERM ends it as any program that has just been executed."""
        with open(self.log_of(last), "rb") as log:
            log.seek(self.began_at[last])
            return b"event=started" in log.read()

    def restart(self, last, how, away):
        """Ends a process and starts it again after `away` seconds; how it ended is checked."""
        with self.lock:
            if last not in self.processes:
                return
            self.resume(last)
            process = self.processes.pop(last)
        process.send_signal(how)
        code = process.wait()
        early = code == -signal.SIGTERM and not self.has_started(last)
        if early:
            self.books.count("ended_before_start")
        elif code != (0 if how == signal.SIGTERM else -how):
            self.books.fault(f"process {last} ended with {code}")
        time.sleep(away)
        with self.lock:
            self.start(last, self.agents.get(last))

    def pause(self, last, seconds):
        with self.lock:
            if last in self.paused or last not in self.processes:
                return
            self.paused.add(last)
            self.processes[last].send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        with self.lock:
            self.resume(last)

    def resume(self, last):
        if last in self.paused:
            self.paused.discard(last)
            self.processes[last].send_signal(signal.SIGCONT)

    def check_processes(self):
        with self.lock:
            for last, process in self.processes.items():
                if process.poll() is not None:
                    self.books.fault(f"process {last} ended by itself with {process.returncode}")

    # Targets

    def start_target(self, last, service):
        with self.lock:
            self.agents[last] = service
            self.targets[last] = SoakTarget(self.host(last), service, self.books)

    def crash_target(self, last, away, service=None):
        """A target ends without a word; another comes, perhaps of another service."""
        with self.lock:
            target = self.targets.pop(last, None)
        if target is None:
            return
        target.crash()
        reused = service not in (None, target.service)
        time.sleep(max(away, REUSED_AFTER) if reused else away)
        if reused:
            self.settings(last, service)  # the process is told by the changed file alone
        self.start_target(last, service or target.service)

    def replace_target(self, last, drain_seconds, away):
        """A target drains, says that it leaves, and ends; another comes."""
        target = self.targets.get(last)
        if target is None or target.state == "draining":
            return
        try:
            target.drain()
        except OSError:
            pass  # its agent is away: it ends without an acknowledgement
        time.sleep(drain_seconds)
        try:
            target.call("DELETE", {})
        except OSError:
            pass
        self.crash_target(last, away)

    def holder(self, key):
        with self.lock:
            return next((target.id for target in self.targets.values() if target.holds(key)), None)

    # Configuration

    def new_version(self):
        """Each version has a route that no other has, so that what a balancer serves tells which
        version it has put in force."""
        self.version += 1
        route = ("198.18.1.1", VERSION_PORT + self.version)
        routes = self.routes | {route: "desk"}
        self.books.services |= {route: (service,) for route, service in routes.items()}
        self.books.services[MOVED_ROUTE] = SERVICES
        self.store.put("config", "main", {
            "version": self.version, "services": [], "limits": {"idleTimeoutMs": 15000},
            "routes": [{"name": f"r{host}-{port}", "hostname": host, "pathPrefix": f"/{port}/",
                        "type": "idempotent", "targetLatencyMs": 200, "service": service}
                       for (host, port), service in routes.items()]})

    def move_route(self):
        """Gives a route to the other service. Its open flows stay where they are."""
        with self.lock:
            before = self.routes[MOVED_ROUTE]
            self.routes[MOVED_ROUTE] = next(name for name in SERVICES if name != before)
            self.new_version()

    def opened(self, flow):
        """Which version a balancer has in force, by an opening that it let through."""
        if flow.route in self.routes:
            return
        version, balancer = flow.route[1] - VERSION_PORT, flow.opened_by
        seen, at = self.versions_seen.get(balancer, (0, 0.0))
        if version < seen and flow.since > at:
            self.books.fault(f"balancer {balancer} served version {version} after {seen}")
        if version > seen:
            self.versions_seen[balancer] = version, time.monotonic()

    # Fabric

    def probe(self):
        misses = dict.fromkeys(self.balancers, MISSES)
        while self.running:
            for last in self.balancers:
                misses[last] = 0 if self.is_ready(last) else misses[last] + 1
            self.in_rotation = {last for last in self.balancers if misses[last] < MISSES}
            time.sleep(PROBE_SECONDS)

    def route(self, key):
        choice = sorted(self.in_rotation) or self.balancers
        return choice[hash(key) % len(choice)]

    def send(self, balancer, packet):
        copies = 0 if random.random() < LOSS else 1 + (random.random() < DUPLICATED)
        for _ in range(copies):
            self.client.sendto(packet.encode(), (self.host(balancer), PACKETS))

    # Clients

    def new_operation(self):
        self.operations += 1
        return f"operation{self.operations}"

    def new_flow(self, route, long, operation=None):
        self.ports += 1
        flow = SoakFlow(self, self.ports, route, long, operation or self.new_operation())
        self.flows[self.ports] = flow
        return flow

    def step(self):
        """Takes what has come for clients and lets each flow go on; some milliseconds."""
        ends = time.monotonic() + TICK_SECONDS
        while time.monotonic() < ends:
            try:
                packet = Packet.decode(self.client.recv(2048))
            except TimeoutError:
                break
            flow = self.flows.get(packet.destination[1])
            if flow is not None and flow.stage is not Stage.ENDED:
                flow.take(packet)
        now = time.monotonic()
        for flow in list(self.flows.values()):
            flow.step(now)

    def calm(self):
        """Ends every harm."""
        for proxy in self.proxies.values():
            proxy.mode = Mode.PASS
        self.store.harm = None

    def close(self):
        self.running = False
        self.prober.join()
        for target in self.targets.values():
            target.stop()
        for last in list(self.paused):
            self.resume(last)
        for proxy in self.proxies.values():
            proxy.close()
        super().close()
        self.client.close()
        for log in self.log_files:
            log.close()
