"""Stand-ins round anvildrum-packetd: the platform's store, targets and clients of packet flows.

Each machine has an address of its own in 127.0.0.0/8, and all use the same ports, as the users'
machines do.
"""

import http.server
import json
import os
import queue
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.parse
import urllib.request

PACKETS, READINESS, HEARTBEATS, TARGET, FROM_TARGET, CONTROL, METRICS, STORE = (
    8172, 8167, 8166, 8165, 8162, 7720, 9464, 8169)
SYN, ACK, FIN, RST, RETURNED = 2, 64, 8, 128, 1
HEADER = struct.Struct("<HIHIB4sIIIH")
HEARTBEAT_SECONDS = 0.2
WATCH_STEP_SECONDS = 0.05
RECEIVE_SECONDS = 0.1
READY_SECONDS = 30
SLOW_SECONDS = 0.3  # an answer of a store that is slow
BUSY, MANY, SLOW = 503, 429, "slow"  # what a store may be harmed by


def number(address):
    return struct.unpack(">I", socket.inet_aton(address))[0]


class Packet:
    """One packet; `source` and `destination` are (address, port) of a flow's ends."""

    def __init__(self, source, destination, flags, seq=0, ack=0, data=b"", echo=b"\0\0\0\0"):
        self.source, self.destination, self.flags = source, destination, flags
        self.seq, self.ack, self.data, self.echo = seq, ack, data, echo

    def encode(self):
        return HEADER.pack(self.source[1], number(self.source[0]), self.destination[1],
                           number(self.destination[0]), self.flags, self.echo, 0, self.seq,
                           self.ack, len(self.data)) + self.data

    @staticmethod
    def decode(datagram):
        sport, src, dport, dst, flags, echo, _, seq, ack, length = HEADER.unpack_from(datagram)
        dotted = [socket.inet_ntoa(struct.pack(">I", end)) for end in (src, dst)]
        data = datagram[HEADER.size:HEADER.size + length]
        return Packet((dotted[0], sport), (dotted[1], dport), flags, seq, ack, data, echo)


class StoreServer(http.server.ThreadingHTTPServer):
    daemon_threads = True

    def handle_error(self, request, client_address):
        if not isinstance(sys.exc_info()[1], ConnectionError):  # a caller that was ended, or a reset
            super().handle_error(request, client_address)


class Store:
    """The platform's store: objects by kind and name, lists and watches."""

    def __init__(self, address):
        self.lock = threading.Lock()
        self.objects, self.events, self.revision = {}, [], 0
        self.harm, self.history_from = None, 0
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def answer(self, status, body):
                text = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

            def handle_call(self):
                url = urllib.parse.urlparse(self.path)
                parts = url.path.strip("/").split("/")
                length = int(self.headers.get("Content-Length", 0))
                body = json.loads(self.rfile.read(length)) if length else None
                query = dict(urllib.parse.parse_qsl(url.query))
                if store.harm == SLOW:
                    time.sleep(SLOW_SECONDS)
                try:
                    if store.harm in (BUSY, MANY):
                        return self.answer(store.harm, {})
                    self.answer(*store.call(self.command, parts[1], parts[2:], query, body))
                except BrokenPipeError:
                    self.close_connection = True  # the caller was ended

            do_GET = do_POST = do_PUT = do_DELETE = handle_call

        self.server = StoreServer((address, STORE), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, kind, name, spec):
        with self.lock:
            self.revision += 1
            item = {"meta": {"name": name, "revision": self.revision}, "spec": spec}
            self.objects[kind, name] = item
            self.events.append((self.revision, kind, {"deleted": False, "object": item}))
            return item

    def delete(self, kind, name):
        with self.lock:
            item = self.objects.pop((kind, name))
            self.revision += 1
            self.events.append((self.revision, kind, {"deleted": True, "object": item}))

    def call(self, method, kind, name, query, body):
        if method == "GET" and "watch" in query:
            return self.watch(kind, int(query["watch"]), int(query["waitMs"]))
        if method == "POST":
            name = [body["meta"]["name"]]
        current = self.objects.get((kind, name[0])) if name else None
        if method == "GET" and not name:
            with self.lock:
                items = [item for (of, _), item in sorted(self.objects.items()) if of == kind]
                return 200, {"items": items, "more": False, "storeRevision": self.revision}
        if method == "POST":
            return (409, current) if current else (201, self.put(kind, name[0], body["spec"]))
        if current is None:
            return 404, {}
        if method == "PUT":
            if body["meta"].get("revision", current["meta"]["revision"]) != \
                    current["meta"]["revision"]:
                return 409, current
            return 200, self.put(kind, name[0], body["spec"])
        if method == "DELETE":
            self.delete(kind, name[0])
        return 200, current

    def drop_history(self):
        """Watches from before now are told that what they ask for is gone."""
        with self.lock:
            self.history_from = self.revision
            self.events = []

    def watch(self, kind, after, wait_ms):
        deadline = time.monotonic() + wait_ms / 1000
        while True:
            with self.lock:
                if after < self.history_from:
                    return 410, {}
                found = [event for at, of, event in self.events if at > after and of == kind]
                if found or time.monotonic() >= deadline:
                    return 200, {"events": found, "storeRevision": self.revision}
            time.sleep(WATCH_STEP_SECONDS)

    def close(self):
        self.server.shutdown()
        self.server.server_close()


