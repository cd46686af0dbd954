#!/usr/bin/env python3
"""Writes the tables of docs/CAPACITY.md from the model, its rows and the measured slopes.

    scripts/make_capacity.py [--check | --constants FILE]

--check changes nothing and fails when the page is not what the inputs give. --constants takes the
code's parameters from FILE into the committed slopes, and then writes the page.
"""
import ast
import json
import math
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs/CAPACITY.md"
MODEL = ROOT / "bench/capacity/model.json"
ROWS = ROOT / "bench/capacity/rows.json"
SLOPES = ROOT / "docs/figures/capacity-slopes.json"

SCALES = ((1e9, "G"), (1e6, "M"), (1e3, "K"))


def normal_loss(distance):
    """Mean excess of a standard normal variable over `distance`."""
    density = math.exp(-distance * distance / 2) / math.sqrt(2 * math.pi)
    tail = math.erfc(distance / math.sqrt(2)) / 2
    return density - distance * tail


class Model:
    """Evaluates the rows' formulas; each value remembers what it rests on."""

    def __init__(self, inputs, rows, bench):
        slopes = bench["slopes"]
        decided = [{**entry, "kind": "decided", "reason": f"default in the code: {entry['source']}"}
                   for entry in bench["constants"]]
        inputs = [*inputs, *decided]
        self.inputs = {entry["name"]: entry for entry in inputs}
        self.rows = {row["name"]: row for row in rows}
        self.slopes = {entry["name"]: entry for entry in slopes}
        self.values = {}
        clash = self.inputs.keys() & self.rows.keys()
        if clash:
            raise ValueError(f"named twice: {sorted(clash)}")

    def slope(self, name):
        return self.slopes[name]["slope"]

    def intercept(self, name):
        return self.slopes[name]["intercept"]

    def at(self, name, size):
        return self.intercept(name) + self.slope(name) * size

    def register_stream(self, flows):
        """Bytes of the Register datagrams for `flows`, each with its acknowledgement."""
        datagrams = math.ceil(flows / self.value("register_batch"))
        overhead = self.intercept("register_bytes") + 2 * self.value("udp_ip")
        acknowledgement = self.slope("register_ack_bytes")
        return flows * self.slope("register_bytes") + datagrams * (overhead + acknowledgement)

    def functions(self):
        return {
            "slope": self.slope, "intercept": self.intercept, "at": self.at,
            "register_stream": self.register_stream, "normal_loss": normal_loss,
            "ceil": math.ceil, "floor": math.floor, "sqrt": math.sqrt, "log": math.log,
            "min": min, "max": max,
        }

    def value(self, name):
        if name in self.inputs:
            return self.inputs[name]["value"]
        if name not in self.values:
            self.values[name] = self.evaluate(self.rows[name]["formula"])
        return self.values[name]

    def names(self, formula):
        found = {node.id for node in ast.walk(ast.parse(formula, mode="eval"))
                 if isinstance(node, ast.Name)}
        if "register_stream" in found:
            found |= {"register_batch", "udp_ip"}
        return found - self.functions().keys()

    def evaluate(self, formula):
        scope = {name: self.value(name) for name in self.names(formula)}
        return eval(formula, {"__builtins__": {}}, {**self.functions(), **scope})

    def slope_names(self, formula):
        found = set(re.findall(r"'(\w+)'", formula))
        return found | ({"register_bytes", "register_ack_bytes"} if "register_stream" in formula else set())

    def basis(self, formula):
        """(assumed inputs, measured slopes, other inputs) that a formula rests on, at any depth."""
        assumed, measured, other = set(), self.slope_names(formula), set()
        for name in self.names(formula):
            if name in self.inputs:
                (assumed if self.inputs[name]["kind"] == "assumed" else other).add(name)
                continue
            deeper = self.basis(self.rows[name]["formula"])
            assumed |= deeper[0]
            measured |= deeper[1]
            other |= deeper[2]
        return assumed, measured, other

    def kind(self, formula):
        assumed, measured, other = self.basis(formula)
        if assumed:
            return "assumed"
        return "derived" if other else "measured"

    def limit(self, row):
        return self.evaluate(row["limit"]) if "limit" in row else None

    def fits(self, row):
        return "limit" not in row or self.value(row["name"]) <= self.limit(row)


