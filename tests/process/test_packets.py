"""Packet flows through real processes: balancer and agents between stand-ins."""

import os
import signal
import subprocess
import unittest
import urllib.error

from packet_standins import HEARTBEATS, METRICS, Client, Machines, Target
from support import BUILD, WIDE_SECONDS, signal_until_gone, wait_until

BALANCER, CUT_OFF, FIRST_AGENT, SECOND_AGENT, CLIENT = 10, 11, 20, 21, 90
NOBODY = 8199  # a port that nobody listens at
ROUTE = ("198.18.0.1", 8443)
REMOVED = ("198.18.0.2", 8443)
FLOWS = 20


def configuration(version, routes):
    return {"version": version, "services": [], "limits": {"idleTimeoutMs": 15000},
            "routes": [{"name": f"r{port}", "hostname": host, "pathPrefix": f"/{port}/",
                        "type": "idempotent", "targetLatencyMs": 200, "service": "desk"}
                       for host, port in routes]}


class Packets(unittest.TestCase):
    def setUp(self):
        self.machines = Machines(os.path.join(BUILD, "platform", "anvildrum-packetd"))
        self.addCleanup(self.machines.close)
        self.machines.store.put("config", "main", configuration(1, [ROUTE, REMOVED]))
        self.targets = {}
        for last in (FIRST_AGENT, SECOND_AGENT):
            self.start_target(last)
            self.machines.start(last, "desk")
        self.machines.start(BALANCER)
        self.client = Client(self.machines.host(CLIENT), self.machines.host(BALANCER))
        self.addCleanup(self.client.close)
        self.addCleanup(lambda: [target.stop() for target in self.targets.values()])
        self.wait_for_targets()

    def start_target(self, last):
        self.targets[last] = Target(self.machines.host(last), "desk")

    def wait_for_targets(self):
        """Until openings reach both targets."""
        seen = set()

        def both():
            flow = self.client.new_flow(ROUTE)
            if flow.open():
                seen.add((flow.request(b"x") or "").split(":")[0])
            return {target.id for target in self.targets.values()} <= seen

        wait_until(both, "openings at both targets", WIDE_SECONDS)

    def open_flows(self):
        flows = [self.client.new_flow(ROUTE) for _ in range(FLOWS)]
        for flow in flows:
            wait_until(flow.open, "a flow open", WIDE_SECONDS)
            self.assertIsNotNone(flow.request(b"first"))
        return flows

    def assert_served(self, flows):
        for flow in flows:
            wait_until(lambda flow=flow: str(flow.request(b"again")).endswith(":again"),
                       "an open flow served", WIDE_SECONDS)

    def test_flows_outlive_the_end_of_each_process(self):
        # A balancer and an agent are stopped, and then killed; each new process remembers nothing.
        # The targets hold the flows: their clients' packets have to reach them again.
        flows = self.open_flows()
        for how in (signal.SIGTERM, signal.SIGKILL):
            for last, service in ((BALANCER, None), (FIRST_AGENT, "desk")):
                with self.subTest(how=how, machine=last):
                    code = self.machines.end(last, how)
                    self.assertEqual(code, 0 if how == signal.SIGTERM else -how)
                    self.machines.start(last, service)
                    self.assert_served(flows)

    def test_signals_sent_until_a_process_is_gone_do_not_cut_its_stop(self):
        # Guards against a graceful stop that a later signal turns into a kill, near its end.
        for last in (FIRST_AGENT, BALANCER):
            process = self.machines.processes.pop(last)
            code = signal_until_gone(process, signal.SIGTERM, signal.SIGHUP)
            self.assertEqual(code, 0, last)

    def test_a_hang_up_during_the_start_does_not_end_a_process(self):
        # Guards against a process that a change of its settings kills before it handles the signal.
        pipe = os.path.join(self.machines.folder.name, "settings.pipe")
        os.mkfifo(pipe)
        command = [self.machines.program, "--settings", pipe]
        process = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
        with open(pipe, "w") as settings:  # waits until the process reads its settings
            process.send_signal(signal.SIGHUP)
            settings.write("no settings")
        self.assertEqual(process.wait(WIDE_SECONDS), 1)

    def test_anvilctl_tells_which_version_is_in_force(self):
        balancers = os.path.join(self.machines.folder.name, "balancers.txt")
        with open(balancers, "w") as file:
            file.write(f"{self.machines.host(BALANCER)}:{METRICS}\n")
        command = [os.path.join(BUILD, "src", "ctl", "anvilctl"), "versions", balancers]
        asked = subprocess.run(command, capture_output=True, text=True, check=False)
        self.assertTrue(asked.stdout.startswith("version 1 at 1 of 1 balancers"), asked)
        self.assertEqual(asked.returncode, 0, asked)

    def test_a_draining_target_is_given_no_opening_and_keeps_its_flows(self):
        # From the acknowledgement on openings go elsewhere, whatever balancers have heard of it.
        flows = self.open_flows()
        draining = self.targets[FIRST_AGENT]
        draining.state = "draining"
        self.assertEqual(draining.heartbeat(), 200)
        before = len(draining.openings)
        self.open_flows()
        self.assertEqual(len(draining.openings), before)
        self.assert_served(flows)

    def test_flows_of_targets_that_are_gone_are_reset(self):
        # Both targets start anew and hold nothing. Without an answer each client would wait until
        # its deadline; told at once, it opens a new flow.
        flows = self.open_flows()
        for last in (FIRST_AGENT, SECOND_AGENT):
            self.targets.pop(last).stop()
            self.start_target(last)
        for flow in flows:
            wait_until(lambda flow=flow: flow.request(b"still") == "reset", "a reset",
                       WIDE_SECONDS)
        self.open_flows()

    def test_a_target_that_starts_again_under_its_id_is_given_openings(self):
        # Its sequence starts anew. Heartbeats taken for late would leave it without openings for as
        # long as it had run before, here for more heartbeats than the test waits for.
        last = self.targets.pop(FIRST_AGENT)
        last.sequence = 1_000_000
        self.assertEqual(last.heartbeat(), 200)
        last.stop()
        self.targets[FIRST_AGENT] = again = Target(last.address, "desk", last.id)
        wait_until(lambda: self.open_flows() and again.openings, "openings at the target",
                   WIDE_SECONDS)
        with self.assertRaises(urllib.error.HTTPError) as refused:
            last.heartbeat()  # it comes late, and is not acknowledged
        self.assertEqual(refused.exception.code, 409)

    def test_heartbeats_of_other_writers_change_nothing(self):
        # Fields are missing or of another type, or the bytes are no text; each is refused, and the
        # target goes on.
        target = self.targets[FIRST_AGENT]
        for body in ({}, [], None, {"service": "desk", "state": "ready", "sequence": 10**6},
                     {"service": 7, "state": "ready", "sequence": 10**6}):
            with self.assertRaises(urllib.error.HTTPError) as refused:
                target.call("PUT", body)
            self.assertEqual(refused.exception.code, 400)
        before = len(target.openings)
        wait_until(lambda: self.open_flows() and len(target.openings) > before, "openings",
                   WIDE_SECONDS)

    def test_agents_learn_the_classes_of_routes(self):
        # Guards against classes that one process encodes and the other does not read, and against
        # an agent that stays without them after a restart.
        changed = configuration(2, [ROUTE, REMOVED])
        changed["routes"][0].update(priority=1, timeoutMs=1500)
        self.machines.store.put("config", "main", changed)
        for last in (FIRST_AGENT, SECOND_AGENT):
            self.wait_for_classes(last, 1)
        self.machines.end(FIRST_AGENT, signal.SIGKILL)
        self.machines.start(FIRST_AGENT, "desk")
        self.wait_for_classes(FIRST_AGENT, 1)
        self.machines.store.put("config", "main", configuration(3, [ROUTE, REMOVED]))
        for last in (FIRST_AGENT, SECOND_AGENT):
            self.wait_for_classes(last, 0)
        self.assert_served(self.open_flows())

    def wait_for_classes(self, last, count):
        """Until the agent knows the classes of this many routes."""
        line = f"\nanvildrum_packets_classed_routes {count}\n"
        wait_until(lambda: line in (self.machines.get(last, METRICS, "/metrics") or ""),
                   f"{count} classes at agent {last}", WIDE_SECONDS)

    def test_a_removed_route_is_served_no_more_and_others_go_on(self):
        flows = self.open_flows()
        self.machines.store.put("config", "main", configuration(2, [ROUTE]))
        wait_until(lambda: not self.client.new_flow(REMOVED).open(), "the route gone",
                   WIDE_SECONDS)
        self.assert_served(flows)

    def test_a_stopping_balancer_forwards_after_its_readiness_failed(self):
        # The fabric sends packets here until it has missed two probes.
        flows = self.open_flows()
        self.machines.processes[BALANCER].send_signal(signal.SIGTERM)
        wait_until(lambda: not self.machines.is_ready(BALANCER), "not ready", WIDE_SECONDS)
        self.assertTrue(str(flows[0].request(b"late")).endswith(":late"))
        self.assertEqual(self.machines.processes.pop(BALANCER).wait(WIDE_SECONDS), 0)

    def test_a_balancer_that_the_platform_turns_away_serves(self):
        # It starts while it cannot reach the platform; others can. It has the configuration and the
        # agents from the balancer that its settings name, and carries flows like any other.
        flows = self.open_flows()
        self.machines.start(CUT_OFF, platform=f"{self.machines.host(1)}:{NOBODY}")
        wait_until(lambda: self.machines.is_ready(CUT_OFF), "ready", WIDE_SECONDS)
        self.client.balancer = self.machines.host(CUT_OFF)
        self.assert_served(flows)
        self.open_flows()

    def test_a_balancer_finds_the_configuration_at_an_agent(self):
        # All balancers end while the store is away. The one that is started again finds the
        # configuration and the agents nowhere but at these; flows go on and new ones open.
        flows = self.open_flows()
        wait_until(self.is_kept, "configuration kept", WIDE_SECONDS)
        self.machines.end(BALANCER, signal.SIGKILL)
        self.machines.start(BALANCER, platform=f"{self.machines.host(1)}:{NOBODY}", seeds=[])
        wait_until(lambda: self.machines.is_ready(BALANCER), "ready", WIDE_SECONDS)
        self.assert_served(flows)
        self.open_flows()

    def is_kept(self):
        """Whether an agent has a copy of the configuration."""
        path = "/objects/config/main"
        copies = [self.machines.get(last, HEARTBEATS, path) for last in (FIRST_AGENT, SECOND_AGENT)]
        return any(copy and "routes" in copy for copy in copies)

    def test_a_target_whose_port_takes_no_connections_is_served(self):
        # The agent is refused and takes the target for gone; its heartbeats go on, so that the port
        # tells nothing.
        target = self.targets.pop(SECOND_AGENT)
        target.stop()
        self.targets[SECOND_AGENT] = Target(self.machines.host(SECOND_AGENT), "desk", listens=False)
        self.wait_for_targets()
        self.assert_served(self.open_flows())

    def test_counters_are_served(self):
        self.open_flows()
        for last, name in ((BALANCER, "anvildrum_packets_forwarded_total"),
                           (FIRST_AGENT, "anvildrum_packets_delivered_total")):
            text = self.machines.get(last, METRICS, "/metrics")
            value = [line.split()[1] for line in text.splitlines() if line.startswith(name + " ")]
            self.assertGreater(float(value[0]), 0)


if __name__ == "__main__":
    unittest.main()