class Target:
    """A target beside an agent: opens flows, answers each packet with data, gives back the rest.

    `listens`: its port takes connections, as that of a target with a health check does.
    """

    def __init__(self, address, service, name=None, listens=True):
        self.address, self.service = address, service
        self.id = name or f"i-{random.getrandbits(32):08x}"
        self.started_ms = time.time_ns() // 1_000_000
        self.state, self.sequence = "ready", 0
        self.flows, self.openings, self.lock = {}, [], threading.Lock()
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((address, TARGET))
        self.socket.settimeout(RECEIVE_SECONDS)
        self.listener = socket.create_server((address, TARGET)) if listens else None
        self.running = True
        self.threads = [threading.Thread(target=work, daemon=True)
                        for work in (self.serve, self.announce)]
        for thread in self.threads:
            thread.start()

    def call(self, method, body):
        url = f"http://{self.address}:{HEARTBEATS}/instances/{self.id}"
        request = urllib.request.Request(url, json.dumps(body).encode(), method=method)
        return urllib.request.urlopen(request, timeout=1).status

    def heartbeat(self):
        self.sequence += 1
        return self.call("PUT", {"service": self.service, "address": f"{self.address}:{TARGET}",
                                 "zone": "z", "version": "v1", "concurrency": 4,
                                 "state": self.state, "warmupLeftMs": 0,
                                 "sequence": self.sequence, "born": self.started_ms})

    def announce(self):
        while self.running:
            try:
                self.heartbeat()
            except (urllib.error.URLError, OSError):
                pass  # the agent is away: the next one tries again
            time.sleep(HEARTBEAT_SECONDS)

    def serve(self):
        while self.running:
            try:
                packet = Packet.decode(self.socket.recv(2048))
            except TimeoutError:
                continue
            self.send(self.answer(packet))

    def answer(self, packet):
        key = packet.source, packet.destination
        ends = packet.destination, packet.source
        if packet.flags & SYN:
            with self.lock:
                self.openings.append(key)
                seq = self.flows.setdefault(key, random.getrandbits(31))
            return Packet(*ends, SYN | ACK, seq, packet.seq + 1)
        if key not in self.flows:
            packet.flags |= RETURNED
            return packet
        return Packet(*ends, ACK, packet.ack, packet.seq + len(packet.data),
                      self.id.encode() + b":" + packet.data)

    def send(self, packet):
        self.socket.sendto(packet.encode(), (self.address, FROM_TARGET))

    def stop(self):
        self.running = False
        for thread in self.threads:
            thread.join()
        self.socket.close()
        if self.listener:
            self.listener.close()