def number(value, unit):
    if unit == "%":
        return f"{value * 100:.2f} %"
    if unit == "core":
        return f"{value * 100:.3f} % of a core"
    prefix = ""
    for scale, letter in SCALES:
        if abs(value) >= scale and unit in ("B", "B/s"):
            value, prefix = value / scale, letter
            break
    text = f"{value:,.0f}" if value >= 100 or value == int(value) else f"{value:.3g}"
    return f"{text} {prefix}{unit}".strip()


def plain_number(value):
    return f"{value:,.0f}" if value >= 1e5 else f"{value:,g}"


def table(head, lines):
    rule = "|" + "---|" * len(head)
    return "\n".join(["| " + " | ".join(head) + " |", rule]
                     + ["| " + " | ".join(line) + " |" for line in lines])


def verdict(model, row):
    if "limit" not in row:
        return "no limit"
    if model.fits(row):
        return "fits"
    return f"**does not fit**: {row['mechanism']}"


def section_table(model, section):
    lines = []
    for row in section["rows"]:
        limit = f"{number(model.limit(row), row['unit'])} (`{row['limit']}`)" if "limit" in row else ""
        lines.append([f"`{row['name']}`: {row['text']}", number(model.value(row["name"]), row["unit"]),
                      model.kind(row["formula"]), f"`{row['formula']}`", limit, verdict(model, row)])
    return table(["what", "value", "kind", "formula", "limit", "fits"], lines)


def misfit_line(model, row):
    value = number(model.value(row["name"]), row["unit"])
    limit = number(model.limit(row), row["unit"])
    return f"- {row['text']}: {value} against {limit}. What makes it fit: {row['mechanism']}."


def misfits(model, sections):
    def lines_of(alternative):
        return [misfit_line(model, row) for section in sections
                if section.get("alternative", False) == alternative
                for row in section["rows"] if not model.fits(row)]

    return "\n".join(["In the design as it stands:", "", *lines_of(False), "",
                      "Ways that were not taken for this reason:", "", *lines_of(True)])


def slope_table(slopes):
    lines = [[f"`{entry['name']}`", f"{entry['slope']:.4g} {entry['unit']}", entry["per"],
              f"{entry['intercept']:.4g} {entry['unit']}", f"{entry['residual'] * 100:.1f} %",
              ", ".join(f"{size:g}: {value:.6g}" for size, value in entry["points"])]
             for entry in slopes]
    return table(["slope", "for each further", "", "at zero", "worst residual", "points"], lines)


def input_table(model):
    used = set()
    for row in model.rows.values():
        for formula in (row["formula"], row.get("limit", "0")):
            used |= model.names(formula)
    unused = model.inputs.keys() - used
    if unused:
        raise ValueError(f"inputs that no row uses: {sorted(unused)}")
    return table(["input", "value", "kind", "reason"],
                 [[f"`{entry['name']}`", plain_number(entry["value"]), entry["kind"], entry["reason"]]
                  for entry in model.inputs.values()])


def machine_line(machine):
    return f"Slopes measured on: {machine['cpu']}, {machine['nproc']} logical processors."


def replace(page, marker, text):
    pattern = re.compile(rf"(<!-- begin {marker} -->\n).*?(<!-- end {marker} -->)", re.DOTALL)
    if len(pattern.findall(page)) != 1:
        raise ValueError(f"the page needs one pair of markers for {marker}")
    return pattern.sub(lambda match: f"{match[1]}\n{text}\n\n{match[2]}", page)


def render(page):
    bench = json.loads(SLOPES.read_text())
    sections = json.loads(ROWS.read_text())["sections"]
    rows = [row for section in sections for row in section["rows"]]
    model = Model(json.loads(MODEL.read_text())["inputs"], rows, bench)
    page = replace(page, "misfits", misfits(model, sections))
    page = replace(page, "machine", machine_line(bench["machine"]))
    page = replace(page, "slopes", slope_table(bench["slopes"]))
    page = replace(page, "inputs", input_table(model))
    for section in sections:
        page = replace(page, section["marker"], section_table(model, section))
    return page


def take_constants(path):
    bench = json.loads(SLOPES.read_text())
    bench["constants"] = json.loads(pathlib.Path(path).read_text())
    SLOPES.write_text(json.dumps(bench, indent=1, sort_keys=True) + "\n")


def main():
    if sys.argv[1:2] == ["--constants"]:
        take_constants(sys.argv[2])
    page = PAGE.read_text()
    made = render(page)
    if "--check" in sys.argv[1:]:
        if made != page:
            sys.exit("docs/CAPACITY.md is not what its inputs give: run scripts/make_capacity.py")
        return
    PAGE.write_text(made)


if __name__ == "__main__":
    main()
