"""The clients of a .scenario file as load clients: one for each group of names that act together."""

import dataclasses
import signal
import time

from scenario_plan import NotPlayable

SILENT_SECONDS = 15  # a feed without a fresh notification for as long is broken
REQUEST_TIMEOUT_MS = 93_000  # MAX_TRANSMIT_WAIT (RFC 7252, 4.8.2)
LONG_SECONDS = 3600  # the load is ended by a signal
FINISH_SECONDS = 180
# What a GET without a path asks for; the stand-ins have no other resource that all kinds share.
DEFAULT_GET = {"mapper": "route"}
ANY_GET = "health"


@dataclasses.dataclass
class Group:
    """Clients that are named together, and what they do. Times are of the script."""

    service: str
    size: int
    opens_at: float = None
    open_over: float = 0.0
    method: str = ""
    path: str = ""
    every: float = 0.0
    asks_at: float = None
    asks_for: float = 0.0

    def start(self):
        return min(at for at in (self.opens_at, self.asks_at) if at is not None)


def groups_of(plan):
    """Group by the names' tuple."""
    groups = {}
    for row in plan.statements:
        names, words = plan.clients_of(row)
        if not names:
            continue
        group = groups.setdefault(tuple(names), Group(plan.clients[names[0]], len(names)))
        verb = words.name()
        if verb == "cancel":
            _check_cancel(group, row)
        elif verb == "open":
            group.opens_at = row.at
            group.open_over = words.seconds() if words.takes("over") else 0.0
        else:
            _read_requests(group, verb, row, words)
    for group in groups.values():
        if group.opens_at is not None and group.opens_at > group.start():
            raise NotPlayable("a load client opens its feeds first")
    return groups


def _check_cancel(group, row):
    """The whole load client is ended."""
    if group.opens_at is None or row.at < (group.asks_at or 0) + group.asks_for:
        raise NotPlayable(f"line {row.line}: the group still sends requests")


def _read_requests(group, verb, row, words):
    if group.asks_at is not None:
        raise NotPlayable(f"line {row.line}: one series of requests a group")
    group.method, group.asks_at = verb, row.at
    default = DEFAULT_GET.get(group.service, ANY_GET)
    group.path = default if words.words[0] == "every" else words.name()
    words.takes("every")
    group.every = words.seconds()
    words.takes("for")
    group.asks_for = words.seconds()


class Load:
    """A running load client and, in the end, its summary."""

    def __init__(self, fleet, plan, group):
        start = group.start()
        options = ["--flows", group.size, "--seconds", LONG_SECONDS, "--list-streams",
                   "--gap-ms", SILENT_SECONDS * 1000, "--timeout-ms", REQUEST_TIMEOUT_MS]
        if group.opens_at is not None:
            options += ["--observe", "feed", "--open-over", plan.span(start, group.open_over)]
        if group.method:
            begins = plan.span(start, group.asks_at - start)
            lasts = plan.span(group.asks_at, group.asks_for)
            options += [f"--{group.method}", group.path, "--rate", group.size / group.every,
                        "--requests-after", begins, "--requests-for", lasts]
        self.fleet, self.group, self.summary = fleet, group, None
        self.started = time.monotonic()
        self.process = fleet.start_load(group.service, *map(str, options))

    def finish(self):
        """Ends it; it waits for its last answers and gives up its feeds."""
        if self.summary is not None:
            return
        self.process.send_signal(signal.SIGTERM)
        self.summary = self.fleet.finish_load(self.process, FINISH_SECONDS)

    def served_by(self):
        return {target for stream in self.streams() for target, _ in stream.places}

    def streams(self):
        return [Stream(self, row) for row in self.summary.get("stream_list", [])]


class Stream:
    """An observed feed as its client saw it. Moments are of time.monotonic()."""

    def __init__(self, load, row):
        self.fault = row["fault"]
        self.failed = self._moment(load, row["failed_ms"]) if self.fault else None
        if self.fault == "silent":
            self.failed -= SILENT_SECONDS  # when the silence began
        self.places = [(place["target"], self._moment(load, place["since_ms"]))
                       for place in row["places"]]

    @staticmethod
    def _moment(load, milliseconds):
        return load.started + milliseconds / 1000

    @property
    def opened(self):
        """(target, moment) of the first notification, or nothing."""
        return self.places[0] if self.places else None

    def state(self, moment, leaving):
        """(target, why it was broken at that moment); an empty reason: it was not. A target that
        was told to leave hands its feeds on."""
        target, _ = self.places[0]
        for next_target, next_since in self.places[1:]:
            if next_since > moment:
                break
            if target not in leaving:
                return target, "changed hands"
            target = next_target
        if self.failed is not None and self.failed <= moment:
            return target, self.fault
        return target, ""
