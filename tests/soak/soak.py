#!/usr/bin/env python3
"""Fault soak of packet flows: real processes, harmed from outside, while clients and targets keep
the books of what they see. docs/soak.md says what is checked.

    tests/soak/soak.py --seeds 50            # fifty runs with seeds of the clock
    tests/soak/soak.py --seed 7 --logs DIR   # one run again, its logs kept
"""

import argparse
import heapq
import os
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(HERE), str(HERE.parent / "process")]

from fleet import VERSION_PORT, Fleet  # noqa: E402
from packet_standins import BUSY, MANY, SLOW  # noqa: E402
from tcp_proxy import Mode  # noqa: E402
from traffic import Stage  # noqa: E402

START_SECONDS = 60      # until every target is given openings
SETTLE_SECONDS = 60     # until every open flow is served again after the last fault
CONFIGURATION_SECONDS = 60
FAULT_GAP = (0.1, 1.5)  # seconds between the beginnings of two faults
AWAY = (0.05, 2.0)      # seconds that a process or target that ended is away
# A process that is paused for longer than it takes to be held for gone may lose its target's flows.
PAUSE = (0.3, 3.0)
HARM = (0.5, 5.0)       # seconds that the store or the way to it is harmed
DRAIN = (0.3, 2.5)
LONG_FLOWS, SHORT_EVERY, VERSION_EVERY = 40, 0.05, 1.0