class Client:
    """All clients of one address; each flow has a port of its own."""

    def __init__(self, address, balancer):
        self.address, self.balancer, self.ports = address, balancer, 0
        self.queues = {}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((address, PACKETS))
        self.socket.settimeout(RECEIVE_SECONDS)
        self.running = True
        self.thread = threading.Thread(target=self.receive, daemon=True)
        self.thread.start()

    def receive(self):
        while self.running:
            try:
                packet = Packet.decode(self.socket.recv(2048))
            except TimeoutError:
                continue
            self.queues[packet.destination[1]].put(packet)

    def new_flow(self, route):
        self.ports += 1
        self.queues[self.ports] = queue.Queue()
        return ClientFlow(self, self.ports, route)

    def close(self):
        self.running = False
        self.thread.join()  # a socket that a thread still reads from keeps its address
        self.socket.close()


class ClientFlow:
    def __init__(self, client, port, route):
        self.client, self.port, self.route = client, port, route
        self.seq, self.ack, self.copies = 1000, 0, 0

    def ask(self, flags, data=b"", ack=0, wait=0.5):
        """Sends one packet; what comes back within `wait` seconds, or nothing."""
        packet = Packet((self.client.address, self.port), self.route, flags, self.seq, ack, data)
        self.client.socket.sendto(packet.encode(), (self.client.balancer, PACKETS))
        try:
            return self.client.queues[self.port].get(timeout=wait)
        except queue.Empty:
            return None

    def open(self):
        answer = self.ask(SYN, ack=self.copies)
        self.copies += 1
        if answer is None or answer.flags & RST:
            return False
        self.ack = answer.seq + 1
        return True

    def request(self, data):
        answer = self.ask(ACK, data, self.ack)
        if answer is None:
            return None
        return "reset" if answer.flags & RST else answer.data.decode()


class Machines:
    """The daemon's processes and what stands round them."""

    def __init__(self, program):
        self.program = program
        self.net = f"127.{20 + os.getpid() % 200}.{random.randrange(1, 250)}"
        self.folder = tempfile.TemporaryDirectory()
        self.processes = {}
        self.store = Store(self.host(1))

    def host(self, last):
        return f"{self.net}.{last}"

    def settings_of(self, last, service):
        host = self.host(last)
        own = {"role": "agent" if service else "balancer", "name": f"machine-{last}",
               "failure_domain": "z", "packets": f"{host}:{PACKETS}",
               "readiness": f"{host}:{READINESS}", "heartbeats": f"{host}:{HEARTBEATS}",
               "metrics": f"{host}:{METRICS}", "control_port": CONTROL,
               "seeds": [f"{self.host(10)}:{HEARTBEATS}"], "grace_seconds": 6,
               "platform": f"{self.host(1)}:{STORE}"}
        if service:
            own |= {"from_target": f"{host}:{FROM_TARGET}", "target": f"{host}:{TARGET}",
                    "service": service}
        return own

    def settings(self, last, service, **changed):
        """Writes a process's settings file; its path."""
        path = os.path.join(self.folder.name, f"{last}.json")
        whole = path + ".new"
        with open(whole, "w") as file:
            json.dump(self.settings_of(last, service) | changed, file)
        os.replace(whole, path)  # a process that reads it meanwhile finds one of the two
        return path

    def start(self, last, service=None, **changed):
        command = [self.program, "--settings", self.settings(last, service, **changed)]
        self.processes[last] = subprocess.Popen(command, stdout=subprocess.DEVNULL)

    def end(self, last, how=signal.SIGTERM):
        process = self.processes.pop(last)
        process.send_signal(how)
        return process.wait(READY_SECONDS)

    def get(self, last, port, path):
        try:
            url = f"http://{self.host(last)}:{port}{path}"
            return urllib.request.urlopen(url, timeout=1).read().decode()
        except (urllib.error.URLError, OSError):
            return None

    def is_ready(self, last):
        return self.get(last, READINESS, "/readyz") is not None

    def close(self):
        for last in list(self.processes):
            self.end(last, signal.SIGKILL)
        self.store.close()
        self.folder.cleanup()
