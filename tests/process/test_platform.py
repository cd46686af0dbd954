"""The platform away, late, or answering wrong; configuration changes."""

import json
import time
import unittest

from coap import Flow
from support import WIDE_SECONDS, FleetTest, wait_until

OUTAGE_SECONDS = 20
DRAIN_NOTICE_SECONDS = 3  # a draining target gets no new flow after this
FLOWS = 40

EXIT_DONE, EXIT_REFUSED, EXIT_LOST = 0, 1, 3


class PlatformOutage(FleetTest):
    # The client sees: nothing. Order: the platform goes down; a stream and POSTs go on; a target
    # is told to drain; a balancer ends and a new one starts in its place; new flows come; the
    # platform returns. Why: the platform is not on the way of any packet, a drain is told to the
    # peers directly, and a new balancer hears the state from the others.
    def test_everything_goes_on_without_the_platform(self):
        running = self.start_fleet(drain_seconds=35)
        load = running.start_load("desk", "--flows", "20", "--observe", "feed", "--gap-ms", "30000",
                                  "--post", "hold", "--rate", "20", "--seconds", "30")
        # Flows post in turns. One that moved before its first answer would not be seen to move.
        wait_until(lambda: self.posts_run(running) >= 40, "two answers on each flow", WIDE_SECONDS)
        running.faults(down=True)
        down_since = time.monotonic()
        self.replace_balancer(running, "b1")
        drained = running.plan["targets"][0]
        leaving = running.status(drained)["flows"]  # they alone may change their target, and do
        self.drain(running, drained)
        time.sleep(max(0, OUTAGE_SECONDS - (time.monotonic() - down_since)))
        self.check_new_flows(running, drained["name"])
        running.faults(down=False)
        summary = running.finish_load(load)
        self.assert_right(summary)
        self.assertEqual((summary["streams_alive"], summary["flows_moved"]), (20, leaving), summary)
        self.assert_at_most_once(running, "desk")
        self.await_convergence(running, drained)

    # The client sees: a new flow is answered by a target that was started during the outage. Order:
    # the platform goes down; a target and its agent are killed and started again; new flows come;
    # the platform returns and takes the announcement. Why: the agent serves under the record of
    # its earlier process, which its peers hold, and tells them so itself.
    def test_a_target_started_again_in_an_outage_is_served(self):
        running = self.start_fleet()
        running.faults(down=True)
        again = running.plan["targets"][0]
        running.kill(again["agent"])
        running.kill(again["name"])
        running.start_target(again["name"])
        running.start_daemon("agent", again)
        wait_until(lambda: self.target_of_new_flow(running) == again["name"],
                   "a new flow at the target", WIDE_SECONDS)
        self.assertTrue(running.status(again)["provisional"])
        running.faults(down=False)
        wait_until(lambda: not running.status(again)["provisional"], "announced", WIDE_SECONDS)
        wait_until(lambda: running.ctl("status").returncode == 0, "anvilctl status", WIDE_SECONDS)
        wait_until(lambda: self.target_of_new_flow(running) == again["name"],
                   "a new flow at the target after the outage", WIDE_SECONDS)

    def posts_run(self, running):
        names = [t["name"] for t in running.plan["targets"] if t["service"] == "desk"]
        return sum(len(running.executions(name)) for name in names)

    def target_of_new_flow(self, running):
        with Flow(running.service_address("desk")) as flow:
            answer = flow.get("feed")
            return answer and answer.body["target"]

    def replace_balancer(self, running, name):
        running.fabric_do({"do": "remove", "balancer": name})
        running.kill(name)
        balancer = running.balancer(name)
        running.start_daemon("balancer", balancer)
        wait_until(lambda: (running.status(balancer) or {}).get("ready"),
                   f"{name} ready from its peers", WIDE_SECONDS)
        running.fabric_do({"do": "add", "balancer": name})

    def drain(self, running, target):
        code, _ = running.http(target["operator_port"], "/drain", "POST", b"")
        self.assertIn(code, (200, 202))
        time.sleep(DRAIN_NOTICE_SECONDS)
        self.check_new_flows(running, target["name"])

    def check_new_flows(self, running, drained):
        for _ in range(FLOWS):
            with Flow(running.service_address("desk")) as flow:
                answer = flow.get("feed")
                self.assertIsNotNone(answer, "a new flow got no answer")
                self.assertEqual(answer.status, 205)
                self.assertNotEqual(answer.body["target"], drained)

    def await_convergence(self, running, drained):
        def converged():
            statuses = [running.status(entry) for name, entry in running.entries()
                        if running.is_running(name)]  # the drained agent may have ended
            if not all(statuses):
                return False
            return all(target["draining"] for status in statuses for target in status["targets"]
                       if target["name"] == drained["name"])
        wait_until(converged, "all know of the drain", WIDE_SECONDS)
        wait_until(lambda: running.ctl("status").returncode == 0, "anvilctl status", WIDE_SECONDS)


