"""The promises that are checked, from what callers and servers see."""

from __future__ import annotations

import collections
from typing import Literal

import attrs

Kind = Literal["stream", "once", "again"]
# Statuses that promise: not run, and never will be.
PROMISES = frozenset({408, 421, 429, 503})
# A gateway that was just sent a change may decide two requests in the other
# order than they end, in seconds.
OVERTAKE_S = 0.25


@attrs.define
class Outcome:
    """What a caller saw of one request.

    Attributes:
        attempt: Its id.
        kind: A stream, one that may run once, or one that may run again.
        gateway: Where it was sent, with the number of that process's life.
        sent_at: When.
        status: Status of the answer; 0 without one.
        is_whole: Whether the answer ended as complete.
        seal: Who signed it; empty if nobody.
        body: The body as far as it came.
        ended_at: When it was over.
    """

    attempt: str
    kind: Kind
    gateway: str
    sent_at: float
    status: int = 0
    is_whole: bool = False
    seal: str = ""
    body: bytes = b""
    ended_at: float = 0.0


@attrs.frozen
class Run:
    """One request that a server began to work on."""

    attempt: str
    server: str
    workspace: str
    at: float


class Judge:
    """Collects what is seen and says which promise it breaks."""

    def __init__(self) -> None:
        """Makes a judge that has seen nothing."""
        self.broken: list[str] = []
        self.outcomes: list[Outcome] = []
        self.acknowledged = 0
        self.reads = 0
        self.checked: collections.Counter[str] = collections.Counter()
        self._runs: dict[str, list[Run]] = collections.defaultdict(list)
        self._ready: dict[tuple[str, int], set[str]] = collections.defaultdict(
            set
        )
        self._labels: dict[int, str] = {}
        self._in_force: dict[str, tuple[float, int]] = {}

    def complain(self, promise: str, detail: str) -> None:
        """Notes a broken promise."""
        self.broken.append(f"{promise}: {detail}")

    # Groups.

    def note_ready(self, server: str, group: str, epoch: int) -> None:
        """Takes that a member is ready."""
        self._ready[group, epoch].add(server)

    def check_whole(
        self, server: str, group: str, epoch: int, members: tuple[str, ...]
    ) -> None:
        """Checks that a replica that begins to work was whole once."""
        self.checked["whole group"] += 1
        missing = set(members) - self._ready[group, epoch]
        if missing or not members:
            self.complain("whole group", f"{server} runs without {missing}")

    # Requests.

    def note_run(self, run: Run) -> None:
        """Takes that a server began to work on a request."""
        self._runs[run.attempt].append(run)
        self._note_label(run.workspace)

    def take(self, outcome: Outcome) -> None:
        """Takes what a caller saw."""
        self.outcomes.append(outcome)
        if outcome.status == 200 and outcome.is_whole:
            self._check_success(outcome)
        elif outcome.kind == "stream" and outcome.body:
            self._check_events(outcome)

    def _check_success(self, outcome: Outcome) -> None:
        self.checked["own answer"] += 1
        runs = self._runs[outcome.attempt]
        if outcome.seal not in {run.server for run in runs}:
            self.complain(
                "own answer", f"{outcome.attempt} signed by {outcome.seal!r}"
            )
        if outcome.kind == "stream":
            count = self._check_events(outcome)
            if count != EVENTS:
                self.complain(
                    "whole stream", f"{outcome.attempt} ends after {count}"
                )
        elif outcome.body != make_body(outcome.attempt):
            self.complain("own answer", f"{outcome.attempt}: {outcome.body!r}")
        self._check_version(outcome)

    def _check_events(self, outcome: Outcome) -> int:
        self.checked["events in order"] += 1
        events = outcome.body.split(b"\n\n")[:-1]
        for number, event in enumerate(events, start=1):
            if event + b"\n\n" != make_event(outcome.attempt, number):
                self.complain(
                    "events in order", f"{outcome.attempt}: {event!r}"
                )
                break
        return len(events)

    def finish(self) -> None:
        """Checks what only shows once everything is over."""
        for outcome in self.outcomes:
            if outcome.kind != "once":
                continue
            self.checked["at most once"] += 1
            runs = self._runs[outcome.attempt]
            if len(runs) > 1:
                self.complain("at most once", f"{outcome.attempt}: {runs}")
            if outcome.status in PROMISES and runs:
                self.complain("not run", f"{outcome.attempt}: {outcome.status}")

    # The configuration.

    def _note_label(self, workspace: str) -> int:
        version, _, label = workspace.removeprefix("crew-").partition("-")
        number = int(version or "0")
        known = self._labels.setdefault(number, label)
        if known != label:
            self.complain(
                "one content a version", f"{number}: {known}, {label}"
            )
        return number

    def _check_version(self, outcome: Outcome) -> None:
        """Checks that a gateway's process never goes back."""
        run = self._runs[outcome.attempt][-1] if outcome.attempt else None
        if run is None:
            return
        self.checked["never back"] += 1
        version = self._note_label(run.workspace)
        seen_at, seen = self._in_force.get(outcome.gateway, (0.0, 0))
        if version < seen and outcome.sent_at > seen_at + OVERTAKE_S:
            self.complain(
                "never back", f"{outcome.gateway}: {version} after {seen}"
            )
        if version > seen:
            self._in_force[outcome.gateway] = (run.at, version)

    def note_acknowledged(self, version: int) -> None:
        """Takes that a change was acknowledged."""
        self.acknowledged = max(self.acknowledged, version)

    def check_read(self, floor: int, workspace: str, version: int) -> None:
        """Checks a read against what was acknowledged before it began."""
        self.checked["read is new"] += 1
        self.reads += 1
        self._note_label(workspace)
        if version < floor:
            self.complain("read is new", f"{version} after {floor}")


EVENTS = 12


def make_event(attempt: str, number: int) -> bytes:
    """Returns an event of a request's stream."""
    return f"id: {number}\ndata: {attempt} {number}\n\n".encode()


def make_body(attempt: str) -> bytes:
    """Returns the body of a plain answer."""
    return f"done {attempt}".encode()
