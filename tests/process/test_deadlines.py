"""Deadlines of clients, sent by the stock client, through balancers and agents to the targets."""

import json
import signal
import subprocess
import time
import unittest

from support import WIDE_SECONDS, FleetTest

DEADLINE = 65020  # docs/client-guide.md
SLOW_MS = 3000
# Far from the run limit of 60 s, after which a request without a deadline is told 5.04.
BEFORE_RUN_LIMIT_SECONDS = 30


class Deadlines(FleetTest):
    def hold(self, running, request_id, deadline_ms):
        """(what the stock client prints for a hold, seconds that it took)"""
        command = ["coap-client-notls", "-v", "6", "-B", str(WIDE_SECONDS), "-m", "post",
                   "-O", f"{DEADLINE},0x{deadline_ms:08x}", "-e", json.dumps({"id": request_id}),
                   f"coap://{running.service_address('desk')}/hold"]
        started = time.monotonic()
        result = subprocess.run(command, capture_output=True, text=True, timeout=2 * WIDE_SECONDS)
        return result.stdout + result.stderr, time.monotonic() - started

    def desk_targets(self, running):
        return [one["name"] for one in running.plan["targets"] if one["service"] == "desk"]

    # The client sees: its hold, made once. Order: the stock client sends a hold with a deadline and
    # answers the challenge with the same option. Why: who does not need the option loses nothing.
    def test_a_hold_in_time_is_made(self):
        running = self.start_fleet()
        output, _ = self.hold(running, "in-time", 20_000)
        self.assertIn("2.01", output)
        self.assertEqual(self.assert_at_most_once(running, "desk"), {"in-time": 1})

    # The client sees: 5.03, not run. Order: the targets need 3 s, which the agents have not seen
    # yet; a hold that waits for 1 s comes. Why: the target itself is told what is left and refuses;
    # without the option it would run the hold for a client that is gone.
    def test_a_target_refuses_what_it_cannot_finish(self):
        running = self.start_fleet(target_options=["--service-ms", str(SLOW_MS)])
        output, _ = self.hold(running, "too-late", 1000)
        self.assertIn("5.03", output)
        self.assertIn("desk-", output)  # the target's own refusal, passed on
        self.assertEqual(self.assert_at_most_once(running, "desk"), {})

    # The client sees: 5.04 when its time is up. Order: every target stands still; a hold is sent on
    # to one; its second is over. Why: the agent gives the final answer at the client's deadline,
    # not at its own limit of 60 s.
    def test_the_answer_comes_at_the_deadline(self):
        running = self.start_fleet()
        for name in self.desk_targets(running):
            running.signal(name, signal.SIGSTOP)
            self.addCleanup(running.signal, name, signal.SIGCONT)
        output, seconds = self.hold(running, "frozen", 1000)
        self.assertIn("5.04", output)
        self.assertLess(seconds, BEFORE_RUN_LIMIT_SECONDS)
        for name in self.desk_targets(running):
            running.signal(name, signal.SIGCONT)
        self.assert_at_most_once(running, "desk")


if __name__ == "__main__":
    unittest.main()
