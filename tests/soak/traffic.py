"""Targets and clients that keep the books: what ran where, and what each client was told."""

import dataclasses
import enum
import random
import socket
import threading
import time

from packet_standins import ACK, FIN, RETURNED, RST, SYN, Packet, Target
from tcp_proxy import readable

OPENING_AFTER = (0.0, 0.2, 0.6)  # seconds after the first opening at which a client sends each
OPENING_ENDS = 1.4
REPEAT_AFTER = (0.2, 0.6, 1.4, 3.0)  # seconds after a request at which it is sent again
REQUEST_ENDS = 4.6
READ_SECONDS = 0.05
PARTS = 3  # packets of an answer
PAUSE_SECONDS = (0.1, 0.8)  # between two requests of a long flow


class Books:
    """What targets and clients saw, and the promises that were broken by it."""

    def __init__(self):
        self.lock = threading.RLock()
        self.began = time.monotonic()
        self.runs = {}        # operation -> requests that ran it, each at one incarnation
        self.refused = set()  # requests whose flow was reset before it opened
        self.services = {}  # route -> services
        self.faults, self.counts = [], {}

    def fault(self, text):
        with self.lock:
            self.faults.append(f"{time.monotonic() - self.began:.2f} s: {text}")

    def note_step(self, seconds):
        """How long the slowest step of all took: one of many seconds is the soak's own fault, and
        what clients then seem to have waited for."""
        with self.lock:
            slowest = self.counts.get("slowest_step_ms", 0)
            self.counts["slowest_step_ms"] = max(slowest, round(seconds * 1000))

    def count(self, what):
        with self.lock:
            self.counts[what] = self.counts.get(what, 0) + 1

    def ran(self, request, incarnation):
        """A request is OPERATION@PORT: the same operation may be asked for by several flows."""
        with self.lock:
            runs = self.runs.setdefault(request.split("@")[0], [])
            runs.append((request, incarnation))
            if len(runs) > 1:
                self.fault(f"an operation ran more than once: {runs}")
            if request in self.refused:
                self.fault(f"request {request} ran after it was refused as not run")

    def was_refused(self, request):
        with self.lock:
            self.refused.add(request)
            if any(ran == request for ran, _ in self.runs.get(request.split("@")[0], [])):
                self.fault(f"request {request} was refused as not run, and ran")


@dataclasses.dataclass
class Held:
    """A flow at a target."""
    sequence: int
    open: bool = False
    done: int = 0      # client's sequence up to which requests have been taken
    request: str = ""  # the last one


class SoakTarget(Target):
    """A target that opens a flow only with the packet that acknowledges its answer, runs each
    request once, answers in several packets, and closes a flow after its answer while it drains."""

    def __init__(self, address, service, books):
        self.books, self.drained, self.alive, self.used = books, False, True, False
        self.mutex = threading.RLock()
        super().__init__(address, service)

    def serve(self):
        while self.running:
            readable([self.socket], READ_SECONDS)
            with self.mutex:
                self.take_all()

    def take_all(self):
        """Takes what has come. An agent has one thread: what it sent before it acknowledged a
        change of state has arrived here before the acknowledgement."""
        while True:
            try:
                datagram = self.socket.recv(2048, socket.MSG_DONTWAIT)
            except (BlockingIOError, OSError):
                return
            for answer in self.react(Packet.decode(datagram)):
                self.send(answer)

    def drain(self):
        self.state = "draining"
        status = self.heartbeat()
        with self.mutex:
            self.take_all()
            self.drained = status == 200

    def react(self, packet):
        key = packet.source, packet.destination
        if packet.flags & SYN:
            return [self.take_opening(key, packet)]
        held = self.flows.get(key)
        if held is None:
            packet.flags |= RETURNED
            return [packet]
        if not held.open and packet.ack != held.sequence + 1:
            return []  # the client went on with another target
        if not held.open and self.service not in self.books.services.get(packet.destination, ()):
            self.books.fault(f"a flow for {packet.destination} opened at {self.service}")
        held.open = True
        if packet.flags & (FIN | RST):
            del self.flows[key]
            return []
        return self.run(key, held, packet) if packet.data else []

    def take_opening(self, key, packet):
        self.used = True
        if self.service not in self.books.services.get(packet.destination, ()):
            self.books.fault(f"an opening for {packet.destination} reached {self.service}")
        if self.drained:
            self.books.fault(f"an opening reached the draining target {self.id}")
        with self.mutex:
            held = self.flows.setdefault(key, Held(random.getrandbits(31)))
        return Packet(key[1], key[0], SYN | ACK, held.sequence, packet.seq + 1)

    def run(self, key, held, packet):
        if packet.seq >= held.done:
            held.request = packet.data.decode()
            held.done = packet.seq + len(packet.data)
            self.books.ran(held.request, self.id)
        flags = ACK | (FIN if self.state == "draining" else 0)
        return [Packet(key[1], key[0], flags, held.sequence + 1 + part, held.done,
                       f"{held.request}/{self.id}/{part}".encode()) for part in range(PARTS)]

    def holds(self, key):
        with self.mutex:
            held = self.flows.get(key)
            return self.alive and held is not None and held.open

    def crash(self):
        with self.mutex:
            self.alive = False
        self.stop()


