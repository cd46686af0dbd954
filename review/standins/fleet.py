"""Stand-ins for one small deployment on loopback addresses, as PROTOCOL.md and DEPLOY.md describe it.

Every machine has an address of its own in 127.0.0.0/8 and all machines use the same ports. The
programs under test are started with the command of deploy/system.toml and with settings that hold
the keys of the templates deploy/balancer.json and deploy/agent.json.
"""

import http.server
import json
import os
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
import zlib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = "target/platform/anvildrum-packetd"
SYN, ACK, FIN, RST, BOUNCED = 2, 64, 8, 128, 1
HEAD = struct.Struct("<HIHIB4sIIIH")
KEY = b"known to the two ends only"
CANNOT_RUN = 2

# Figures of the sites' sheets and files: bounds, and the deadline of their most frequent requests.
SITES = {
    "ledgewater-lb": {
        "configApplyMs": 3000, "slots": 4, "deadlineMs": 1000,
        "contracts": ["base", "drain", "config", "cost", "recover", "flows", "platform"]},
    "zmka-kilns-grown": {
        "configApplyMs": 5000, "slots": 3, "deadlineMs": 1200, "evacuateMs": 5000,
        "contracts": ["base", "drain", "config", "cost", "recover", "health", "flows", "places",
                      "pressure", "platform"]},
}
GRACE_SECONDS = 6
REUSE_AFTER_SECONDS = 2
HEARTBEAT_SECONDS = 0.77
IDLE_TIMEOUT_MS = 15000
PROBE_SECONDS = 0.5  # "twice per second. After two misses, the node is out of rotation"
MISSES = 2
SYN_COPIES = (0.0, 0.2, 0.6)
SYN_ENDS = 1.4
RETRANSMITS = (0.2, 0.6, 1.4, 3.0)


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def note(self, who, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {who}: {text}\n")
            self.file.flush()


def number(address):
    return struct.unpack(">I", socket.inet_aton(address))[0]


def dotted(value):
    return socket.inet_ntoa(struct.pack(">I", value))


class Packet:
    """A datagram of a flow; `source` and `destination` are (address, port)."""

    def __init__(self, source, destination, flags, seq=0, ack=0, data=b"", echo=b"\0\0\0\0",
                 check=None):
        self.source, self.destination, self.flags = source, destination, flags
        self.seq, self.ack, self.data, self.echo = seq, ack, data, echo
        self.check = self.sum() if check is None else check

    def sum(self):
        fields = repr((self.source, self.destination, self.flags & ~BOUNCED, self.seq, self.ack,
                       self.data)).encode()
        return zlib.crc32(KEY + fields) or 1

    def encode(self):
        return HEAD.pack(self.source[1], number(self.source[0]), self.destination[1],
                         number(self.destination[0]), self.flags, self.echo, self.check, self.seq,
                         self.ack, len(self.data)) + self.data

    @staticmethod
    def decode(raw):
        sport, src, dport, dst, flags, echo, check, seq, ack, length = HEAD.unpack_from(raw)
        data = raw[HEAD.size:HEAD.size + length]
        return Packet((dotted(src), sport), (dotted(dst), dport), flags, seq, ack, data, echo, check)

    def is_whole(self):
        return self.check == self.sum()


def udp(address, port):
    end = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    end.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    end.bind((address, port))
    end.settimeout(0.1)
    return end


class QuietServer(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 64

    def handle_error(self, request, client_address):
        pass  # a caller that was ended


class Store:
    """The platform's store: objects by kind and name, lists, watches, conditions, rate limits unused.

    `refuse` holds the machines that are turned away with 503. `lag` says for a machine how many
    seconds old the answers to its calls with allowStale are; without an entry they are current.
    """

    def __init__(self, port, record):
        self.lock = threading.Condition()
        self.objects, self.events, self.revision, self.oldest = {}, [], 10, 10
        self.states = [(time.monotonic(), 10, {})]  # when each state began
        self.refuse, self.lag, self.record, self.running = set(), {}, record, True
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args):
                pass

            def reply(self, status, body):
                text = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

            def handle_call(self):
                length = int(self.headers.get("Content-Length", 0))
                body = json.loads(self.rfile.read(length)) if length else None
                caller = store.callers[self.server.server_address[0]]
                if caller in store.refuse:
                    return self.reply(503, {})
                time.sleep(0.004)
                url = urllib.parse.urlparse(self.path)
                parts = url.path.strip("/").split("/")
                query = dict(urllib.parse.parse_qsl(url.query))
                lag = store.lag.get(caller, 0) if "allowStale" in query else 0
                self.reply(*store.call(self.command, parts[1], parts[2:], query, body, lag))

            do_GET = do_POST = do_PUT = do_DELETE = handle_call

        self.handler, self.port = Handler, port
        self.servers, self.callers = [], {}

    def address_for(self, machine):
        """An address of the store for this machine alone: all callers come from 127.0.0.1."""
        first, second, third, last = machine.split(".")
        address = f"{first}.{second}.{int(third) + 1}.{last}"
        if address not in self.callers:
            self.callers[address] = machine
            self.servers.append(QuietServer((address, self.port), self.handler))
            threading.Thread(target=self.servers[-1].serve_forever, daemon=True).start()
        return f"{address}:{self.port}"

    def write(self, kind, name, spec):
        """The operator's write; its return is the acknowledgement."""
        with self.lock:
            item = self.put(kind, name, spec)
        self.record.note("operator", f"{kind}/{name} acknowledged at revision "
                                     f"{item['meta']['revision']}: {json.dumps(spec)}")

    def put(self, kind, name, spec):
        known = self.objects.get((kind, name))
        if known and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["meta"]["created"] if known else self.revision
        item = {"meta": {"name": name, "revision": self.revision, "created": created,
                         "finalizers": [], "deleting": False}, "spec": spec, "status": None}
        self.objects[kind, name] = item
        self.changed(kind, {"deleted": False, "object": item})
        return item

    def changed(self, kind, event):
        now = time.monotonic()
        self.events.append((now, self.revision, kind, event))
        self.states.append((now, self.revision, dict(self.objects)))
        self.lock.notify_all()

    def state(self, lag):
        """The revision and the objects as they were `lag` seconds ago."""
        then = time.monotonic() - lag
        return next((revision, objects) for began, revision, objects in reversed(self.states)
                    if began <= then or began == self.states[0][0])

    def call(self, method, kind, name, query, body, lag):
        if method == "GET" and "watch" in query:
            return self.watch(kind, int(query["watch"]), int(query.get("waitMs", 0)), lag)
        with self.lock:
            if method == "GET":
                revision, objects = self.state(lag)
                if name:
                    known = objects.get((kind, name[0]))
                    return (200, known) if known else (404, {})
                items = [item for (of, called), item in sorted(objects.items())
                         if of == kind and called > query.get("after", "")]
                return 200, {"items": items, "more": False, "storeRevision": revision}
            called = body["meta"]["name"] if method == "POST" else name[0]
            known = self.objects.get((kind, called))
            if method == "POST":
                return (409, known) if known else (201, self.put(kind, called, body["spec"]))
            if known is None:
                return 404, {}
            wanted = query.get("revision") or (body or {}).get("meta", {}).get("revision")
            if wanted is not None and int(wanted) != known["meta"]["revision"]:
                return 409, known
            if method == "PUT":
                return 200, self.put(kind, called, body["spec"])
            if method == "DELETE":
                self.revision += 1
                del self.objects[kind, called]
                self.changed(kind, {"deleted": True, "object": known})
            return 200, known

    def watch(self, kind, after, wait_ms, lag):
        ends = time.monotonic() + wait_ms / 1000
        with self.lock:
            while True:
                if after < self.oldest:
                    return 410, {}
                now = time.monotonic()
                found = [event for at, revision, of, event in self.events
                         if revision > after and of == kind and at <= now - lag]
                if found or now >= ends or not self.running:
                    return 200, {"events": found, "storeRevision": self.state(lag)[0]}
                self.lock.wait(min(ends - now, 0.05 if lag else 1))

    def close(self):
        with self.lock:
            self.running = False
            self.lock.notify_all()
        for server in self.servers:
            server.shutdown()
            server.server_close()


class Held:
    """A flow at an endpoint: half open until the client acknowledges `seq`."""

    def __init__(self):
        self.seq = random.getrandbits(31)
        self.is_open, self.taken, self.answer = False, 0, b""
        self.sent = self.seq + 1  # sequence number of the next byte that is sent
        self.answered_from = self.sent


class Endpoint:
    """An endpoint: PROTOCOL.md, "Flows" and "Endpoints". A request is one packet of data."""

    def __init__(self, fleet, address, service, name):
        self.fleet, self.address, self.service, self.name = fleet, address, service, name
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = time.time_ns() // 1_000_000
        self.state, self.sequence, self.running = "ready", 0, True
        self.flows, self.lock = {}, threading.RLock()
        self.socket = udp(address, fleet.ports["app"])
        self.health = self.serve_health()
        for work in (self.serve, self.announce):
            threading.Thread(target=work, daemon=True).start()

    def note(self, text):
        self.fleet.record.note(f"endpoint {self.name} ({self.service})", text)

    def serve_health(self):
        endpoint = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def do_GET(self):
                self.send_response(200 if endpoint.state == "ready" else 503)
                self.send_header("Content-Length", "0")
                self.end_headers()

        server = QuietServer((self.address, self.fleet.ports["app"]), Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return server

    def call(self, method, body=None):
        url = f"http://{self.address}:{self.fleet.ports['control']}/instances/{self.id}"
        data = None if body is None else json.dumps(body).encode()
        headers = {"Content-Type": "application/json"} if data else {}
        request = urllib.request.Request(url, data, headers, method=method)
        try:
            return urllib.request.urlopen(request, timeout=1).status
        except urllib.error.HTTPError as error:
            return error.code
        except OSError:
            return None

    def beat(self):
        with self.lock:
            self.sequence += 1
            body = {"service": self.service, "address": f"{self.address}:{self.fleet.ports['app']}",
                    "zone": "z", "version": "v1", "concurrency": self.fleet.site["slots"], "state": self.state,
                    "warmupLeftMs": 0, "sequence": self.sequence, "born": self.born}
        status = self.call("PUT", body)
        if body["state"] != "ready" or body["sequence"] == 1:
            self.note(f"heartbeat {body['sequence']} {body['state']} -> {status}")
        return status

    def announce(self):
        while self.running:
            self.beat()
            time.sleep(self.fleet.heartbeat_seconds)

    def serve(self):
        while self.running:
            try:
                raw = self.socket.recv(2048)
            except TimeoutError:
                continue
            except OSError:
                return
            with self.lock:
                self.take(raw, Packet.decode(raw))

    def reply(self, packet, flags, seq, ack, data=b""):
        answer = Packet(packet.destination, packet.source, flags, seq, ack, data)
        self.socket.sendto(answer.encode(), (self.address, self.fleet.ports["outbound"]))

    def bounce(self, raw):
        raw = bytearray(raw)
        raw[12] |= BOUNCED
        self.socket.sendto(raw, (self.address, self.fleet.ports["outbound"]))

    def take(self, raw, packet):
        key = packet.source, packet.destination
        if not packet.is_whole():
            self.fleet.fault("UNASKED", f"endpoint {self.name} got a packet that no client wrote so")
            return
        if packet.flags & SYN:
            held = self.flows.setdefault(key, Held())
            self.note(f"SYN of {key[0]} for {key[1]}, copies {packet.ack}")
            return self.reply(packet, SYN | ACK, held.seq, packet.seq + 1)
        held = self.flows.get(key)
        if held is None:
            self.note(f"does not hold the flow of {key[0]}, packet given back")
            return self.bounce(raw)
        if not held.is_open:
            if packet.ack != held.seq + 1:
                return  # the client went on elsewhere
            held.is_open, held.taken = True, packet.seq
            self.note(f"flow of {key[0]} for {key[1]} is open")
        if packet.flags & RST:
            del self.flows[key]
            return
        if packet.data and packet.seq == held.taken:
            held.taken = packet.seq + len(packet.data)
            held.answer = self.run(key, packet.data)
            held.answered_from, held.sent = held.sent, held.sent + len(held.answer)
        if packet.data:
            self.reply(packet, ACK, held.answered_from, held.taken, held.answer)
        if packet.flags & FIN:
            del self.flows[key]
            self.note(f"flow of {key[0]} closed by its client")
            self.reply(packet, ACK | FIN, held.sent, packet.seq + 1)

    def run(self, key, data):
        self.note(f"runs {data.decode()}")
        self.fleet.ran(data.decode(), self)
        return f"{data.decode()} done by {self.name}".encode()

    def holds(self, key):
        with self.lock:
            held = self.flows.get(key)
            return self.running and held is not None and held.is_open

    def stop(self):
        self.running = False
        self.socket.close()
        self.health.shutdown()
        self.health.server_close()


class Router:
    """The routers of one zone: a hash over the nodes in rotation, which stays for other nodes."""

    def __init__(self, fleet, nodes):
        self.fleet, self.nodes, self.running = fleet, list(nodes), True
        self.missed = {node: MISSES for node in self.nodes}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for node in self.nodes:
            threading.Thread(target=self.probe, args=(node,), daemon=True).start()

    def probe(self, node):
        while self.running:
            began = time.monotonic()
            good = self.fleet.is_ready(node)
            missed = 0 if good else self.missed[node] + 1
            if (missed < MISSES) != (self.missed[node] < MISSES):
                self.fleet.record.note("router", f"{node} {'in' if good else 'out of'} rotation")
            self.missed[node] = missed
            time.sleep(max(began + PROBE_SECONDS - time.monotonic(), 0))

    def node_of(self, key):
        usable = [node for node in self.nodes if self.missed[node] < MISSES]
        if 2 * len(usable) < len(self.nodes):
            usable = self.nodes
        return max(usable, key=lambda node: zlib.crc32(repr((node, key)).encode()))

    def send(self, packet, node=None):
        node = node or self.node_of((packet.source, packet.destination))
        self.socket.sendto(packet.encode(), (node, self.fleet.ports["packets"]))
        return node


class Flow:
    """A client's flow, opened and used as PROTOCOL.md says."""

    def __init__(self, clients, port, route):
        self.clients, self.record = clients, clients.fleet.record
        self.end, self.route = (clients.address, port), route
        self.seq, self.ack = random.getrandbits(30), 0
        self.is_open, self.reset, self.answer = False, False, None
        self.changed = threading.Condition()

    @property
    def key(self):
        return self.end, self.route

    def note(self, text):
        self.record.note(f"client {self.end[0]}:{self.end[1]}", text)

    def send(self, flags, ack=None, data=b""):
        packet = Packet(self.end, self.route, flags, self.seq, self.ack if ack is None else ack, data)
        return self.clients.router.send(packet)

    def open(self):
        began = time.monotonic()
        for copies, after in enumerate(SYN_COPIES):
            if self.wait(lambda: self.is_open or self.reset, began + after - time.monotonic()):
                break
            node = self.send(SYN, copies)
            self.note(f"SYN, copies {copies}, to {self.route} through {node}")
        self.wait(lambda: self.is_open or self.reset, began + SYN_ENDS - time.monotonic())
        if self.is_open:
            self.send(ACK)
        else:
            self.note("reset, not open" if self.reset else "not open")
        return self.is_open

    def wait(self, condition, seconds):
        with self.changed:
            return self.changed.wait_for(condition, max(seconds, 0))

    def ask(self, text):
        """Sends one request, again while it is not answered until the client gives up at its
        deadline; the answer, or nothing.
        """
        within = self.clients.fleet.site["deadlineMs"] / 1000
        self.answer, data = None, text.encode()
        began = time.monotonic()
        for after in (0.0,) + RETRANSMITS:
            if after >= within:
                break
            if self.wait(lambda: self.answer or self.reset, began + after - time.monotonic()):
                break
            node = self.send(ACK, data=data)
            self.note(f"sends {text} through {node}")
        self.wait(lambda: self.answer or self.reset, began + within - time.monotonic())
        if not self.answer:
            self.note(f"{text}: " + ("reset" if self.reset else "no answer"))
            return None
        self.seq += len(data)
        self.send(ACK)
        return self.answer

    def take(self, packet):
        with self.changed:
            if packet.flags & RST:
                self.take_reset(packet)
            elif packet.flags & SYN:
                if not self.is_open:
                    self.ack, self.is_open = packet.seq + 1, True
            elif packet.data and packet.seq == self.ack:
                self.ack += len(packet.data)
                self.answer = packet.data.decode()
                self.note(f"answer: {self.answer}")
            self.changed.notify_all()

    def take_reset(self, packet):
        self.reset = True
        holder = self.clients.fleet.holder_of(self.key)
        self.note(f"RST with seq {packet.seq}, last ack {self.ack}; held open by "
                  f"{holder.name if holder else 'no endpoint'}")
        if holder and time.monotonic() >= self.clients.fleet.judged_from:
            self.clients.fleet.fault("FLOW", f"the flow of {self.end} was reset, but endpoint "
                                             f"{holder.name} lives, holds it open and sent no reset")

    def close(self):
        self.send(ACK | FIN)


class Clients:
    """All clients of one address; each flow has a port of its own."""

    def __init__(self, fleet, address, router):
        self.fleet, self.address, self.router = fleet, address, router
        self.flows, self.next_port = {}, 40000
        self.socket = udp(address, fleet.ports["packets"])
        threading.Thread(target=self.receive, daemon=True).start()

    def receive(self):
        while self.fleet.running:
            try:
                packet = Packet.decode(self.socket.recv(2048))
            except TimeoutError:
                continue
            except OSError:
                return
            flow = self.flows.get(packet.destination[1])
            own_reset = packet.flags & RST and packet.check == 0
            if flow is None or not (packet.is_whole() or own_reset):
                self.fleet.fault("MIXED", "a client got a packet that no endpoint wrote so")
                continue
            flow.take(packet)

    def flow(self, route):
        self.next_port += 1
        flow = self.flows[self.next_port] = Flow(self, self.next_port, route)
        return flow


class Fleet:
    """The programs under test and everything around them."""

    def __init__(self, folder, site):
        self.folder, self.running, self.site = folder, True, SITES[site]
        self.record = Record(folder)
        self.faults, self.runs, self.lock = [], {}, threading.Lock()
        self.heartbeat_seconds = HEARTBEAT_SECONDS
        self.judged_from = 0.0  # resets before it don't count: not all machines were in touch
        self.processes, self.endpoints, self.settings = {}, [], {}
        self.temporary = tempfile.TemporaryDirectory()
        self.net, self.ports = self.free_net()
        self.seeds = []
        self.store = Store(self.ports["store"], self.record)

    @staticmethod
    def free_net():
        names = ("packets", "readiness", "control", "app", "outbound", "internal", "store")
        while True:
            net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
            first = random.randrange(20000, 30000)
            ports = {name: first + place for place, name in enumerate(names)}
            try:
                for port in ports.values():
                    with socket.create_server((f"{net}.1", port)), udp(f"{net}.1", port):
                        pass
                return net, ports
            except OSError:
                continue

    def host(self, last):
        return f"{self.net}.{last}"

    def fault(self, rule, text):
        with self.lock:
            self.faults.append((rule, text))
        self.record.note("CHECK", f"{rule} is broken: {text}")

    def ran(self, request, endpoint):
        with self.lock:
            self.runs.setdefault(request, []).append(endpoint.name)

    def holder_of(self, key):
        return next((endpoint for endpoint in self.endpoints if endpoint.holds(key)), None)

    def write_settings(self, address, role, service=None, **changed):
        ports = self.ports
        own = {"role": role, "name": f"{role}-{address}", "failure_domain": "z",
               "packets": f"{address}:{ports['packets']}",
               "readiness": f"{address}:{ports['readiness']}",
               "heartbeats": f"{address}:{ports['control']}", "metrics": f"{address}:9464",
               "control_port": ports["internal"], "seeds": self.seeds,
               "platform_contracts": self.site["contracts"],
               "grace_seconds": GRACE_SECONDS,
               "configuration_within_seconds": self.site["configApplyMs"] / 1000,
               "platform": self.store.address_for(address)}
        if role == "agent":
            own |= {"from_target": f"{address}:{ports['outbound']}",
                    "target": f"{address}:{ports['app']}", "service": service,
                    "heartbeat_seconds": self.heartbeat_seconds,
                    "address_reused_after_seconds": REUSE_AFTER_SECONDS}
        else:
            own["avoid_failing_targets"] = True
            if "evacuateMs" in self.site:
                own["drains_within_seconds"] = self.site["evacuateMs"] / 1000
        path = os.path.join(self.temporary.name, f"{address}.json")
        with open(path + ".new", "w") as file:
            json.dump(own | changed, file)
        os.replace(path + ".new", path)
        return path

    def start(self, address, role, service=None, **changed):
        path = self.write_settings(address, role, service, **changed)
        self.settings[address] = (role, service, changed)
        log = open(os.path.join(self.folder, f"log-{address.rsplit('.', 1)[1]}.txt"), "a")
        self.processes[address] = subprocess.Popen([PROGRAM, "--settings", path], cwd=ROOT,
                                                   stdout=log, stderr=log)
        log.close()
        self.record.note("platform", f"{role} on {address} started")

    def end(self, address, how=signal.SIGTERM):
        process = self.processes.pop(address)
        process.send_signal(how)
        try:
            process.wait(GRACE_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        self.record.note("platform", f"{address} ended by {signal.Signals(how).name}")

    def restart(self, address, pause=0.5, how=signal.SIGTERM):
        """Stops the process and starts it again after a short delay."""
        self.end(address, how)
        time.sleep(pause)
        role, service, changed = self.settings[address]
        self.start(address, role, service, **changed)

    def freeze(self, address):
        self.processes[address].send_signal(signal.SIGSTOP)
        self.record.note("platform", f"{address} stands still")

    def wake(self, address):
        self.processes[address].send_signal(signal.SIGCONT)
        self.record.note("platform", f"{address} goes on")

    def is_ready(self, address):
        try:
            url = f"http://{address}:{self.ports['readiness']}/readyz"
            return urllib.request.urlopen(url, timeout=0.4).status == 200
        except OSError:
            return False

    def endpoint(self, last, service):
        """An endpoint on a machine of its own, with the agent beside it."""
        address = self.host(last)
        self.start(address, "agent", service)
        endpoint = Endpoint(self, address, service, f"e{last}")
        self.endpoints.append(endpoint)
        return endpoint

    def own_ends(self):
        """Processes that ended by themselves."""
        return [address for address, process in self.processes.items() if process.poll() is not None]

    def close(self):
        self.running = False
        for endpoint in self.endpoints:
            if endpoint.running:
                endpoint.stop()
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.store.close()
        self.temporary.cleanup()


def wait_until(condition, what, seconds=20):
    ends = time.monotonic() + seconds
    while time.monotonic() < ends:
        if condition():
            return
        time.sleep(0.05)
    raise CannotRun(what)


class CannotRun(Exception):
    pass


def play(folder, site, case):
    """Runs the case with the figures of the site and ends this process with 1 if a rule was broken, 0 if not, 2 if it can't run."""
    for name in os.listdir(folder):
        if name.startswith("log-"):
            os.remove(os.path.join(folder, name))
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))  # leaves no process behind
    trouble = os.environ.get("TROUBLE", "1") != "0"
    status = CANNOT_RUN
    fleet = None
    try:
        if not os.path.exists(os.path.join(ROOT, PROGRAM)):
            raise CannotRun(f"{PROGRAM} is not built")
        fleet = Fleet(folder, site)
        case(fleet, trouble)
        for address in fleet.own_ends():
            fleet.fault("Fault", f"the process on {address} ended by itself")
        status = 1 if fleet.faults else 0
        verdict = f"{len(fleet.faults)} times broken" if fleet.faults else "held"
        fleet.record.note("RESULT", f"trouble {int(trouble)}: {verdict}")
        print(f"trouble {int(trouble)}: {verdict}")
        for rule, text in fleet.faults[:5]:
            print(f"  {rule}: {text}")
    except CannotRun as error:
        print(f"cannot run: {error}")
        if fleet:
            fleet.record.note("RESULT", f"cannot run: {error}")
    finally:
        if fleet:
            fleet.close()
    sys.exit(status)
