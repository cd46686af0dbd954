"""Plays the statements of a .scenario file against real processes: signals, the fabric stand-in's
control port, the platform stand-in's faults, anvilctl, load clients. See tools/scenario/README.md."""

import collections
import json
import signal
import threading
import time

from scenario_clients import SILENT_SECONDS, Load, groups_of
from scenario_plan import NotPlayable
from support import WIDE_SECONDS, fleet, wait_until

FABRIC_CHECK_SECONDS = 0.5  # as the fake fabric of the cores looks
SERVICE_SECONDS = 0.02  # of the target stand-ins
DRAIN_SECONDS = 10  # a drain ends by itself before, but for the one that ends the fleet
PATCH_OUTCOMES = {0: "accepted", 1: "refused", 3: "lost"}  # exit codes of anvilctl apply
OUTCOME_KEYS = {"not-run": "refused_not_run", "unknown": "unknown", "timeout": "timeouts"}


def holds(seen, operator, wanted):
    return {"==": seen == wanted, "<=": seen <= wanted, ">=": seen >= wanted}[operator]


class Fabric(threading.Thread):
    """Looks every half second which balancers are ready, and sprays to those alone."""

    def __init__(self, player):
        super().__init__(daemon=True)
        self.player, self.ended = player, threading.Event()
        self.sprayed = {}

    def run(self):
        while not self.ended.wait(FABRIC_CHECK_SECONDS):
            self.look()

    def look(self):
        running = self.player.fleet
        for balancer in running.plan["balancers"]:
            name = balancer["name"]
            hidden = name in self.player.frozen or name in self.player.cut
            is_up = running.is_running(name) and not hidden
            is_ready = bool(is_up and (running.status(balancer) or {}).get("ready"))
            if self.sprayed.get(name) != is_ready:
                running.fabric_do({"do": "add" if is_ready else "remove", "balancer": name})
                self.sprayed[name] = is_ready

    def stop(self):
        self.ended.set()
        self.join()


