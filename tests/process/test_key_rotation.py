"""The keys of tunnel and relay are changed while clients are served."""

import json
import secrets
import signal
import unittest

import rubbish
from coap import Flow
from support import WIDE_SECONDS, FleetTest, wait_until

REFUSED = ('anvildrum_tunnel_refused_total{reason="bad_mac"}',
           'anvildrum_relay_handshakes_refused_total{kind="key_not_accepted"}')


class KeyRotation(FleetTest):
    # The client sees: answers, as ever. Order: every instance in turn is restarted with the new
    # keys behind the old ones, then with the new ones in front, then without the old ones.
    # Why: at every moment each instance accepts what every other one uses. An instance that would
    # not shows in the counts of refused seals and keys, and gets no configuration any more.
    def test_both_kinds_of_keys_are_replaced_without_a_refusal(self):
        running = self.start_fleet()
        settings = self.settings(running, "b1")
        old_tunnel, old_relay = settings["tunnel_keys"], settings["relay_keys"]
        new_tunnel, new_relay = [secrets.token_hex(16)], [rubbish.new_keys()]
        steps = [(old_tunnel + new_tunnel, old_relay + new_relay),
                 (new_tunnel + old_tunnel, new_relay + old_relay), (new_tunnel, new_relay)]
        for number, (tunnel_keys, relay_keys) in enumerate(steps, start=1):
            for group in self.groups(running):
                self.restart(running, group, tunnel_keys, relay_keys)
                self.check_served(running, number)
            self.check_patch(running, number)

    def settings(self, running, name):
        text = (running.path / "settings" / f"{name}.json").read_text()
        lines = [line for line in text.splitlines() if not line.strip().startswith("//")]
        return json.loads("\n".join(lines))

    def groups(self, running):
        """Balancers one at a time, then the agents of a failure domain at a time."""
        for balancer in running.plan["balancers"]:
            yield [("balancer", balancer["name"], balancer)]
        for domain in sorted({one["failure_domain"] for one in running.plan["targets"]}):
            yield [("agent", one["agent"], one) for one in running.plan["targets"]
                   if one["failure_domain"] == domain]

    def restart(self, running, group, tunnel_keys, relay_keys):
        for role, name, entry in group:
            changed = dict(self.settings(running, name), tunnel_keys=tunnel_keys,
                           relay_keys=relay_keys)
            (running.path / entry["settings"]).write_text(json.dumps(changed, indent=2))
            if role == "balancer":
                running.fabric_do({"do": "remove", "balancer": name})
            running.signal(name, signal.SIGTERM)
        for role, name, entry in group:
            self.assertEqual(running.processes[name][1].wait(timeout=WIDE_SECONDS), 0, name)
            running.start_daemon(role, entry)
        wait_until(running.is_ready, "all ready again", WIDE_SECONDS)
        for role, name, _ in group:
            if role == "balancer":
                running.fabric_do({"do": "add", "balancer": name})

    def check_served(self, running, number):
        for balancer in running.plan["balancers"]:
            with Flow(balancer["binds"][0]) as flow:
                self.assertEqual(flow.get("feed").status, 205)
        for name, entry in running.entries():
            samples = running.metrics(entry)
            self.assertEqual([samples[sample] for sample in REFUSED], [0, 0],
                             f"step {number}: {name}")

    def check_patch(self, running, number):
        """Every instance hears of a patch, which comes by the relay."""
        patch = running.path / "patch.json"
        patch.write_text(json.dumps([{"op": "add", "path": "/services/desk/limits/queue_ms",
                                      "value": 300 + number}]))
        done = running.ctl("apply", "--base", str(number), "--wait", "--timeout", "30", str(patch))
        self.assertEqual(done.returncode, 0, done.stderr)


if __name__ == "__main__":
    unittest.main()
