"""An agent stopped for longer than every timeout, and woken again."""

import unittest

from coap import Flow
from frozen import FLOWS, FrozenTest
from support import WIDE_SECONDS, wait_until


class FrozenAgent(FrozenTest):
    # The client sees: answers, refusals or timeouts, but no answer to another's request and no
    # hold made twice. Order: POSTs run everywhere; an agent is stopped; its flows are opened
    # elsewhere; it wakes with datagrams of clients and of its target waiting in its sockets.
    # Why: a woken agent serves nobody before it has settled with its peers who owns what.
    def test_a_woken_agent_does_no_harm(self):
        running = self.start_fleet()
        load = running.start_load("desk", "--flows", str(FLOWS), "--post", "hold", "--rate", "20",
                                  "--seconds", "30", "--timeout-ms", "20000")
        target = wait_until(lambda: self.target_with_flows(running), "a flow", WIDE_SECONDS)
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

    def target_with_flows(self, running):
        return next((target for target in running.plan["targets"] if target["service"] == "desk"
                     and (running.status(target) or {}).get("flows", 0) > 0), None)


if __name__ == "__main__":
    unittest.main()
