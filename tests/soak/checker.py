"""Checks invariants against what callers and servers observe."""

from __future__ import annotations

import collections
import math
from typing import Literal
import urllib.parse

import attrs

from hickorylead.admission import budget
from hickorylead.telemetry import repeats

Kind = Literal["stream", "once", "again"]
# Statuses that guarantee that the request has not run and never will.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
# Just after a gateway has received a change, two of its requests may end in
# another order than it admitted them. In seconds.
REORDER_S = 0.25
# Nodes are in touch this long after a fault, in seconds. From as long after the
# fifth crash under a part, few requests with it may run.
CONTACT_S = 3.0
CRASHES = 5
MAX_LATE_RUNS = 3


@attrs.frozen
class StreamShape:
    """Events of a stream, as a caller asks for them in its request's query.

    Attributes:
        count: Number of events.
        interval_s: Time from one of them to the next, in seconds.
        padding: Bytes that are added to each event.
    """

    count: int = 12
    interval_s: float = 0.02
    padding: int = 0

    def encode(self) -> str:
        """Returns the query of a request."""
        return "?" + urllib.parse.urlencode(attrs.asdict(self))


def decode_shape(target: str) -> StreamShape:
    """Returns the shape that the target of a request asks for."""
    fields = dict(urllib.parse.parse_qsl(target.partition("?")[2]))
    default = StreamShape()
    return StreamShape(
        int(fields.get("count", default.count)),
        float(fields.get("interval_s", default.interval_s)),
        int(fields.get("padding", default.padding)),
    )


@attrs.define
class Outcome:
    """What a caller observed of one request.

    Attributes:
        attempt: Its id.
        kind: A stream (`stream`), a request that may run at most once (`once`)
            or an idempotent one (`again`).
        gateway: The gateway that it was sent to, with the start count of the
            process.
        sent_at: Time at which it was sent.
        status: Status of the response; 0 without one.
        is_complete: Whether the response was received completely.
        signature: Server that signed the response; empty if unsigned.
        body: The part of the body that was received.
        ended_at: Time at which the response, or the attempt, ended.
        shape: The stream that was asked for.
    """

    attempt: str
    kind: Kind
    gateway: str
    sent_at: float
    status: int = 0
    is_complete: bool = False
    signature: str = ""
    body: bytes = b""
    ended_at: float = 0.0
    shape: StreamShape = StreamShape()


@attrs.define
class Run:
    """One execution of a request by a server.

    Attributes:
        attempt: The request.
        server: The server.
        workspace: Workspace of the request.
        started_at: When it began.
        ended_at: When the server stopped working on it.
        broke_off: Whether the server ended it without a complete response.
    """

    attempt: str
    server: str
    workspace: str
    started_at: float
    ended_at: float = math.inf
    broke_off: bool = False


