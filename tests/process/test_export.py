"""Block-wise reports in progress while their targets are replaced or a balancer dies."""

import time
import unittest

from support import WIDE_SECONDS, FleetTest, wait_until

FABRIC_NOTICES_SECONDS = 1


class Export(FleetTest):
    # The client sees: its report of a megabyte arrives whole, although its target was told to stop
    # in the middle. Order: six reports are under way; SIGTERM to each agent in turn, each replaced
    # before the next. Why: a draining agent finishes the exports in progress. A client whose target
    # had no slot left comes back as told, and finds its flow at a target with one.
    def test_replacing_all_report_servers_cuts_no_report(self):
        running = self.start_fleet("telebombeo", ["--report-ms", "2000"], drain_seconds=15)
        servers = [t for t in running.plan["targets"] if t["service"] == "report-srv"]
        for target in servers:
            before = self.flows(running)
            load = running.start_load("report-srv", "--flows", "6", "--report", "report",
                                      "--seconds", "6")
            # Flows of earlier loads are still there: only further ones show that this load runs.
            wait_until(lambda: self.flows(running) >= before + 6, "reports under way",
                       WIDE_SECONDS)
            self.replace_target(running, target)
            summary = running.finish_load(load)
            with self.subTest(target=target["name"]):
                self.assert_right(summary)
                self.assertGreaterEqual(summary["reports"], 6, summary)

    # The client sees: its report of a megabyte arrives whole, a few seconds later than usual. Order:
    # six reports are under way; a balancer is killed (SIGKILL); a second later the fabric has let go
    # of it. Why: a flow's agent has the export, and any balancer carries the client's next block,
    # which libcoap asks for again when the dead one had it.
    def test_a_balancers_death_cuts_no_report(self):
        running = self.start_fleet("telebombeo", ["--report-ms", "2000"])
        load = running.start_load("report-srv", "--flows", "6", "--report", "report",
                                  "--seconds", "6")
        wait_until(lambda: self.flows(running) >= 6, "reports under way", WIDE_SECONDS)
        running.kill("b1")
        time.sleep(FABRIC_NOTICES_SECONDS)
        running.fabric_do({"do": "remove", "balancer": "b1"})
        summary = running.finish_load(load)
        self.assert_right(summary)
        self.assertGreaterEqual(summary["reports"], 6, summary)

    def flows(self, running):
        statuses = [running.status(t) for t in running.plan["targets"]
                    if t["service"] == "report-srv"]
        return sum(status["flows"] for status in statuses if status)


if __name__ == "__main__":
    unittest.main()
