#!/usr/bin/env python3
"""Draws measured points as an SVG, from committed data.

    scripts/plot.py DATA.json OUT.svg

DATA: {"title", "x", "y", "log": true or absent, "series": [{"name", "points": [[x, y], ...]}]}.
With "slopes": [NAME, ...] in place of "series", the points are those of
docs/figures/capacity-slopes.json. Logarithmic axes take points above 0 alone.
"""
import html
import json
import math
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
SLOPES = ROOT / "docs/figures/capacity-slopes.json"
WIDTH, HEIGHT = 720, 420
LEFT, RIGHT, TOP, BOTTOM = 80, 180, 40, 60
COLOURS = ("#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#b9770e", "#34495e")
TICKS = 5


class Axis:
    def __init__(self, values, is_log, start, end):
        self.is_log, self.start, self.end = is_log, start, end
        self.low = min(values) if is_log else min(0.0, *values)
        self.high = max(values)
        if self.high == self.low:
            self.high = self.low * 2 or 1.0

    def scaled(self, value):
        return math.log10(value) if self.is_log else value

    def place(self, value):
        low, high = self.scaled(self.low), self.scaled(self.high)
        share = (self.scaled(value) - low) / (high - low)
        return self.start + share * (self.end - self.start)

    def ticks(self):
        low, high = self.scaled(self.low), self.scaled(self.high)
        steps = [low + (high - low) * i / TICKS for i in range(TICKS + 1)]
        return [10**step for step in steps] if self.is_log else steps


def series_of(data):
    if "series" in data:
        return data["series"]
    slopes = {entry["name"]: entry for entry in json.loads(SLOPES.read_text())["slopes"]}
    return [{"name": name, "points": slopes[name]["points"]} for name in data["slopes"]]


def text(x, y, content, anchor="middle"):
    return f'<text x="{x:.1f}" y="{y:.1f}" text-anchor="{anchor}">{html.escape(content)}</text>'


def line(x1, y1, x2, y2, colour="#cccccc"):
    return f'<line x1="{x1:.1f}" y1="{y1:.1f}" x2="{x2:.1f}" y2="{y2:.1f}" stroke="{colour}"/>'


def frame(data, x, y):
    parts = [text(WIDTH / 2, 24, data["title"]), text((LEFT + WIDTH - RIGHT) / 2, HEIGHT - 14, data["x"]),
             text(8, TOP - 10, data["y"], "start")]
    for tick in x.ticks():
        parts.append(line(x.place(tick), TOP, x.place(tick), HEIGHT - BOTTOM))
        parts.append(text(x.place(tick), HEIGHT - BOTTOM + 18, f"{tick:.3g}"))
    for tick in y.ticks():
        parts.append(line(LEFT, y.place(tick), WIDTH - RIGHT, y.place(tick)))
        parts.append(text(LEFT - 8, y.place(tick) + 4, f"{tick:.3g}", "end"))
    return parts


def curve(index, entry, x, y):
    colour = COLOURS[index % len(COLOURS)]
    places = [(x.place(px), y.place(py)) for px, py in entry["points"]]
    path = " ".join(f"{px:.1f},{py:.1f}" for px, py in places)
    parts = [f'<polyline points="{path}" fill="none" stroke="{colour}" stroke-width="2"/>']
    parts += [f'<circle cx="{px:.1f}" cy="{py:.1f}" r="3" fill="{colour}"/>' for px, py in places]
    level = TOP + 20 * (index + 1)
    parts.append(line(WIDTH - RIGHT + 12, level - 4, WIDTH - RIGHT + 32, level - 4, colour))
    parts.append(text(WIDTH - RIGHT + 38, level, entry["name"], "start"))
    return parts


def draw(data):
    is_log = data.get("log", False)
    series = series_of(data)
    if is_log:
        series = [{**entry, "points": [p for p in entry["points"] if min(p) > 0]} for entry in series]
    points = [point for entry in series for point in entry["points"]]
    x = Axis([point[0] for point in points], is_log, LEFT, WIDTH - RIGHT)
    y = Axis([point[1] for point in points], is_log, HEIGHT - BOTTOM, TOP)
    parts = frame(data, x, y)
    for index, entry in enumerate(series):
        parts += curve(index, entry, x, y)
    body = "\n".join(parts)
    return (f'<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {WIDTH} {HEIGHT}" '
            f'font-family="sans-serif" font-size="12">\n'
            f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>\n{body}\n</svg>\n')


def main():
    if len(sys.argv) != 3:
        sys.exit(__doc__)
    data = json.loads(pathlib.Path(sys.argv[1]).read_text())
    pathlib.Path(sys.argv[2]).write_text(draw(data))


if __name__ == "__main__":
    main()
