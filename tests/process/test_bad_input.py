"""Rubbish at every edge, settings that are wrong, and the end of every process."""

import contextlib
import json
import random
import re
import socket
import subprocess
import tempfile
import unittest
import urllib.request

import rubbish
from coap import Flow
from support import BUILD, ROOT, WIDE_SECONDS, FleetTest, wait_until

DATAGRAMS = 300
CONNECTIONS = 30
LARGEST = 2000
SEED = 20
EXIT_USAGE = 1
EXIT_BAD_SETTINGS = 2
EXIT_NO_SOCKET = 3
LARGEST_DATAGRAM = 65507  # over IPv4
TOO_LARGE_BODY = 2 * 1024 * 1024
OWNER_QUERY, REPLY = 6, 4  # bodies of a tunnel header, src/wire/tunnel.proto
NO_SERVICE = 1  # the id of none


def endpoint(text):
    host, port = text.rsplit(":", 1)
    return host, int(port)


def without_comments(text):
    return "\n".join(line for line in text.splitlines() if not line.strip().startswith("//"))


class BadInput(FleetTest):
    def setUp(self):
        self.random = random.Random(SEED)

    def rubbish(self):
        return self.random.randbytes(self.random.randrange(LARGEST))

    def send_datagrams(self, address):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for _ in range(DATAGRAMS):
                sender.sendto(self.rubbish(), endpoint(address))

    def send_streams(self, address):
        for _ in range(CONNECTIONS):
            try:
                with socket.create_connection(endpoint(address), timeout=5) as sender:
                    sender.sendall(self.rubbish())
            except OSError:
                pass  # the other end may refuse it as early as it likes

    def settings(self, running, name):
        text = (running.path / "settings" / f"{name}.json").read_text()
        return json.loads(without_comments(text))

    # The client sees: its answers, as ever. Order: random bytes reach every port of a balancer and
    # of an agent, and the fabric's service address; then requests are sent.
    # Why: each edge checks what it reads whole before it acts on it, counts and drops the rest.
    def test_rubbish_at_every_edge_is_counted_and_kills_nothing(self):
        running = self.start_fleet()
        balancer, target = running.balancer("b1"), running.plan["targets"][0]
        b1 = self.settings(running, "b1")
        agent = self.settings(running, target["agent"])
        self.send_datagrams(running.service_address("desk"))
        for bind in balancer["binds"]:
            self.send_datagrams(bind)
        for tunnel in (b1["tunnel"], agent["tunnel"]):
            self.send_datagrams(tunnel)
        for port in (b1["balancer"]["control"], b1["operator_port"], agent["operator_port"]):
            self.send_streams(port)
        self.check_counted(running, balancer, target)
        for name, (_, process) in running.processes.items():
            self.assertIsNone(process.poll(), f"{name} ended: {running.log_of(name)[-300:]}")
        wait_until(running.is_ready, "all ready", WIDE_SECONDS)
        with Flow(running.service_address("desk")) as flow:
            self.assertEqual(flow.get("feed").status, 205)
            self.assertEqual(flow.post("hold", "after-rubbish").status, 201)

    def check_counted(self, running, balancer, target):
        def refused(entry):
            samples = running.metrics(entry)
            return sum(value for name, value in samples.items()
                       if name.startswith("anvildrum_tunnel_refused_total"))
        for entry in (balancer, target):
            wait_until(lambda: refused(entry) >= DATAGRAMS / 2, "refused tunnel datagrams counted",
                       WIDE_SECONDS)

        def malformed():
            return sum(value for one in running.plan["targets"]
                       for name, value in running.metrics(one).items()
                       if name.startswith("anvildrum_requests_total") and "malformed" in name)
        wait_until(lambda: malformed() > 0, "malformed client datagrams counted", WIDE_SECONDS)

    # The operator sees: the counters that docs/operators/relay.md and steering.md tell to look at.
    def test_the_counters_of_the_pages_are_shown(self):
        page = (ROOT / "docs/operators/relay.md").read_text()
        table = page[page.index("## Counters"):page.index("## Limits")]
        rows = [row.split("|")[1] for row in table.splitlines() if row.startswith("| ")][1:]
        named = [name for row in rows for name in re.findall("`([a-z_]+)`", row)]
        self.assertGreater(len(named), 15)
        running = self.start_fleet()
        for name, entry in running.entries():
            samples = running.metrics(entry)
            shown = {label for sample in samples if sample.startswith("anvildrum_relay_")
                     for label in re.findall('"([a-z_]+)"', sample) or [sample]}
            self.assertEqual([one for one in named if one not in shown], [], name)
        page = (ROOT / "docs/operators/steering.md").read_text()
        cells = [row.split("|")[1] for row in page[page.index("## Alarms"):].splitlines()
                 if row.startswith("| `")]
        events = [name for cell in cells if "settled" not in cell and "balancer" not in cell
                  for name in re.findall("`([a-z_]+)`", cell)]
        self.assertGreater(len(events), 5)
        samples = running.metrics(running.plan["targets"][0])
        shown = [f'anvildrum_flow_events_total{{event="{event}"}}' for event in events]
        shown += re.findall('`(anvildrum_[a-z_]+{[^`]+})`', "".join(cells))
        self.assertGreater(len(shown), len(events))
        self.assertEqual([one for one in shown if one not in samples], [])

    # The operator sees: for each kind of rubbish its own count, and everything else as ever.
    # Order: one kind at one edge, its count, a request or call that is served, then the next kind.
    # Why: a fault, or a stranger, shows by its kind; one sum would not tell them apart.
    def test_each_kind_of_rubbish_is_counted_at_its_edge(self):
        running = self.start_fleet()
        self.b1, self.agent = running.balancer("b1"), running.plan["targets"][0]
        for edge in (self.client_edge, self.tunnel_edge, self.control_edge, self.operator_edge,
                     self.platform_edge):
            for where, sample, send in edge(running):
                with self.subTest(edge=edge.__name__, sample=sample):
                    self.check_kind(running, where, sample, send)
        patch = running.path / "patch.json"
        patch.write_text('[{"op": "add", "path": "/services/desk/limits/queue_ms", "value": 300}]')
        done = running.ctl("apply", "--base", "1", "--wait", "--timeout", "30", str(patch))
        self.assertEqual(done.returncode, 0, done.stderr)

    def check_kind(self, running, where, sample, send):
        samples = [sample] if isinstance(sample, str) else sample

        def count():
            return sum(running.metrics(entry)[name] for entry in where for name in samples)
        before = count()
        send()
        wait_until(lambda: count() > before, f"{sample} rises", WIDE_SECONDS)
        with Flow(self.b1["binds"][0]) as flow:
            self.assertEqual(flow.get("feed").status, 205)
        for entry in (self.b1, self.agent):
            self.assertTrue(running.status(entry)["ready"])

    def datagram(self, address, data):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(data, endpoint(address))

    def stream(self, address, data):
        with socket.create_connection(endpoint(address), timeout=5) as sender:
            sender.sendall(data)
            sender.settimeout(5)
            try:
                while sender.recv(4096):
                    pass
            except OSError:
                pass  # reset by the other end

    def client_edge(self, running):
        bind = self.b1["binds"][0]
        token_of_15_bytes = bytes([0x4f, 1, 0, 7]) + bytes(15)
        yield (running.plan["targets"], 'anvildrum_requests_total{event="client_malformed"}',
               lambda: self.datagram(bind, token_of_15_bytes))
        yield ([self.b1], "anvildrum_tunnel_unsent_total",
               lambda: self.datagram(bind, bytes(LARGEST_DATAGRAM)))

    def tunnel_edge(self, running):
        for name, entry in (("b1", self.b1), (self.agent["agent"], self.agent)):
            settings = self.settings(running, name)
            address, key = settings["tunnel"], bytes.fromhex(settings["tunnel_keys"][0])
            datagrams = {"truncated": b"abc", "bad_mac": self.random.randbytes(LARGEST_DATAGRAM),
                         "malformed": rubbish.seal(key, b"\xff\xff"),
                         "missing_body": rubbish.seal(key, b"")}
            for kind, data in datagrams.items():
                yield ([entry], f'anvildrum_tunnel_refused_total{{reason="{kind}"}}',
                       lambda data=data: self.datagram(address, data))
        key = bytes.fromhex(self.settings(running, "b1")["tunnel_keys"][0])
        b1, agent = (self.settings(running, name)["tunnel"] for name in ("b1", self.agent["agent"]))
        messages = 'anvildrum_tunnel_messages_refused_total{kind="%s"}'
        yield ([self.b1], messages % "misdirected",
               lambda: self.datagram(b1, rubbish.seal(key, rubbish.part(OWNER_QUERY, b""))))
        yield ([self.b1], messages % "malformed",
               lambda: self.datagram(b1, rubbish.seal(key, rubbish.part(REPLY, b""))))
        yield ([self.agent], messages % "malformed",
               lambda: self.datagram(agent, rubbish.seal(key, rubbish.part(REPLY, b""))))
        yield ([self.agent], 'anvildrum_flow_events_total{event="wrong_service"}',
               lambda: self.datagram(agent, rubbish.seal(key, rubbish.packet(NO_SERVICE), b"x")))

    def control_edge(self, running):
        settings = self.settings(running, "b1")
        address, keys = settings["balancer"]["control"], settings["relay_keys"][0]
        handshakes = 'anvildrum_relay_handshakes_refused_total{kind="%s"}'
        messages = 'anvildrum_relay_messages_refused_total{kind="%s"}'

        def closed_at_once():
            socket.create_connection(endpoint(address), timeout=5).close()
        yield [self.b1], handshakes % "malformed", lambda: self.stream(address, b"x" * 100)
        yield [self.b1], handshakes % "broken_off", closed_at_once
        # Without keys both ends see that the other's mechanism is not theirs. Either may hang up
        # first, and the server counts a peer that did as one that broke off.
        no_keys = [handshakes % "malformed", handshakes % "broken_off"]
        peers = [(no_keys, {}, [b"without keys"]),
                 (handshakes % "key_not_accepted", {"own": rubbish.new_keys(), "server": keys},
                  [b"with a strange key"]),
                 (messages % "malformed", {"own": keys, "server": keys}, [b"\xff\xff"]),
                 (messages % "wrong_frames", {"own": keys, "server": keys}, [b"1", b"2", b"3"]),
                 (messages % "unexpected", {"own": keys, "server": keys}, [b""])]
        # A peer connects when it is made, and one whose handshake fails only once: not before the
        # count was read.
        with contextlib.ExitStack() as stack:
            def connect(options, frames):
                stack.enter_context(rubbish.RelayPeer(address, **options)).send(*frames)
            for sample, options, frames in peers:
                yield [self.b1], sample, lambda o=options, f=frames: connect(o, f)

    def operator_edge(self, _):
        refused = 'anvildrum_operator_refused_total{kind="%s"}'
        body = f"POST /drain HTTP/1.1\r\nContent-Length: {TOO_LARGE_BODY}\r\n\r\n"
        requests = {"malformed": "\x16\x03\x01 rubbish\r\n\r\n", "too_large": body,
                    "unknown_path": "GET /nothing HTTP/1.0\r\n\r\n",
                    "wrong_method": "PUT /status HTTP/1.0\r\n\r\n"}
        for entry in (self.b1, self.agent):
            for kind, text in requests.items():
                yield ([entry], refused % kind,
                       lambda text=text: self.stream(entry["operator_port"], text.encode()))

    def platform_edge(self, running):
        def put(key):
            request = urllib.request.Request(
                f"http://{running.plan['platform']}/v1/objects/{key}", method="PUT",
                data=b'{"no": "record"}', headers={"If-None-Match": "*"})
            urllib.request.urlopen(request, timeout=5).close()
        refused = 'anvildrum_records_refused_total{kind="%s"}'
        yield [self.b1], refused % "target", lambda: put("targets/desk/no-record")
        yield [self.agent], refused % "target", lambda: put("targets/desk/no-record-either")
        yield [self.b1], refused % "balancer", lambda: put("balancers/no-record")
        every = [entry for _, entry in running.entries()]

        def cut_off():
            running.faults(half_body=10)
            put("targets/desk/ends-a-watch")
        yield every, 'anvildrum_platform_failures_total{kind="malformed_answer"}', cut_off

    # The operator sees: exit code 2, the file and the key at fault, and no port bound.
    def test_wrong_settings_end_the_daemon_before_it_binds(self):
        running = self.start_fleet()
        good = self.settings(running, "b1")
        cases = [("unknown_key", dict(good, unknown_key=1)),
                 ("tunnel", dict(good, tunnel="localhost:1")),
                 ("operator_port", dict(good, operator_port=17)),
                 ("failure_domain", {k: v for k, v in good.items() if k != "failure_domain"}),
                 ("role", dict(good, role="both"))]
        for key, settings in cases:
            with self.subTest(key=key):
                path = running.path / f"wrong-{key}.json"
                path.write_text(json.dumps(settings))
                result = subprocess.run([running.program("anvildrumd"), "--settings", str(path)],
                                        capture_output=True, text=True, timeout=WIDE_SECONDS)
                # The ports are taken by b1: binding first would end with another code.
                self.assertEqual(result.returncode, EXIT_BAD_SETTINGS, result.stderr)
                self.assertIn(f"{path}: ", result.stderr)
                self.assertIn(key, result.stderr)

    # The operator sees: the exit codes of docs/operators/settings.md, and on standard error what is
    # at fault.
    def test_the_daemons_exit_codes_are_those_documented(self):
        def run(*arguments):
            result = subprocess.run([f"{BUILD}/src/daemon/anvildrumd", *arguments], text=True,
                                    capture_output=True, timeout=WIDE_SECONDS)
            return result.returncode, result.stderr
        self.assertEqual(run("--version")[0], 0)
        self.assertEqual(run("--help")[0], 0)
        self.assertEqual(run("--colour")[0], EXIT_USAGE)
        code, text = run("--settings", "missing.json")
        self.assertEqual((code, "missing.json: " in text), (EXIT_BAD_SETTINGS, True), text)
        with socket.create_server(("127.0.0.1", 0)) as taken, \
                tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            port = "127.0.0.1:%d" % taken.getsockname()[1]
            example = (ROOT / "deployments/ledgewater/settings/b1.json").read_text()
            operator_port = json.loads(without_comments(example))["operator_port"]
            file.write(example.replace(operator_port, port))
            file.flush()
            code, text = run("--settings", file.name)
            self.assertEqual((code, port in text), (EXIT_NO_SOCKET, True), text)

    # The operator sees: each process ends by itself, with exit code 0, after one SIGTERM.
    def test_sigterm_ends_every_process(self):
        running = self.start_fleet()
        with Flow(running.service_address("desk")) as flow:
            self.assertEqual(flow.get("feed").status, 205)
        order = {"agent": 0, "balancer": 1, "fabric": 2, "target": 3, "platform": 4}
        for name, (role, _) in sorted(running.processes.items(), key=lambda one: order[one[1][0]]):
            if role != "agent":
                continue
            running.processes[name][1].terminate()
        for name, (role, process) in sorted(running.processes.items(),
                                            key=lambda one: order[one[1][0]]):
            if role != "agent":
                process.terminate()
            with self.subTest(process=name):
                self.assertEqual(process.wait(timeout=2 * WIDE_SECONDS), 0)


if __name__ == "__main__":
    unittest.main()