class Configuration(FleetTest):
    def apply(self, running, base, operations, *options):
        patch = running.path / f"patch-{time.monotonic_ns()}.json"
        patch.write_text(json.dumps(operations))
        return running.ctl("apply", "--base", str(base), *options, str(patch))

    def queue_patch(self, milliseconds):
        return [{"op": "replace", "path": "/services/desk/limits/queue_ms", "value": milliseconds}]

    def numbers(self, running):
        return {(running.status(entry) or {}).get("number") for _, entry in running.entries()}

    # The operator sees: the new number, in force on every instance when the command returns.
    # Then: of two patches against one number, one wins, and the other is told so and changes
    # nothing. Why: one conditional write decides, and the base number is checked against it.
    def test_a_patch_is_in_force_everywhere_and_one_of_two_wins(self):
        running = self.start_fleet()
        done = self.apply(running, 1, self.queue_patch(300), "--wait", "--timeout", "30")
        self.assertEqual(done.returncode, EXIT_DONE, done.stderr)
        self.assertEqual(self.numbers(running), {2})
        first = self.apply(running, 2, self.queue_patch(310), "--id", "first")
        second = self.apply(running, 2, self.queue_patch(320), "--id", "second")
        self.assertEqual((first.returncode, second.returncode), (EXIT_DONE, EXIT_LOST),
                         first.stderr + second.stderr)
        self.assertIn("3", second.stdout + second.stderr)
        self.assertIn('"queue_ms": 310', json.dumps(json.loads(running.ctl("get").stdout)))
        self.check_control_is_counted(running)
        refused = self.apply(running, 3, self.queue_patch(-1))
        self.assertEqual(refused.returncode, EXIT_REFUSED)
        self.assertIn("/services/desk/limits/queue_ms", refused.stderr)

    def check_control_is_counted(self, running):
        """Each instance shows what it sent and got for control, in datagrams and bytes, by kind."""
        def shows(entry):
            metrics = running.metrics(entry)
            sent, size, back = (metrics.get(f"anvildrum_tunnel_{name}", 0) for name in (
                'sent_datagrams_total{kind="probe"}', 'sent_bytes_total{kind="probe"}',
                'received_bytes_total{kind="probe_answer"}'))
            heard = metrics.get('anvildrum_relay_received_messages_total{kind="heartbeat"}', 0)
            told = metrics.get('anvildrum_relay_sent_messages_total{kind="heartbeat"}', 0)
            return sent > 0 and size > sent and back > 0 and heard + told > 0
        for name, entry in running.entries():
            wait_until(lambda entry=entry: shows(entry), f"control traffic of {name}", WIDE_SECONDS)

    # The operator sees: the number of the patch, once, although the platform's answer was lost
    # after the write; repeating the command changes nothing. Why: the patch's own id is in the
    # configuration's history, so that its author can tell that it took.
    def test_a_lost_answer_is_settled_by_the_patchs_id(self):
        running = self.start_fleet()
        running.faults(lose_answers=1)
        first = self.apply(running, 1, self.queue_patch(300), "--id", "once", "--wait",
                           "--timeout", "30")
        self.assertEqual(first.returncode, EXIT_DONE, first.stderr)
        again = self.apply(running, 1, self.queue_patch(300), "--id", "once")
        self.assertEqual(again.returncode, EXIT_DONE, again.stderr)
        self.assertEqual(json.loads(running.ctl("get").stdout)["number"], 2)

    # The operator sees: the number in force never goes back. Order: two patches; then the platform
    # serves reads from before them, and a balancer restarts and reads. Why: every instance refuses
    # a lower number than it has, whoever offers it, and the new one hears of the higher number
    # from its peers.
    def test_stale_reads_never_revert(self):
        running = self.start_fleet()
        for base in (1, 2):
            done = self.apply(running, base, self.queue_patch(300 + base), "--wait",
                              "--timeout", "30")
            self.assertEqual(done.returncode, EXIT_DONE, done.stderr)
        running.faults(stale_reads_revisions=3)
        balancer = running.balancer("b1")
        running.fabric_do({"do": "remove", "balancer": "b1"})
        running.kill("b1")
        running.start_daemon("balancer", balancer)
        wait_until(lambda: (running.status(balancer) or {}).get("number") == 3,
                   "the new balancer has the number in force", WIDE_SECONDS)
        end = time.monotonic() + 10
        while time.monotonic() < end:
            self.assertLessEqual(self.numbers(running), {3, None})
            time.sleep(0.5)
        running.faults(stale_reads_revisions=0)
        self.assertEqual(self.numbers(running), {3})


if __name__ == "__main__":
    unittest.main()
