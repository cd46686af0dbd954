"""A balancer stopped while the addresses of two services are exchanged, and woken again."""

import json
import signal
import time
import unittest

from coap import GET, Flow
from frozen import FLOWS, FROZEN_SECONDS, FrozenTest
from support import WIDE_SECONDS, wait_until

SPARE_PORT = 280  # in the fleet's range, used by nothing else


class FrozenAddresses(FrozenTest):
    # The client sees: answers of the service that its address belongs to now, never of the earlier
    # one. Order: a balancer is stopped; the addresses of desk and mapper are exchanged without it;
    # clients of mapper send to what was desk's address, a third of it into the stopped balancer's
    # sockets; it wakes and reads the packets and the news of its relay in whatever order.
    # Why: a balancer that notices a stop takes no client's packet before it is up to date again.
    def test_a_woken_balancer_crosses_no_services(self):
        running = self.start_fleet()
        desk, mapper = running.service_address("desk"), running.service_address("mapper")
        running.signal("b2", signal.SIGSTOP)
        self.addCleanup(running.signal, "b2", signal.SIGCONT)
        self.exchange_addresses(running, desk, mapper)
        flows = [Flow(desk) for _ in range(3 * FLOWS)]
        for flow in flows:
            self.addCleanup(flow.socket.close)
            flow.send(flow.request(GET, "health")[1])
        time.sleep(FROZEN_SECONDS)  # as above
        running.signal("b2", signal.SIGCONT)
        for flow in flows:
            message = flow.receive(0.1)
            while message is not None:
                if message.status == 205:
                    self.assertTrue(message.body["target"].startswith("mapper"), message.body)
                message = flow.receive(0.1)
        wait_until(running.is_ready, "all ready", WIDE_SECONDS)
        wait_until(lambda: running.status(running.balancer("b2"))["number"] == 4,
                   "the configuration in force", WIDE_SECONDS)
        self.assertEqual(self.delivered(running, "desk"), 0, "packets that reached a desk")

    def exchange_addresses(self, running, desk, mapper):
        spare = f"127.0.0.1:{running.base + SPARE_PORT}"
        steps = (("desk", spare), ("mapper", desk), ("desk", mapper))
        for number, (service, address) in enumerate(steps, start=1):
            patch = running.path / "patch.json"
            patch.write_text(json.dumps([{"op": "replace", "value": address,
                                          "path": f"/services/{service}/addresses/0"}]))
            done = running.ctl("apply", "--base", str(number), str(patch))
            self.assertEqual(done.returncode, 0, done.stderr)
            others = [e for name, e in running.entries() if name != "b2"]
            wait_until(lambda: {(running.status(e) or {}).get("number") for e in others}
                       == {number + 1}, "in force on all that run", WIDE_SECONDS)

    def delivered(self, running, service):
        """Client datagrams that the service's agents took."""
        return sum(value for target in running.plan["targets"] if target["service"] == service
                   for name, value in running.metrics(target).items()
                   if name.startswith("anvildrum_flow_events_total") and '"delivered"' in name)


if __name__ == "__main__":
    unittest.main()