class Stage(enum.Enum):
    OPENING, IDLE, WAITING, ENDED = range(4)


class SoakFlow:
    """A client's flow: opened, then one request after the other, or just one."""

    def __init__(self, world, port, route, long, operation):
        self.world, self.port, self.route, self.long = world, port, route, long
        self.stage, self.since, self.sent = Stage.OPENING, time.monotonic(), 0
        self.sequence, self.acknowledged, self.requests = 1000, 0, 0
        self.operation, self.parts, self.next_at = operation, {}, 0.0
        self.answered_at, self.balancer, self.opened_by = None, None, None

    @property
    def request(self):
        return f"{self.operation}@{self.port}"

    @property
    def key(self):
        return (self.world.client_address, self.port), self.route

    def send(self, flags, data=b"", ack=None):
        self.balancer = self.world.route(self.key)
        self.world.send(self.balancer, Packet(self.key[0], self.route, flags, self.sequence,
                                              self.acknowledged if ack is None else ack, data))

    def step(self, now):
        age = now - self.since
        if self.stage is Stage.OPENING:
            if age > OPENING_ENDS:
                return self.end("never_opened")
            if self.sent < len(OPENING_AFTER) and age >= OPENING_AFTER[self.sent]:
                self.sent += 1
                self.send(SYN, ack=self.sent - 1)
        elif self.stage is Stage.IDLE and now >= self.next_at:
            self.ask()
        elif self.stage is Stage.WAITING:
            if age > REQUEST_ENDS:
                return self.end("silent")
            if self.sent < len(REPEAT_AFTER) and age >= REPEAT_AFTER[self.sent]:
                self.sent += 1
                self.send(ACK, self.request.encode())

    def ask(self):
        self.requests += 1
        if self.requests > 1:
            self.operation = self.world.new_operation()
        self.stage, self.since, self.sent, self.parts = Stage.WAITING, time.monotonic(), 0, {}
        self.send(ACK, self.request.encode())

    def take(self, packet):
        if packet.flags & RST:
            return self.take_reset()
        if packet.flags & SYN:
            if self.stage is Stage.OPENING:
                self.acknowledged = packet.seq + 1
                self.opened_by = self.balancer
                self.world.opened(self)
                self.ask()
            return
        if packet.data:
            self.take_part(packet)

    def take_part(self, packet):
        request, incarnation, part = packet.data.decode().split("/")
        if not request.endswith(f"@{self.port}"):
            self.world.books.fault(f"{self.request}'s client got an answer to {request}")
        if self.stage is not Stage.WAITING or request != self.request:
            return  # of a request that has been answered
        self.parts[int(part)] = incarnation
        if len(self.parts) < PARTS:
            return
        if len(set(self.parts.values())) > 1:
            self.world.books.fault(f"the answer to {request} came from {set(self.parts.values())}")
        self.world.books.count("answered")
        self.answered_at = time.monotonic()
        self.sequence += len(self.request)
        if packet.flags & FIN:
            self.send(FIN | ACK)
            return self.end("closed")
        if not self.long:
            self.send(FIN | ACK)
            return self.end("done")
        self.stage, self.next_at = Stage.IDLE, self.answered_at + random.uniform(*PAUSE_SECONDS)

    def take_reset(self):
        if self.stage is Stage.OPENING:
            self.world.books.was_refused(self.request)
            return self.end("refused")
        holder = self.world.holder(self.key)
        if holder is not None:
            self.world.books.fault(f"an open flow, port {self.port}, was reset; {holder} holds it")
        self.end("reset")

    def end(self, how):
        self.stage = Stage.ENDED
        self.world.books.count(how)