class Player:
    def __init__(self, running, plan, trace=False):
        self.fleet, self.plan, self.trace = running, plan, trace
        self.groups, self.loads = groups_of(plan), {}
        self.frozen, self.cut, self.leaving = set(), set(), set()
        self.failures, self.expectations, self.deferred = [], 0, []
        self.patches, self.patch_bases = [], {}
        self.fabric = Fabric(self)
        self.timers = []
        self.started = None
        self.moment = 0.0  # of the script

    # The run.

    def play(self):
        """Failed expectations, as text."""
        self.start()
        self.started = time.monotonic()
        shift = time.monotonic()  # the script's zero
        try:
            for row in self.plan.statements:
                due = self.plan.played(row.at)
                time.sleep(max(0, shift + due - time.monotonic()))
                self.moment = row.at
                self.note(row.text)
                self.perform(row)
                shift = max(shift, time.monotonic() - due)  # what had to be waited for delays the rest
            self.note("end of the script")
            time.sleep(SILENT_SECONDS)  # a feed that fell silent at the end shows
            self.finish()
        finally:
            self.stop()
        return self.failures

    def note(self, text):
        if self.trace:
            print(f"{time.monotonic() - self.started:7.2f} {text}", flush=True)

    def start(self):
        names = {name for row in self.plan.of("balancers") + self.plan.of("targets")
                 if row.words[-1] != "stopped" for name in self.names_of(row)}
        self.fleet.start(names)
        self.fabric.look()
        self.fabric.start()

    def names_of(self, row):
        """Checks that the deployment is what the file says."""
        words = row.rest()
        said = {"service": words.name()} if row.verb == "targets" else {}
        names = words.names(until=("in", "slots", "service-time", "notify", "domains"))
        if words.takes("slots"):
            said["slots"] = words.number()
        if words.takes("service-time") and words.seconds() != SERVICE_SECONDS:
            raise NotPlayable(f"line {row.line}: the stand-ins take {SERVICE_SECONDS} s")
        if not words.takes("in") and not words.takes("domains"):
            raise NotPlayable(f"line {row.line}: {words.words}")
        domains = words.names(until=("stopped",))
        for index, name in enumerate(names):
            wanted = {**said, "failure_domain": domains[index % len(domains)]}
            entry = self.entry(name) or {}
            if any(entry.get(key) != value for key, value in wanted.items()):
                raise NotPlayable(f"line {row.line}: the deployment's {name} is not {wanted}")
        return names

    def finish(self):
        for timer in self.timers:
            timer.join()
        for load in self.loads.values():
            load.finish()
            self.note(f"clients of {load.group.service} have ended: {load.summary}")
        for check in self.deferred:
            check()
        self.check_always()

    def stop(self):
        self.fabric.stop()
        for timer in self.timers:
            timer.cancel()
        for name in list(self.frozen):
            self.wake(name, self.fleet.processes[name][1])

    def perform(self, row):
        names, words = self.plan.clients_of(row)
        if names:
            return self.act_of_clients(tuple(names), words.name())
        if row.verb != "expect":
            return getattr(self, "do_" + row.verb)(row.rest())
        if self.plan.is_left_out(row):
            return None
        self.expectations += 1
        words = row.rest()
        return getattr(self, "expect_" + words.name().replace("-", "_"))(row, words)

    def act_of_clients(self, names, verb):
        if verb == "cancel":
            self.loads[names].finish()
        elif names not in self.loads:
            self.loads[names] = Load(self.fleet, self.plan, self.groups[names])

    # Names.

    def entry(self, name):
        entries = self.fleet.plan["balancers"] + self.fleet.plan["targets"]
        return next((one for one in entries if name in (one["name"], one.get("agent"))), None)

    def processes_of(self, name):
        """Process names: a balancer, a target with its agent, one of the two, a failure domain."""
        if name.startswith("target-"):
            return [name.removeprefix("target-")]
        found = []
        for one in self.fleet.plan["balancers"] + self.fleet.plan["targets"]:
            pair = [one["agent"], one["name"]] if "agent" in one else [one["name"]]
            if name in (one["name"], one["failure_domain"]):
                found += pair
            elif name == one.get("agent"):
                found.append(name)
        if not found:
            raise NotPlayable(f"no process is called {name}")
        return found

    def for_processes(self, words, action, until=()):
        for name in words.names(until):
            for process in self.processes_of(name):
                action(process)

    # Actions.

    def do_kill(self, words):
        self.for_processes(words, lambda name: self.fleet.is_running(name) and self.fleet.kill(name))

    def do_stop(self, words):
        self.for_processes(words, self.leave)

    def do_drain(self, words):
        self.for_processes(words, self.leave)

    def leave(self, name):
        """A balancer or an agent is told; a target goes on beside its agent."""
        entry = self.entry(name)
        if "agent" in entry and name == entry["name"]:
            return
        self.leaving.add(entry["name"])
        if "agent" in entry:
            self.fleet.http(entry["operator_port"], "/drain", "POST", b"")
        else:
            self.fleet.signal(name, signal.SIGTERM)

    def do_start(self, words):
        """Waits until what ran before has ended, and until what was started is ready."""
        started = []
        # Targets before their agents.
        self.for_processes(words, lambda name: started.insert(0, name))
        for name in started:
            entry = self.entry(name)
            self.await_end(name)
            if "agent" in entry and name == entry["name"]:
                self.fleet.start_target(name)
            else:
                self.fleet.start_daemon("agent" if "agent" in entry else "balancer", entry)
        for name in started:
            entry = self.entry(name)
            wait_until(lambda entry=entry: (self.fleet.status(entry) or {}).get("ready"),
                       f"{name} ready", WIDE_SECONDS)

    def await_end(self, name):
        if name in self.fleet.processes:
            wait_until(lambda: not self.fleet.is_running(name), f"{name} ended", WIDE_SECONDS)

    def do_freeze(self, words):
        stopped = []
        self.for_processes(words, stopped.append, until=("for",))
        words.takes("for")
        seconds = words.seconds()
        for name in stopped:
            self.frozen.add(name)
            self.fleet.signal(name, signal.SIGSTOP)
            timer = threading.Timer(seconds, self.wake, (name, self.fleet.processes[name][1]))
            timer.start()
            self.timers.append(timer)

    def wake(self, name, process):
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
        self.frozen.discard(name)

    def do_cut(self, words):
        for name in set(words.names()) - {"fabric"}:
            self.cut.add(name)
            self.fleet.fabric_do({"do": "cut", "balancer": name})

    def do_heal(self, words):
        names = words.names()
        for name in set(self.cut) if names == ["all"] else set(names) - {"fabric"}:
            self.cut.discard(name)
            self.fleet.fabric_do({"do": "heal", "balancer": name})

    def do_platform(self, words):
        self.fleet.faults(down=words.name() == "down")

    def do_patch(self, words):
        """Patches of one moment are against the number that was in force before them."""
        if self.moment not in self.patch_bases:
            self.patch_bases[self.moment] = json.loads(self.fleet.ctl("get").stdout)["number"]
        file = self.fleet.path / f"patch-{len(self.patches)}.json"
        file.write_text(words.name())
        self.patches.append(self.fleet.start_command(
            [self.fleet.program("anvilctl"), "apply", "--base", str(self.patch_bases[self.moment]),
             "--platform", self.fleet.plan["platform"], str(file)]))

    # Expectations.

    def check(self, row, good, seen):
        if not good:
            self.failures.append(f"line {row.line}: {row.text}  (seen: {seen})")

    def await_that(self, row, look):
        """`look` gives (good, seen); it may take as long as WIDE_SECONDS to come true."""
        try:
            wait_until(lambda: look()[0], row.text, WIDE_SECONDS)
        except fleet.FleetError:
            self.check(row, *look())

    def expect_config(self, row, words):
        wanted = words.number()

        def look():
            numbers = {name: (self.fleet.status(entry) or {}).get("number")
                       for name, entry in self.fleet.entries() if self.fleet.is_running(name)}
            others = {name: number for name, number in numbers.items() if number != wanted}
            return not others, others
        self.await_that(row, look)

    def expect_record(self, row, words):
        key, wanted = words.name(), words.takes("present")

        def look():
            code, _ = self.fleet.http(self.fleet.plan["platform"], f"/v1/objects/{key}")
            return code == (200 if wanted else 404), f"HTTP {code}"
        self.await_that(row, look)

    def expect_ended(self, row, words, wanted=False):
        name = self.processes_of(words.name())[0]
        self.await_that(row, lambda: (self.fleet.is_running(name) == wanted,
                                      "ended" if wanted else "running"))

    def expect_running(self, row, words):
        self.expect_ended(row, words, True)

    def expect_flows(self, row, words):
        entry, count = self.entry(words.name()), words.count()

        def look():
            flows = (self.fleet.status(entry) or {}).get("flows", 0)
            return holds(flows, *count), flows
        self.await_that(row, look)

    def expect_patches(self, row, words):
        kind, count = words.name(), words.count()
        codes = [patch.wait(timeout=WIDE_SECONDS) for patch in self.patches]
        seen = sum(PATCH_OUTCOMES.get(code) == kind for code in codes)
        self.check(row, holds(seen, *count), f"exit codes {codes}")

    # Those that are looked at when the clients have ended; what happened after `moment` is left out.

    def later(self, check):
        self.deferred.append(check)

    def streams(self):
        """Feeds that were established."""
        return [stream for load in self.loads.values() for stream in load.streams() if stream.opened]

    def expect_broken(self, row, words):
        moment, count = time.monotonic(), words.count()
        spared = set(words.names()) - {"except"}

        def check():
            states = [one.state(moment, self.leaving) for one in self.streams()]
            broken = [(target, why) for target, why in states if why and target not in spared]
            self.check(row, holds(len(broken), *count), f"{len(broken)} {broken[:5]}")
        self.later(check)

    def expect_streams(self, row, words):
        moment, count = time.monotonic(), words.count()

        def check():
            alive = [one for one in self.streams() if not one.state(moment, self.leaving)[1]]
            self.check(row, holds(len(alive), *count), len(alive))
        self.later(check)

    def expect_untold(self, row, words):
        name, count = words.name(), words.count()

        def check():
            untold = [one for one in self.streams() if one.places[-1][0] == name
                      and one.fault != "cancelled"]
            self.check(row, holds(len(untold), *count), len(untold))
        self.later(check)

    def expect_new_flows(self, row, words):
        """As the clients see it: feeds whose first word came from that target since then."""
        name, wanted = words.name(), words.number()
        words.takes("since")
        since = time.monotonic() - (self.plan.played(row.at) - self.plan.played(words.seconds()))

        def check():
            late = [one for one in self.streams() if one.opened[0] == name and one.opened[1] >= since]
            self.check(row, len(late) == wanted, len(late))
        self.later(check)

    def expect_outcomes(self, row, words):
        kind, count = words.name(), words.count()

        def check():
            summaries = [load.summary for load in self.loads.values()]
            seen = sum(self.outcomes(summary, kind) for summary in summaries)
            self.check(row, holds(seen, *count), seen)
        self.later(check)

    @staticmethod
    def outcomes(summary, kind):
        if kind == "pending":
            return 0  # a load client ends with an outcome for each request only
        if kind == "error":
            return summary["errors"] + summary["resets"]
        return summary[OUTCOME_KEYS[kind]]

    def expect_crossings(self, row, _):
        def check():
            wrong = [target for load in self.loads.values()
                     for target in [*load.summary["by_target"], *load.served_by()]
                     if target and self.entry(target)["service"] != load.group.service]
            self.check(row, not wrong, wrong)
        self.later(check)

    # What must hold at the end of every run.

    def check_always(self):
        runs = collections.Counter()
        for target in self.fleet.plan["targets"]:
            if self.fleet.is_running(target["name"]):
                runs.update(self.fleet.executions(target["name"]))
        twice = [request for request, count in runs.items() if count > 1]
        if twice:
            self.failures.append(f"always: ran more than once: {twice[:5]}")
        for load in self.loads.values():
            summary = load.summary
            wrong = {key: summary[key] for key in ("wrong_answers", "double_executions") if summary[key]}
            if wrong:
                self.failures.append(f"always: {wrong}")
            if summary["sent"] and not summary["answered"]:
                self.failures.append("always: no request was answered")
        if not self.expectations:
            self.failures.append("always: nothing was expected")
