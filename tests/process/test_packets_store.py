"""Packet flows while the platform's store misbehaves: silent connections, lost answers, a history that
is gone, a store that is busy."""

import os
import signal
import socket
import time
import unittest

from packet_standins import BUSY, CONTROL, METRICS, STORE, Client, Machines, Target
from support import BUILD, WIDE_SECONDS, wait_until
from tcp_proxy import Mode, Proxy
from test_packets import ROUTE, configuration

BALANCER, AGENT, CLIENT = 10, 20, 90
ADDED = ("198.18.0.3", 8443)
PROXY_PORT = STORE + 1
SILENT_SECONDS = 0.5  # long enough for a watch's answer to be lost on its way
HELLO_SECONDS = 0.05


def varint(number):
    low, rest = number & 0x7f, number >> 7
    return bytes([low | 0x80]) + varint(rest) if rest else bytes([low])


def hello_without_echo(revision):
    """A balancer's hello: the platform has just confirmed this revision."""
    parts, revised = b"\x48\x01", b"\x68" + varint(revision)
    confirmed_now, mark = b"\x80\x01\x00", b"\x9d\x01" + bytes(4)
    body = parts + revised + confirmed_now + mark
    return b"\x0a" + varint(len(body)) + body


class Store(unittest.TestCase):
    def setUp(self):
        self.machines = Machines(os.path.join(BUILD, "platform", "anvildrum-packetd"))
        self.addCleanup(self.machines.close)
        self.store = self.machines.store
        self.store.put("config", "main", configuration(1, [ROUTE]))
        self.proxies = {}
        for last in (BALANCER, AGENT):
            self.proxies[last] = Proxy((self.machines.host(last), PROXY_PORT),
                                       (self.machines.host(1), STORE))
            self.addCleanup(self.proxies[last].close)
        self.target = Target(self.machines.host(AGENT), "desk")
        self.client = Client(self.machines.host(CLIENT), self.machines.host(BALANCER))
        self.addCleanup(self.client.close)
        self.addCleanup(self.target.stop)

    def start(self, last, service=None):
        self.machines.start(last, service, platform=f"{self.machines.host(last)}:{PROXY_PORT}",
                            seeds=[])

    def start_all(self):
        self.start(AGENT, "desk")
        self.start(BALANCER)
        self.wait_until_open(ROUTE)

    def wait_until_open(self, route):
        wait_until(lambda: self.client.new_flow(route).open(), f"{route} open", WIDE_SECONDS)

    def test_a_configuration_is_in_force_though_the_watch_went_silent(self):
        # The connection of the balancer's watch goes silent without a reset, just as the answer with
        # a new configuration is on its way. New connections work. The balancer has to give the
        # watch up by itself.
        self.start_all()
        self.proxies[BALANCER].mode = Mode.SILENT
        self.store.put("config", "main", configuration(2, [ROUTE, ADDED]))
        time.sleep(SILENT_SECONDS)
        self.proxies[BALANCER].mode = Mode.PASS
        self.wait_until_open(ADDED)

    def test_a_configuration_is_in_force_though_the_history_is_gone(self):
        # The store drops its history while the balancer is cut off from it; a watch from its last
        # revision is refused, and only a list tells what has changed.
        self.start_all()
        self.proxies[BALANCER].mode = Mode.RESET
        self.store.put("config", "main", configuration(2, [ROUTE, ADDED]))
        self.store.drop_history()
        self.proxies[BALANCER].mode = Mode.PASS
        self.wait_until_open(ADDED)

    def test_a_balancer_says_when_its_configuration_is_not_confirmed(self):
        # The store goes silent for longer than a configuration may take to be in force. What the
        # balancer has may have been replaced: operators see that it does not know.
        unconfirmed = "anvildrum_packets_configuration_unconfirmed"
        self.start_all()
        wait_until(lambda: self.metric(BALANCER, unconfirmed) == 0, "no doubt", WIDE_SECONDS)
        self.proxies[BALANCER].mode = Mode.SILENT
        wait_until(lambda: self.metric(BALANCER, unconfirmed) == 1, "doubt is told", WIDE_SECONDS)
        self.assertGreater(self.metric(BALANCER, "anvildrum_packets_configuration_age_ms"), 0)
        self.proxies[BALANCER].mode = Mode.PASS
        wait_until(lambda: self.metric(BALANCER, unconfirmed) == 0, "no doubt", WIDE_SECONDS)

    def test_a_hello_of_any_age_confirms_nothing(self):
        # Nothing in a hello proves when it was sent. It may have waited in a socket for as long as
        # the configuration may be old; the balancer goes on reading for itself.
        def reads():
            return self.metric(BALANCER, "anvildrum_packets_operator_reads_total")

        self.start_all()
        hello = hello_without_echo(self.store.objects["config", "main"]["meta"]["revision"])
        before = reads()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
            other.bind((self.machines.host(BALANCER + 1), CONTROL))

            def has_read_on():
                other.sendto(hello, (self.machines.host(BALANCER), CONTROL))
                time.sleep(HELLO_SECONDS)
                return reads() >= before + 2

            wait_until(has_read_on, "own reads", WIDE_SECONDS)
        self.assertEqual(self.metric(BALANCER, "anvildrum_packets_confirmations_total"), 0)
        self.assertEqual(self.metric(BALANCER, "anvildrum_packets_malformed_total"), 0)

    def test_a_record_whose_answer_is_lost_is_written_once(self):
        # The agent's record is created, and the answer is lost. The agent asks again, finds its own
        # record there and is content: it neither writes for ever nor stays unknown.
        self.proxies[AGENT].mode = Mode.ONE_WAY
        self.start(AGENT, "desk")
        wait_until(lambda: self.records(), "the agent's record", WIDE_SECONDS)
        revision = self.records()[0]["meta"]["revision"]
        self.proxies[AGENT].mode = Mode.PASS
        self.start(BALANCER)
        self.wait_until_open(ROUTE)
        wait_until(self.agent_was_answered, "an answer to the agent", WIDE_SECONDS)
        self.assertEqual(len(self.records()), 1)
        self.assertEqual(self.records()[0]["meta"]["revision"], revision)

    def test_flows_open_while_the_store_is_busy_and_after(self):
        # Flows need no store. Processes that start while it is busy serve as soon as it is back.
        self.start_all()
        flow = self.client.new_flow(ROUTE)
        wait_until(flow.open, "a flow open", WIDE_SECONDS)
        self.store.harm = BUSY
        self.wait_until_open(ROUTE)
        self.machines.end(BALANCER, signal.SIGKILL)
        self.machines.end(AGENT, signal.SIGKILL)
        self.start(AGENT, "desk")
        self.start(BALANCER)
        wait_until(lambda: self.machines.get(BALANCER, METRICS, "/metrics") is not None,
                   "the balancer started", WIDE_SECONDS)
        self.assertFalse(self.machines.is_ready(BALANCER))
        self.store.harm = None
        wait_until(lambda: str(flow.request(b"still")).endswith(":still"), "the flow served",
                   WIDE_SECONDS)

    def test_entries_of_other_writers_hide_nothing(self):
        # Another writer has left entries that can't be read among the agents' records and beside the
        # configuration, before the processes start and while they run. The balancer counts them and
        # goes on with the others; a second object of the configuration's kind is not in force.
        self.put_odd_entries("before")
        self.start_all()
        self.put_odd_entries("after")
        self.store.put("config", "main", configuration(2, [ROUTE, ADDED]))
        self.wait_until_open(ADDED)
        wait_until(lambda: self.metric(BALANCER, "anvildrum_packets_unreadable_total") >= 8,
                   "odd entries counted", WIDE_SECONDS)
        self.assertTrue(self.client.new_flow(ROUTE).open())

    def put_odd_entries(self, name):
        other = self.machines.host(AGENT + 1)
        for number, spec in enumerate((None, [], "text", {"agent": 7, "service": "desk"},
                                       {"agent": other}, {"service": "desk"})):
            self.store.put("anvildrum-agents", f"{name}-{number}", spec)
        self.store.put("anvildrum-agents", other.replace(".", "-"),
                       {"agent": self.machines.host(AGENT), "service": "desk"})
        self.store.put("config", name, configuration(9, []))

    def agent_was_answered(self):
        sent, failed = (self.metric(AGENT, f"anvildrum_packets_platform_calls{kind}_total")
                        for kind in ("", "_failed"))
        return sent > failed

    def metric(self, last, name):
        text = self.machines.get(last, METRICS, "/metrics") or ""
        return sum(float(line.split()[1]) for line in text.splitlines()
                   if line.startswith(name + " "))

    def records(self):
        return [item for (kind, _), item in self.store.objects.items()
                if kind == "anvildrum-agents"]