class Checker:
    """Collects observations and the violations of invariants in them."""

    def __init__(self, retry_limits: budget.RetryLimits) -> None:
        """Makes a checker without observations.

        Args:
            retry_limits: Limits that the gateways were set.
        """
        self._retry_limits = retry_limits
        # Times at which requests reached servers, by service and request.
        self._arrivals: dict[str, dict[str, list[float]]] = {
            "model": collections.defaultdict(list),
            "plain": collections.defaultdict(list),
        }
        # Most repeats in a window, as a share of what is allowed.
        self.most_repeats = 0.0
        self.violations: list[str] = []
        self.outcomes: list[Outcome] = []
        self.acknowledged = 0
        self.reads = 0
        self.checked: collections.Counter[str] = collections.Counter()
        self._runs: dict[str, list[Run]] = collections.defaultdict(list)
        self._ready: dict[tuple[str, int], set[str]] = collections.defaultdict(
            set
        )
        self._labels: dict[int, str] = {}
        self._newest_versions: dict[str, tuple[float, int]] = {}
        self._crashing_runs: dict[str, list[float]] = collections.defaultdict(
            list
        )
        # Begin and end of each other fault.
        self.disturbances: list[tuple[float, float]] = []

    def report_violation(self, invariant: str, detail: str) -> None:
        """Records a violation of an invariant."""
        self.violations.append(f"{invariant}: {detail}")

    # Groups.

    def record_ready(self, server: str, group: str, epoch: int) -> None:
        """Records that a member is ready."""
        self._ready[group, epoch].add(server)

    def check_complete_group(
        self, server: str, group: str, epoch: int, members: tuple[str, ...]
    ) -> None:
        """Checks that all members of a replica with a request were ready."""
        self.checked["complete group"] += 1
        missing = set(members) - self._ready[group, epoch]
        if missing or not members:
            self.report_violation(
                "complete group", f"{server} runs without {missing}"
            )

    # Requests.

    def record_run(self, run: Run) -> None:
        """Records that a server began to run a request."""
        self._runs[run.attempt].append(run)
        self._check_label(run.workspace)

    def list_runs(self, attempt: str) -> list[Run]:
        """Returns the runs of a request."""
        return self._runs.get(attempt, [])

    def has_arrived(self, attempt: str) -> bool:
        """Returns whether a request has reached a server."""
        return any(attempt in found for found in self._arrivals.values())

    def record_arrival(self, attempt: str, service: str, at: float) -> None:
        """Records that a request reached a server, which may refuse it."""
        self._arrivals[service][attempt].append(at)

    def _check_repeats(self) -> None:
        """Checks that all gateways together kept the limit of retries."""
        for service, arrivals in self._arrivals.items():
            self.checked["retry limit"] += 1
            window = repeats.find_fullest_window(
                [
                    outcome.sent_at
                    for outcome in self.outcomes
                    if (outcome.kind == "stream") == (service == "model")
                ],
                [at for times in arrivals.values() for at in times[1:]],
                self._retry_limits,
            )
            self.most_repeats = max(self.most_repeats, window.used_share)
            if window.used_share > 1.0:
                self.report_violation("retry limit", f"{service}: {window}")

    def record_outcome(self, outcome: Outcome) -> None:
        """Records what a caller observed, and checks it."""
        self.outcomes.append(outcome)
        if outcome.status == 200 and outcome.is_complete:
            self._check_success(outcome)
        elif outcome.kind == "stream" and outcome.body:
            self._check_events(outcome)

    def _check_success(self, outcome: Outcome) -> None:
        self.checked["response belongs to request"] += 1
        runs = self._runs[outcome.attempt]
        if outcome.signature not in {run.server for run in runs}:
            self.report_violation(
                "response belongs to request",
                f"{outcome.attempt} signed by {outcome.signature!r}",
            )
        if outcome.kind == "stream":
            count = self._check_events(outcome)
            if count != outcome.shape.count:
                self.report_violation(
                    "complete stream", f"{outcome.attempt} ends after {count}"
                )
        elif outcome.body != make_body(outcome.attempt):
            self.report_violation(
                "response belongs to request",
                f"{outcome.attempt}: {outcome.body!r}",
            )
        self._check_version(outcome)

    def _check_events(self, outcome: Outcome) -> int:
        self.checked["events in order"] += 1
        events = outcome.body.split(b"\n\n")[:-1]
        for number, event in enumerate(events, start=1):
            expected = make_event(
                outcome.attempt, number, outcome.shape.padding
            )
            if event + b"\n\n" != expected:
                self.report_violation(
                    "events in order", f"{outcome.attempt}: {event!r}"
                )
                break
        return len(events)

    def record_crashing_run(self, part: str, at: float) -> None:
        """Records that a server began to run a request that will end it."""
        self._crashing_runs[part].append(at)

    def _check_crashing_parts(self) -> None:
        """Checks that few requests with a part run late after its crashes.

        Runs within the contact time of other faults do not count.
        """
        for part, runs in self._crashing_runs.items():
            self.checked["crashing part blocked"] += 1
            late = [
                at
                for at in runs
                if at > runs[min(CRASHES, len(runs)) - 1] + CONTACT_S
                and not any(
                    began_at <= at <= ended_at + CONTACT_S
                    for began_at, ended_at in self.disturbances
                )
            ]
            if len(late) > MAX_LATE_RUNS:
                self.report_violation(
                    "crashing part blocked",
                    f"{part}: {len(late)} late of {len(runs)} runs",
                )

    def finish(self) -> None:
        """Checks the invariants that can be checked only after the run."""
        self._check_crashing_parts()
        self._check_repeats()
        for outcome in self.outcomes:
            if outcome.kind != "once":
                continue
            self.checked["at most once"] += 1
            runs = self._runs[outcome.attempt]
            if len(runs) > 1:
                self.report_violation(
                    "at most once", f"{outcome.attempt}: {runs}"
                )
            if outcome.status in NOT_EXECUTED_STATUSES and runs:
                self.report_violation(
                    "refused request not run",
                    f"{outcome.attempt}: {outcome.status}",
                )

    # The configuration.

    def _check_label(self, workspace: str) -> int:
        version, _, label = workspace.removeprefix("crew-").partition("-")
        number = int(version or "0")
        known = self._labels.setdefault(number, label)
        if known != label:
            self.report_violation(
                "one configuration per version", f"{number}: {known}, {label}"
            )
        return number

    def _check_version(self, outcome: Outcome) -> None:
        """Checks that a gateway process never returns to an older version."""
        run = self._runs[outcome.attempt][-1] if outcome.attempt else None
        if run is None:
            return
        self.checked["version never decreases"] += 1
        version = self._check_label(run.workspace)
        newest_at, newest = self._newest_versions.get(outcome.gateway, (0.0, 0))
        if version < newest and outcome.sent_at > newest_at + REORDER_S:
            self.report_violation(
                "version never decreases",
                f"{outcome.gateway}: {version} after {newest}",
            )
        if version > newest:
            self._newest_versions[outcome.gateway] = (run.started_at, version)

    def record_acknowledged(self, version: int) -> None:
        """Records that a change was acknowledged."""
        self.acknowledged = max(self.acknowledged, version)

    def check_read(
        self, min_version: int, workspace: str, version: int
    ) -> None:
        """Checks that a read is not older than what was acknowledged before."""
        self.checked["read is not stale"] += 1
        self.reads += 1
        self._check_label(workspace)
        if version < min_version:
            self.report_violation(
                "read is not stale", f"{version} after {min_version}"
            )


def make_event(attempt: str, number: int, padding: int = 0) -> bytes:
    """Returns an event of a request's stream."""
    text = f"{attempt} {number}{' ' * bool(padding)}{'.' * padding}"
    return f"id: {number}\ndata: {text}\n\n".encode()


def make_body(attempt: str) -> bytes:
    """Returns the body of a response that is not a stream."""
    return f"done {attempt}".encode()