class Soak:
    """One run: faults drawn from a seed, traffic all the while, then calm and the last checks."""

    def __init__(self, fleet, seed, moves=False):
        self.fleet, self.draw, self.moves = fleet, random.Random(seed), moves
        self.due, self.drawn, self.threads = [], 0, []
        self.next_short, self.next_version = 0.0, 0.0
        self.retries = []

    # Faults

    def faults(self):
        fleet, draw = self.fleet, self.draw
        agents, balancers = list(fleet.agents), fleet.balancers
        ends = (signal.SIGTERM, signal.SIGKILL)

        def end(last, how=None):
            self.run(fleet.restart, last, how or draw.choice(ends), draw.uniform(*AWAY))

        def end_many(machines, how):
            for last in machines:
                end(last, how)

        def harm_way():
            modes = [mode for mode in Mode if mode is not Mode.PASS]
            self.run(self.harm_proxy, draw.choice([*agents, *balancers]), draw.choice(modes),
                     draw.uniform(*HARM))

        moves = {"give a route to the other service": fleet.move_route} if self.moves else {}
        return moves | {
            "end a balancer": lambda: end(draw.choice(balancers)),
            "end an agent": lambda: end(draw.choice(agents)),
            "end all balancers in turn": lambda: self.run(self.roll, balancers),
            "kill many": lambda: end_many(draw.sample([*agents, *balancers], len(agents) // 2),
                                          signal.SIGKILL),
            "kill all": lambda: end_many([*agents, *balancers], signal.SIGKILL),
            "pause a balancer": lambda: self.run(fleet.pause, draw.choice(balancers),
                                                 draw.uniform(*PAUSE)),
            "pause an agent": lambda: self.run(fleet.pause, draw.choice(agents),
                                               draw.uniform(*PAUSE)),
            "harm a way to the store": harm_way,
            "harm the store": lambda: self.run(self.harm_store, draw.choice((BUSY, MANY, SLOW)),
                                               draw.uniform(*HARM)),
            "drop the store's history": fleet.store.drop_history,
            "replace a target": lambda: self.run(fleet.replace_target, draw.choice(agents),
                                                 draw.uniform(*DRAIN), draw.uniform(*AWAY)),
            "crash a target": lambda: self.run(fleet.crash_target, draw.choice(agents),
                                               draw.uniform(*AWAY)),
            "use an address for another service": lambda: self.run(
                fleet.crash_target, draw.choice(agents), draw.uniform(*AWAY),
                draw.choice(("desk", "mapper"))),
            "change the configuration": fleet.new_version,
        }

    def run(self, work, *arguments):
        """Harms overlap: each runs beside the others."""
        thread = threading.Thread(target=work, args=arguments, daemon=True)
        thread.start()
        self.threads.append(thread)

    def harm_proxy(self, last, mode, seconds):
        self.fleet.proxies[last].mode = mode
        time.sleep(seconds)
        self.fleet.proxies[last].mode = Mode.PASS

    def harm_store(self, harm, seconds):
        self.fleet.store.harm = harm
        time.sleep(seconds)
        self.fleet.store.harm = None

    def roll(self, machines):
        for last in machines:
            self.fleet.restart(last, signal.SIGTERM, 0.3)
            time.sleep(0.3)

    # Traffic

    def traffic(self, now):
        fleet = self.fleet
        alive = [flow for flow in fleet.flows.values() if flow.stage is not Stage.ENDED]
        for flow in list(fleet.flows.values()):
            if flow.stage is Stage.ENDED:
                self.retry(flow)
        for _ in range(LONG_FLOWS - sum(flow.long for flow in alive)):
            fleet.new_flow(self.draw_route(), long=True)
        if now >= self.next_short:
            self.next_short = now + SHORT_EVERY
            fleet.new_flow(self.draw_route(), long=False)
        if now >= self.next_version:
            self.next_version = now + VERSION_EVERY
            for version in range(max(1, fleet.version - 1), fleet.version + 1):
                for _ in fleet.balancers:
                    fleet.new_flow(("198.18.1.1", VERSION_PORT + version), long=False)

    def retry(self, flow):
        """A short request that is known not to have run is asked for again, by a new flow."""
        del self.fleet.flows[flow.port]
        again = not flow.long and flow.requests == 0 and flow.route in self.fleet.routes
        if again and flow.port % 4:  # three further tries on average
            self.fleet.new_flow(flow.route, long=False, operation=flow.operation)

    def draw_route(self):
        return random.choice(list(self.fleet.routes))

    def go_on(self, until, done=lambda: False):
        """Traffic until a time, or until `done`. Whether it was done."""
        while (began := time.monotonic()) < until:
            self.traffic(began)
            self.fleet.step()
            if done():
                return True
            self.fleet.books.note_step(time.monotonic() - began)
        return False

    # The run

    def play(self, seconds, trace):
        fleet = self.fleet
        if not self.go_on(time.monotonic() + START_SECONDS, self.all_targets_used):
            fleet.books.fault("not every target was given an opening at the start")
        self.draw_faults(seconds)
        ends = time.monotonic() + seconds
        while self.due:
            at, _, name, work = heapq.heappop(self.due)
            self.go_on(at)
            if trace:
                print(f"{time.monotonic() - fleet.books.began:7.2f} s: {name}", flush=True)
            work()
        self.go_on(ends)
        fleet.calm()
        for thread in self.threads:
            self.go_on(time.monotonic() + SETTLE_SECONDS, lambda: not thread.is_alive())
        self.last_checks()

    def draw_faults(self, seconds):
        faults, at = self.faults(), time.monotonic()
        ends = at + seconds
        while at < ends:
            name = self.draw.choice(sorted(faults))
            heapq.heappush(self.due, (at, len(self.due), name, faults[name]))
            at += self.draw.uniform(*FAULT_GAP)

    def all_targets_used(self):
        return all(target.used for target in list(self.fleet.targets.values()))

    def last_checks(self):
        fleet, books = self.fleet, self.fleet.books
        calm_since = time.monotonic()
        open_now = [flow for flow in fleet.flows.values()
                    if flow.long and flow.answered_at and fleet.holder(flow.key)]

        def unserved():
            return [flow for flow in open_now if flow.stage is not Stage.ENDED
                    and flow.answered_at < calm_since and fleet.holder(flow.key)]

        if not self.go_on(calm_since + SETTLE_SECONDS, lambda: not unserved()):
            books.fault(f"open flows are not served: {[flow.port for flow in unserved()]}")
        newest = fleet.version
        if not self.go_on(time.monotonic() + CONFIGURATION_SECONDS,
                          lambda: len(fleet.versions_seen) == len(fleet.balancers) and
                          all(seen == newest for seen, _ in fleet.versions_seen.values())):
            books.fault(f"version {newest} is not in force everywhere: {fleet.versions_seen}")
        fleet.check_processes()


def play(seed, options, folder):
    random.seed(seed)  # of traffic; the faults have a generator of their own
    fleet = Fleet(options.program, options, folder)
    try:
        Soak(fleet, seed, options.moves).play(options.seconds, options.trace)
    finally:
        fleet.close()
    return fleet.books


def read_options():
    build = os.environ.get("ANVILDRUM_BUILD", str(HERE.parent.parent / "build"))
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--program", default=f"{build}/platform/anvildrum-packetd")
    parser.add_argument("--seed", type=int, help="one run with this seed")
    parser.add_argument("--seeds", type=int, default=1, help="runs with fresh seeds")
    parser.add_argument("--seconds", type=float, default=15, help="of faults in each run")
    parser.add_argument("--balancers", type=int, default=3)
    parser.add_argument("--agents", type=int, default=6)
    parser.add_argument("--moves", action="store_true",
                        help="a route's service changes while its flows stay open")
    parser.add_argument("--logs", help="folder for the processes' logs of broken runs")
    parser.add_argument("--trace", action="store_true", help="print each fault as it begins")
    return parser.parse_args()


def main():
    options = read_options()
    for end in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(end, lambda *_: sys.exit(1))  # by way of Fleet.close: no process is left behind
    first = options.seed if options.seed is not None else time.time_ns() % 1_000_000_000
    broken = []
    for seed in range(first, first + (1 if options.seed is not None else options.seeds)):
        with tempfile.TemporaryDirectory() as scratch:
            books = play(seed, options, scratch)
            if books.faults and options.logs:
                shutil.copytree(scratch, os.path.join(options.logs, f"seed-{seed}"))
        counts = " ".join(f"{name}={count}" for name, count in sorted(books.counts.items()))
        print(f"seed {seed}: {'BROKEN' if books.faults else 'kept'}; {counts}", flush=True)
        for fault in books.faults[:20]:
            print(f"  {fault}", flush=True)
        broken += [seed] if books.faults else []
    print(f"broken: {broken or 'none'}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
