"""A balancer stopped for longer than every timeout, and woken again."""

import unittest

from frozen import FLOWS, FrozenTest
from support import WIDE_SECONDS, wait_until


class Frozen(FrozenTest):
    # The client sees: no answer to another's request, no hold made twice, and its stream goes on.
    # Order: a balancer is stopped while the fabric still sprays to it; the configuration moves on
    # without it; it wakes with old packets and an old configuration. Why: what it forwards late is
    # old packets of known flows, and what it knows of the configuration is replaced by the higher
    # number before it is asked again.
    def test_a_woken_balancer_does_no_harm(self):
        running = self.start_fleet()
        load = running.start_load("desk", "--flows", str(FLOWS), "--observe", "feed", "--gap-ms",
                                  "60000", "--post", "hold", "--rate", "20", "--seconds", "30",
                                  "--timeout-ms", "20000")
        balancer = running.balancer("b2")
        wait_until(lambda: running.metrics(balancer)["anvildrum_replies_total"] > 0,
                   "an answer by that balancer", WIDE_SECONDS)
        self.freeze(running, "b2", balancer)
        summary = running.finish_load(load)
        self.assert_right(summary)
        self.assertEqual((summary["streams_alive"], summary["flows_moved"]), (FLOWS, 0), summary)
        self.assert_at_most_once(running, "desk")
        wait_until(running.is_ready, "all settled", WIDE_SECONDS)


if __name__ == "__main__":
    unittest.main()
