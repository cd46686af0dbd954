"""Planned replacement of balancers, agents and targets, one at a time, under clients' load."""

import collections
import signal
import unittest

from support import WIDE_SECONDS, FleetTest, wait_until


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

    def replace_target(self, running, target):
        """Returns the runs that the target forgets with its restart."""
        self.assertEqual(running.terminate(target["agent"]), 0)
        ran = running.executions(target["name"])
        self.assertEqual(running.terminate(target["name"]), 0)
        running.start_target(target["name"])
        running.start_daemon("agent", target)
        wait_until(running.is_ready, f"{target['name']} ready again", WIDE_SECONDS)
        return ran

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

    # The client sees: its report of a megabyte arrives whole, although its target was told to stop
    # in the middle. Order: reports under way at every target; SIGTERM to each agent in turn, each
    # replaced before the next. Why: a draining agent serves its flows on, here for all of the time
    # that it is given, since a client that has its report does not say that it goes.
    def test_replacing_all_report_servers_cuts_no_report(self):
        running = self.start_fleet("telebombeo", ["--report-ms", "2000"], drain_seconds=15)
        servers = [t for t in running.plan["targets"] if t["service"] == "report-srv"]
        for target in servers:
            load = running.start_load("report-srv", "--flows", "6", "--report", "report",
                                      "--seconds", "4")
            wait_until(lambda: self.reports_under_way(running), "reports under way", WIDE_SECONDS)
            self.replace_target(running, target)
            summary = running.finish_load(load)
            with self.subTest(target=target["name"]):
                self.assert_right(summary)
                self.assertGreaterEqual(summary["reports"], 6, summary)

    def reports_under_way(self, running):
        statuses = [running.status(t) for t in running.plan["targets"]
                    if t["service"] == "report-srv"]
        return sum(status["flows"] for status in statuses if status) >= 6


if __name__ == "__main__":
    unittest.main()
