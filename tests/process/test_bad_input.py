"""Rubbish at every edge, settings that are wrong, and the end of every process."""

import json
import random
import socket
import subprocess
import unittest

from coap import Flow
from support import WIDE_SECONDS, FleetTest, wait_until

DATAGRAMS = 300
CONNECTIONS = 30
LARGEST = 2000
SEED = 20
EXIT_BAD_SETTINGS = 2


def endpoint(text):
    host, port = text.rsplit(":", 1)
    return host, int(port)


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
        lines = [line for line in text.splitlines() if not line.strip().startswith("//")]
        return json.loads("\n".join(lines))

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

    # The operator sees: exit code 2 and the key at fault, and no port bound.
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
                self.assertIn(key, result.stderr)

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
