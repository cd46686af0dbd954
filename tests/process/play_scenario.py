#!/usr/bin/env python3
"""Plays .scenario files against real processes, or says which can be played.

    tests/process/play_scenario.py FILE...             # exits 1 when an expectation fails
    tests/process/play_scenario.py --report FILE...    # plays nothing; each file and what stands in
                                                       # the way; exits 1 when a marked one has any
"""

import argparse
import pathlib
import sys
import time

import scenario_clients
from scenario_plan import NotPlayable, Plan
from scenario_player import DRAIN_SECONDS, Player
from support import BUILD, TARGET_STOP, fleet

DEPLOYMENT = "ledgewater"
BALANCERS = 4  # b4 joins in some files
TOOL = str(pathlib.Path(BUILD) / "tools/scenario/anvildrum-scenario")
MOST_OBSTACLES = 4


def read(file):
    """(plan, obstacles)."""
    plan = Plan(TOOL, file)
    obstacles = plan.obstacles()
    if not obstacles:
        try:
            scenario_clients.groups_of(plan)
        except NotPlayable as error:
            obstacles.append((0, "clients", str(error)))
    return plan, obstacles


def report(file):
    """Whether the file is either playable or not marked."""
    plan, obstacles = read(file)
    state = "played" if plan.is_marked else "cores only"
    left_out = ", ".join(sorted(plan.left_out)) or "nothing"
    print(f"{plan.name}: {state}" + (f"; left out: {left_out}" if plan.is_marked else ""))
    for line, text, why in obstacles[:MOST_OBSTACLES]:
        print(f"    line {line}: {text}: {why}")
    if len(obstacles) > MOST_OBSTACLES:
        print(f"    and {len(obstacles) - MOST_OBSTACLES} more")
    if not plan.is_marked and not obstacles:
        print("    every statement could be played; left to the cores for its length")
    return not (plan.is_marked and obstacles)


def play(file, trace):
    plan, obstacles = read(file)
    if not plan.is_marked or obstacles:
        print(f"{plan.name}: not played, see --report: {obstacles}")
        return False
    began = time.monotonic()
    running = fleet.Fleet(DEPLOYMENT, BUILD, TARGET_STOP,
                          ["--drain-seconds", str(DRAIN_SECONDS), "--balancers", str(BALANCERS)])
    try:
        player = Player(running, plan, trace)
        failures = player.play()
    finally:
        ended = time.monotonic()
        killed = running.stop()
        stopping = time.monotonic() - ended
    if killed:
        failures.append(f"processes that SIGTERM did not end: {killed}")
    sent = sum(load.summary["sent"] for load in player.loads.values())
    streams = sum(load.summary["streams"] for load in player.loads.values())
    print(f"{plan.name}: {'FAILED' if failures else 'ok'}, {player.expectations} expectations, "
          f"{streams} streams, {sent} requests, {time.monotonic() - began:.0f} s "
          f"({player.started - began:.0f} s to start, {stopping:.0f} s to stop); "
          f"left out: {', '.join(sorted(plan.left_out)) or 'nothing'}")
    for failure in failures:
        print("  " + failure)
    return not failures


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--report", action="store_true")
    parser.add_argument("--trace", action="store_true", help="print each statement as it is played")
    parser.add_argument("files", nargs="+")
    options = parser.parse_args()
    good = [report(file) if options.report else play(file, options.trace) for file in options.files]
    return 0 if all(good) else 1


if __name__ == "__main__":
    sys.exit(main())
