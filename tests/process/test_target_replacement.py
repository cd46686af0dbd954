"""Planned replacement of agents and their targets, one at a time, under clients' load."""

import unittest

from support import FleetTest


class TargetReplacement(FleetTest):
    # The client sees: each flow's answers come from one target until it ends; new flows go to
    # others. Order for each target: SIGTERM to the agent, it drains and ends, the target ends,
    # both start again. Why: a drained agent's flows have ended or been given up in order, no
    # request waits there, and no POST is offered to a second target once it may have run.
    def test_replacing_all_targets_repeats_no_post(self):
        running = self.start_fleet()
        desks = [t for t in running.plan["targets"] if t["service"] == "desk"]
        total = {}
        for target in desks:
            load = running.start_load("desk", "--flows", "10", "--post", "hold", "--rate", "20",
                                      "--seconds", "3")
            ran = self.replace_target(running, target)
            for request_id, count in ran.items():
                total[request_id] = total.get(request_id, 0) + count
            summary = running.finish_load(load)
            with self.subTest(target=target["name"]):
                self.assert_right(summary)
        ran = self.assert_at_most_once(running, "desk")
        for request_id, count in ran.items():
            total[request_id] = total.get(request_id, 0) + count
        twice = [request_id for request_id, count in total.items() if count > 1]
        self.assertEqual(twice, [], "POSTs that ran before and after a restart")


if __name__ == "__main__":
    unittest.main()
