"""Processes stopped for longer than every timeout, and woken again."""

import signal
import time
import unittest

from coap import Flow
from support import WIDE_SECONDS, FleetTest, wait_until

FLOWS = 20
FROZEN_SECONDS = 15  # over the timeouts of probes, of suspicion, of fencing and of the relay


class Frozen(FleetTest):
    def freeze(self, running, name, entry):
        running.signal(name, signal.SIGSTOP)
        self.addCleanup(running.signal, name, signal.SIGCONT)
        time.sleep(FROZEN_SECONDS)  # the length of the freeze is what is tested
        running.signal(name, signal.SIGCONT)
        wait_until(lambda: running.status(entry), f"{name} answers again", WIDE_SECONDS)

    # The client sees: answers, refusals or timeouts, but no answer to another's request and no
    # hold made twice. Order: POSTs run everywhere; an agent is stopped; its flows are opened
    # elsewhere; it wakes with datagrams of clients and of its target waiting in its sockets.
    # Why: a woken agent serves nobody before it has settled with its peers who owns what.
    def test_a_woken_agent_does_no_harm(self):
        running = self.start_fleet()
        load = running.start_load("desk", "--flows", str(FLOWS), "--post", "hold", "--rate", "20",
                                  "--seconds", "30", "--timeout-ms", "20000")
        target = running.plan["targets"][0]
        wait_until(lambda: running.status(target)["flows"] > 0, "a flow there", WIDE_SECONDS)
        self.freeze(running, target["agent"], target)
        summary = running.finish_load(load)
        self.assert_right(summary)
        self.assert_at_most_once(running, "desk")
        wait_until(running.is_ready, "all settled", WIDE_SECONDS)
        self.check_every_flow_has_one_owner(running)

    def check_every_flow_has_one_owner(self, running):
        for _ in range(FLOWS):
            with Flow(running.service_address("desk")) as flow:
                targets = {flow.get("feed").body["target"] for _ in range(3)}
                self.assertEqual(len(targets), 1, "targets of one flow")

    # The client sees: as above, and its stream goes on. Order: a balancer is stopped while the
    # fabric still sprays to it; the configuration moves on without it; it wakes with old packets
    # and an old configuration. Why: what it forwards late is old packets of known flows, and what
    # it knows of the configuration is replaced by the higher number before it is asked again.
    def test_a_woken_balancer_does_no_harm(self):
        running = self.start_fleet()
        load = running.start_load("desk", "--flows", str(FLOWS), "--observe", "feed", "--gap-ms",
                                  "60000", "--post", "hold", "--rate", "20", "--seconds", "30",
                                  "--timeout-ms", "20000")
        balancer = running.balancer("b2")
        wait_until(lambda: running.status(balancer)["flows"] > 0, "a flow there", WIDE_SECONDS)
        self.freeze(running, "b2", balancer)
        summary = running.finish_load(load)
        self.assert_right(summary)
        self.assertEqual((summary["streams_alive"], summary["flows_moved"]), (FLOWS, 0), summary)
        self.assert_at_most_once(running, "desk")
        wait_until(running.is_ready, "all settled", WIDE_SECONDS)


if __name__ == "__main__":
    unittest.main()
