"""Planned replacement of balancers, and of a failure domain at a time, under clients' load."""

import collections
import signal
import unittest

from support import WIDE_SECONDS, FleetTest, signal_until_gone, wait_until


class RollingRestart(FleetTest):
    # The client sees: nothing. Order for each balancer: the fabric lets go of it, SIGTERM, it ends
    # by itself, it starts again, it is ready, the fabric takes it back.
    # Why: a stopping balancer goes on forwarding what still reaches it, others route each flow the
    # same way, and a new one is not used before it knows the targets.
    def test_replacing_all_balancers_breaks_nothing(self):
        running = self.start_fleet()
        load = running.start_load("desk", "--flows", "20", "--observe", "feed", "--gap-ms", "30000",
                                  "--post", "hold", "--rate", "40", "--seconds", "25")
        for balancer in running.plan["balancers"]:
            self.replace_balancer(running, balancer)
        self.assertIsNone(load.poll(), "the load ended before the last balancer was replaced")
        summary = running.finish_load(load)
        self.assert_right(summary)
        self.assertEqual((summary["timeouts"], summary["resets"], summary["unknown"]), (0, 0, 0),
                         summary)
        self.assertEqual((summary["streams_alive"], summary["flows_moved"]), (20, 0), summary)
        self.assert_at_most_once(running, "desk")

    def replace_balancer(self, running, balancer):
        name = balancer["name"]
        running.fabric_do({"do": "remove", "balancer": name})
        self.assertEqual(running.terminate(name), 0)
        running.start_daemon("balancer", balancer)
        wait_until(running.is_ready, f"{name} ready again", WIDE_SECONDS)
        running.fabric_do({"do": "add", "balancer": name})

    # The client sees: nothing but that flows which outlast the drain move on. Order: all balancers
    # of a failure domain leave the fabric and end; all its agents drain and end together, its
    # targets after them; all start again; the next domain. Why: as for one, and the others suffice.
    def test_replacing_a_failure_domain_at_a_time_repeats_no_post(self):
        running = self.start_fleet()
        domains = sorted({balancer["failure_domain"] for balancer in running.plan["balancers"]})
        for domain in domains:
            load = running.start_load("desk", "--flows", "20", "--post", "hold", "--rate", "30",
                                      "--seconds", "3")
            ran = self.replace_domain(running, domain)
            summary = running.finish_load(load)
            with self.subTest(domain=domain):
                self.assert_right(summary)
                self.assertEqual([one for one, count in ran.items() if count > 1], [])

    def replace_domain(self, running, domain):
        """Runs of each request by the domain's targets up to their end, and by all others since."""
        balancers = [b for b in running.plan["balancers"] if b["failure_domain"] == domain]
        targets = [t for t in running.plan["targets"] if t["failure_domain"] == domain]
        for balancer in balancers:
            running.fabric_do({"do": "remove", "balancer": balancer["name"]})
        self.end_all(running, [balancer["name"] for balancer in balancers])
        self.end_all(running, [target["agent"] for target in targets])
        ran = collections.Counter()
        for target in running.plan["targets"]:
            ran.update(running.executions(target["name"]))
        self.end_all(running, [target["name"] for target in targets])
        for balancer in balancers:
            running.start_daemon("balancer", balancer)
        for target in targets:
            running.start_target(target["name"])
            running.start_daemon("agent", target)
        wait_until(running.is_ready, f"{domain} ready again", WIDE_SECONDS)
        for balancer in balancers:
            running.fabric_do({"do": "add", "balancer": balancer["name"]})
        return ran

    def end_all(self, running, names):
        for name in names:
            running.signal(name, signal.SIGTERM)
        for name in names:
            self.assertEqual(running.terminate(name), 0, name)

    # Guards against a graceful stop that a later signal turns into a kill, near its end.
    def test_signals_sent_until_a_process_is_gone_do_not_cut_its_stop(self):
        running = self.start_fleet()
        agent, balancer = running.plan["targets"][0]["agent"], running.plan["balancers"][0]["name"]
        for name in (agent, balancer):
            process = running.processes[name][1]
            self.assertEqual(signal_until_gone(process, signal.SIGTERM, signal.SIGINT), 0, name)


if __name__ == "__main__":
    unittest.main()
