"""The statements of a .scenario file as `anvildrum-scenario FILE --plan` reads them (its grammar is
the only parser), and whether real processes can play them."""

import json
import pathlib
import subprocess

EVER = float("inf")
CLIENT_VERBS = ("open", "get", "post", "cancel")
# What may be left out: expectations that look into cores or at a speed. No action may be.
EXPECTATIONS = {"broken", "streams", "untold", "outcomes", "crossings", "config", "patches", "record",
                "running", "ended", "flows", "new-flows"}
OUTCOMES = {"pending", "not-run", "unknown", "timeout", "error"}


class NotPlayable(Exception):
    """A statement that processes cannot show, and why."""


class Words:
    """Reads the words of a statement in turn: names are str, numbers are float, times are dicts."""

    def __init__(self, words):
        self.words = list(words)

    def takes(self, text):
        if self.words and self.words[0] == text:
            self.words.pop(0)
            return True
        return False

    def name(self):
        if not self.words or not isinstance(self.words[0], str):
            raise NotPlayable(f"a name is missing before {self.words}")
        return self.words.pop(0)

    def names(self, until=()):
        names = []
        while self.words and isinstance(self.words[0], str) and self.words[0] not in until:
            names.append(self.words.pop(0))
        return names

    def number(self):
        return float(self.words.pop(0))

    def seconds(self):
        return self.words.pop(0)["ms"] / 1000

    def count(self):
        """(operator, number) of a count."""
        operator = next((one for one in ("<=", ">=") if self.takes(one)), "==")
        return operator, self.number()

    def end(self):
        if self.words:
            raise NotPlayable(f"not known to processes: {self.words}")


class Statement:
    def __init__(self, row):
        self.line, self.text, self.words = row["line"], row["text"].strip(), row["words"]
        self.is_set_up, self.at = row["set_up"], row["at_ms"] / 1000

    @property
    def verb(self):
        return self.words[0]

    def rest(self, skip=1):
        return Words(self.words[skip:])


class Plan:
    """One file: set-up by kind, and the statements by their time."""

    def __init__(self, tool, file):
        text = subprocess.run([tool, str(file), "--plan"], capture_output=True, text=True)
        if text.returncode != 0:
            raise NotPlayable(text.stdout)
        rows = [Statement(json.loads(line)) for line in text.stdout.splitlines()]
        self.name = pathlib.Path(file).stem
        self.set_up = [row for row in rows if row.is_set_up]
        self.statements = [row for row in rows if not row.is_set_up]
        self.left_out, self.longest_wait, self.is_marked = set(), EVER, False
        for row in self.of("processes"):
            self.is_marked = True
            self._read_mark(row.rest())
        self.clients = {}  # name -> service
        for row in self.of("clients"):
            words = row.rest()
            names = words.names(until=("of",))
            words.takes("of")
            self.clients.update(dict.fromkeys(names, words.words[0]))
        self._played = self._compress()

    def of(self, verb):
        return [row for row in self.set_up if row.verb == verb]

    def _read_mark(self, words):
        if words.takes("leave-out"):
            self.left_out |= set(words.names())
        elif words.takes("wait-at-most"):
            self.longest_wait = words.seconds()

    # Time. A wait between two statements that is longer than the file's wait-at-most is cut to it.

    def _compress(self):
        played, last, moment = {}, 0.0, 0.0
        for row in self.statements:
            moment += min(row.at - last, self.longest_wait)
            last = row.at
            played[last] = moment
        return played

    def played(self, at):
        """The moment in a run of processes that stands for a moment of the script."""
        before = max((known for known in self._played if known <= at), default=None)
        if before is None:
            return min(at, self.longest_wait)
        return self._played[before] + min(at - before, self.longest_wait)

    def span(self, start, seconds):
        return self.played(start + seconds) - self.played(start)

    # What can be played.

    def clients_of(self, statement):
        """(names, words behind them); no names: not a statement of clients."""
        words = statement.rest(0)
        names = []
        while words.words and isinstance(words.words[0], str) and words.words[0] in self.clients:
            names.append(words.words.pop(0))
        return names, words

    def is_left_out(self, statement):
        return statement.verb == "expect" and statement.words[1] in self.left_out

    def obstacles(self):
        """(line, text, why) of each statement that stands in the way."""
        found = []
        for row in self.statements:
            try:
                self._check(row)
            except NotPlayable as error:
                found.append((row.line, row.text, str(error)))
        said = {row.words[1] for row in self.statements if row.verb == "expect"}
        for word in sorted(self.left_out - said):
            found.append((0, "processes leave-out", f"no expectation of '{word}' is there to leave out"))
        return found

    def _check(self, row):
        names, words = self.clients_of(row)
        if names:
            return self._check_clients(words)
        check = getattr(self, "_check_" + row.verb, None)
        if check is None:
            raise NotPlayable("an action on the network or the cores")
        return check(row.rest())

    def _check_clients(self, words):
        verb = words.name()
        if verb not in CLIENT_VERBS:
            raise NotPlayable("the load client opens feeds, and sends GET and POST")
        if verb in ("get", "post") and "every" not in words.words:
            raise NotPlayable("the load client sends at a rate; single requests are for cores")

    def _check_kill(self, words):
        words.names()

    _check_stop = _check_drain = _check_kill

    def _check_start(self, words):
        if "as" in words.words:
            raise NotPlayable("the fleet has fixed services")

    def _check_freeze(self, words):
        words.names(until=("for",))
        if not words.takes("for"):
            raise NotPlayable("a freeze without its time")

    def _check_platform(self, words):
        if not words.takes("down") and not words.takes("up"):
            raise NotPlayable("the stand-in loses answers by number, not by share")

    def _check_patch(self, words):
        if not words.name().startswith("["):
            raise NotPlayable("anvilctl takes the operations alone")

    def _check_cut(self, words):
        if "fabric" not in words.words:
            raise NotPlayable("processes on one loopback cannot be cut from each other")

    def _check_heal(self, words):
        if words.words != ["all"]:
            self._check_cut(words)

    def _check_expect(self, words):
        kind = words.name()
        if kind in self.left_out:
            return
        if kind not in EXPECTATIONS:
            raise NotPlayable(f"'{kind}' looks into cores or at a speed")
        if kind == "outcomes" and words.words[0] not in OUTCOMES:
            raise NotPlayable(f"the load client has no such outcome: {words.words[0]}")
