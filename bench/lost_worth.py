#!/usr/bin/env python3
"""What each day of a score or run loses of its worth, as a Markdown table; bench/lost_worth.py ENTRY...

ENTRY is a file in journal/. The first columns are the parts of the worth (each with its weight), the
others its prices; those that are nowhere above LEAST are left out.
"""
import json
import pathlib
import sys

LEAST = 0.0005


def losses_of(day):
    """By name, what a day loses."""
    lost = {f"{name} ({weight})": weight * (1 - value) for name, weight, value in day["parts"]}
    lost |= {name: price for name, _, price in day["prices"]}
    return lost


def table(entry):
    days = [(day, losses_of(day)) for day in entry["days"]]
    names = list(dict.fromkeys(name for _, lost in days for name in lost))
    shown = [name for name in names if any(lost.get(name, 0) >= LEAST for _, lost in days)]
    lines = ["| day | worth | " + " | ".join(shown) + " |", "|---" * (len(shown) + 2) + "|"]
    for day, lost in days:
        cells = [f"{lost.get(name, 0):.3f}" for name in shown]
        lines.append(f"| {day['name']} | {day['G']:.3f} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


def main():
    for name in sys.argv[1:]:
        entry = json.loads(pathlib.Path(name).read_text())
        print(f"{entry['site']}, {entry['head'][:7]}\n\n{table(entry)}\n")


if __name__ == "__main__":
    main()
