"""A packet for one service never reaches a target of another."""

import json
import unittest

from coap import Flow
from support import WIDE_SECONDS, FleetTest, wait_until

FLOWS = 20
SPARE_PORT = 280  # in the fleet's range, used by nothing else


class Crossing(FleetTest):
    def apply(self, running, operations):
        patch = running.path / "patch.json"
        patch.write_text(json.dumps(operations))
        number = json.loads(running.ctl("get").stdout)["number"]
        done = running.ctl("apply", "--base", str(number), "--wait", "--timeout", "30", str(patch))
        self.assertEqual(done.returncode, 0, done.stderr)

    def executions_of(self, running, service):
        return {request_id for target in running.plan["targets"] if target["service"] == service
                for request_id in running.executions(target["name"])}

    def check_only(self, running, address, service):
        """Whoever answers at the address is of the service; POSTs tell which target took them."""
        for number in range(FLOWS):
            with Flow(address) as flow:
                answer = flow.get("health")
                self.assertIsNotNone(answer, "no answer")
                self.assertTrue(answer.body["target"].startswith(service), answer.body)

    # The client sees: answers of the service that the address belongs to now, or none; never of
    # the earlier one once the change is in force. Order: flows are open at desk's address; the
    # addresses of desk and mapper are exchanged, by way of a spare one since one patch may not move
    # an address; the flows go on sending.
    # Why: the service is part of a flow's identity, and an agent refuses a packet of another one.
    def test_addresses_exchanged_between_services(self):
        running = self.start_fleet()
        desk, mapper = running.service_address("desk"), running.service_address("mapper")
        flows = [Flow(desk) for _ in range(FLOWS)]
        for flow in flows:
            self.addCleanup(flow.socket.close)
            self.assertTrue(flow.get("health").body["target"].startswith("desk"))
        spare = f"127.0.0.1:{running.base + SPARE_PORT}"
        for service, address in (("desk", spare), ("mapper", desk), ("desk", mapper)):
            self.apply(running, [{"op": "replace", "path": f"/services/{service}/addresses/0",
                                  "value": address}])
        for flow in flows:
            self.assertTrue(flow.get("health").body["target"].startswith("mapper"))
        self.check_only(running, mapper, "desk")
        self.check_only(running, desk, "mapper")

    # The client sees: answers of desk's targets only. Order: flows are open at a desk target; it
    # and its agent are killed; on the same ports a target of mapper starts, under a name of its
    # own; the flows go on. Why: a balancer's or an agent's old knowledge of the port still leads
    # there, and the new agent refuses what is not of its service.
    def test_a_target_restarts_as_another_service_on_the_same_port(self):
        running = self.start_fleet()
        target = next(t for t in running.plan["targets"] if t["name"] == "desk-1")
        flows = [Flow(running.service_address("desk")) for _ in range(2 * FLOWS)]
        for flow in flows:
            self.addCleanup(flow.socket.close)
            flow.get("health")
        running.kill(target["agent"])
        running.kill(target["name"])
        self.start_as_mapper(running, target)
        for number, flow in enumerate(flows):
            answer = flow.post("hold", f"crossing-{number}")
            if answer is not None and answer.status == 201:
                self.assertTrue(answer.body["target"].startswith("desk"), answer.body)
        self.assert_at_most_once(running, "desk")
        self.check_only(running, running.service_address("desk"), "desk")
        self.check_only(running, running.service_address("mapper"), "mapper")

    def start_as_mapper(self, running, target):
        path = running.path / target["settings"]
        text = path.read_text().replace('"service": "desk"', '"service": "mapper"')
        path.write_text(text.replace('"name": "desk-1"', '"name": "mapper-9"'))
        target.update(name="mapper-9", service="mapper")
        running.start_target("mapper-9")
        running.start_daemon("agent", target)
        wait_until(lambda: (running.status(target) or {}).get("service") == "mapper",
                   "the agent serves mapper", WIDE_SECONDS)


if __name__ == "__main__":
    unittest.main()
