"""Balancers killed under a stock CoAP client."""

import json
import unittest

from support import WIDE_SECONDS, FleetTest, Observer, fleet, wait_until

SLOW_TARGET = ["--service-ms", "1500"]  # a POST is under way for long enough to be hit
POSTS = 4


class BalancerLoss(FleetTest):
    # The client sees: its answers come and its price feed goes on, although two of three balancers
    # are killed one after the other and the fabric goes on spraying packets to a dead one.
    # Order: stream open; POSTs under way; SIGKILL; stream goes on and a GET is answered; then only
    # the fabric is told; the POSTs get their outcomes; again with the next balancer.
    # Why: no balancer holds what a flow needs, retransmissions take another one, and the agent
    # stops sending replies through one that no longer answers.
    def test_stock_client_keeps_its_answers_and_its_stream(self):
        self.running = self.start_fleet(target_options=SLOW_TARGET)
        stream = Observer(self.running, "desk", "feed")
        stream.await_more()
        for victim in ("b1", "b2"):
            with self.subTest(victim=victim):
                self.kill_under_way(victim, stream)
        stream.check(self)
        self.assert_at_most_once(self.running, "desk")

    def kill_under_way(self, victim, stream):
        ids = [f"{victim}-{number}" for number in range(POSTS)]
        clients = {request_id: self.post(request_id) for request_id in ids}
        wait_until(lambda: self.executed() & set(ids), "a POST under way", WIDE_SECONDS)
        self.running.kill(victim)
        stream.await_more()
        self.get()
        self.running.fabric_do({"do": "remove", "balancer": victim})
        answers = {request_id: client.communicate(timeout=300)[0]
                   for request_id, client in clients.items()}
        self.check_posts(answers)
        stream.await_more()

    def post(self, request_id):
        return self.running.start_command(
            ["coap-client-notls", "-B", "120", "-m", "post", "-e", json.dumps({"id": request_id}),
             f"coap://{self.running.service_address('desk')}/hold"])

    def executed(self):
        desks = [t["name"] for t in self.running.plan["targets"] if t["service"] == "desk"]
        return {request_id for name in desks for request_id in self.running.executions(name)}

    def check_posts(self, answers):
        answered = 0
        for request_id, text in answers.items():
            if not text.startswith("{"):
                self.assertIn(text.strip()[:4], ("5.03", "5.04", ""), text)
                continue
            body = json.loads(text)
            self.assertEqual((body["id"], body["executions"]), (request_id, 1))
            answered += 1
        self.assertGreater(answered, 0, answers)

    # A packet has up to an even chance to be sprayed to a dead balancer, so that a client may give
    # up after its transmissions; then it asks again, as its user would.
    def get(self):
        uri = f"coap://{self.running.service_address('mapper')}/route?id=after"
        wait_until(lambda: "Halifax" in fleet.coap("get", uri, seconds=8), "a GET answered",
                   4 * WIDE_SECONDS)


if __name__ == "__main__":
    unittest.main()
