"""Judges what planned stops of gateways did to requests."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
import math
import pathlib

import attrs
import orjson

from soak import checker as checker_module

# From as long after a request's last byte was sent, a close of its connection
# cannot have crossed it. In seconds.
LOSS_SLACK_S = 0.2
# How long after the grace time of a stop its effects are judged, in seconds.
AFTER_GRACE_S = 1.0
# A request that was sent no later than this after SIGTERM may be cut if its
# server works in this last part of the grace time. In seconds.
LATEST_EXCUSED_S = 3.0
EXCUSED_PART = 1 / 6


@attrs.define
class SentRequest(checker_module.Outcome):
    """What a caller sent, and what it observed.

    Attributes:
        began_at: Time at which its first byte was sent.
        is_whole: Whether its last byte was sent, at `sent_at`.
        limit_s: The shorter one of its time limit and its route's timeout, in
            seconds.
        end: How it ended.
        retry_after_s: When the caller may send it again, in seconds.
        keeps_connection: Whether the response keeps its connection open.
        behind: The request whose response comes before it on its connection,
            if it was sent before that response; empty for none.
        caller_late_s: How long the caller itself stood still meanwhile, in
            seconds; it may have seen the end that much too late.
    """

    began_at: float = 0.0
    is_whole: bool = False
    limit_s: float = math.inf
    end: str = ""
    retry_after_s: float = 0.0
    keeps_connection: bool = True
    behind: str = ""
    caller_late_s: float = 0.0

    @property
    def is_answered(self) -> bool:
        """Whether the caller received a complete response."""
        return self.status != 0 and self.is_complete

    @property
    def can_have_crossed(self) -> bool:
        """Whether the close of its connection may have crossed it."""
        slack_s = LOSS_SLACK_S + self.caller_late_s
        return self.ended_at - self.sent_at <= slack_s


@attrs.define
class Stop:
    """A planned stop of a gateway.

    Attributes:
        gateway: The process, with its start count.
        at: Time of SIGTERM.
        grace_s: Its grace time, in seconds.
        exited_at: Time at which the process ended.
        exit_code: Its exit code; None if it had to be killed.
    """

    gateway: str
    at: float
    grace_s: float
    exited_at: float = math.inf
    exit_code: int | None = None

    def excuses(
        self, sent: SentRequest, runs: Sequence[checker_module.Run]
    ) -> bool:
        """Returns whether a request could not end within the grace time."""
        excused_from = self.at + self.grace_s * (1 - EXCUSED_PART)
        return sent.sent_at <= self.at + LATEST_EXCUSED_S and any(
            run.started_at <= self.at + self.grace_s
            and run.ended_at >= excused_from
            for run in runs
        )

    def find_lateness(self) -> str | None:
        """Returns why the process did not end in time; None if it did."""
        took_s = self.exited_at - self.at
        if took_s <= self.grace_s and self.exit_code is not None:
            return None
        return f"{self.gateway} ended {took_s:.2f} s after SIGTERM"


def find_loss(
    sent: SentRequest,
    runs: Sequence[checker_module.Run],
    stops: Sequence[Stop],
    *,
    has_arrived: bool,
) -> str | None:
    """Returns why a request counts as lost; None if it does not.

    Args:
        sent: A request that nothing but planned work can have disturbed.
        runs: Its runs by servers.
        stops: All planned stops.
        has_arrived: Whether it has reached a server, which may have refused
            it.
    """
    if sent.is_answered or not sent.is_whole:
        return None
    if any(run.broke_off for run in runs):
        return None
    if sent.ended_at - sent.began_at >= sent.limit_s:
        return None
    for stop in stops:
        if stop.gateway == sent.gateway and stop.excuses(sent, runs):
            return None
    after_s = sent.ended_at - sent.sent_at
    if not has_arrived and sent.can_have_crossed:
        return None
    return (
        f"{sent.attempt} ({sent.kind}, status {sent.status}, {sent.end})"
        f" ended {after_s:.2f} s after its last byte,"
        f" {len(runs)} runs, {describe_phase(sent, stops)}"
    )


def describe_phase(sent: SentRequest, stops: Sequence[Stop]) -> str:
    """Returns when a request was sent and ended, relative to its stop."""
    for stop in stops:
        if stop.gateway == sent.gateway and sent.ended_at >= stop.at:
            return (
                f"{sent.gateway}, sent {sent.sent_at - stop.at:+.2f} s and"
                f" ended {sent.ended_at - stop.at:+.2f} s from SIGTERM"
            )
    return f"{sent.gateway}, not stopped"


def find_false_refusal(
    sent: SentRequest, runs: Sequence[checker_module.Run]
) -> str | None:
    """Returns why a refusal was wrong; None if it was right."""
    if sent.status in checker_module.NOT_EXECUTED_STATUSES and runs:
        return f"{sent.attempt}: {sent.status}, {len(runs)} runs"
    if sent.status == 500:
        return f"{sent.attempt}: {sent.status} of {sent.gateway}"
    return None


def must_be_logged(sent: SentRequest, *, has_arrived: bool) -> bool:
    """Returns whether its gateway has to name a request in its log."""
    is_cut = sent.is_whole and not sent.is_answered
    return is_cut and (has_arrived or not sent.can_have_crossed)


def select_undisturbed(
    requests: Sequence[SentRequest],
    stops: Sequence[Stop],
    disturbances: Sequence[tuple[float, float]],
) -> list[SentRequest]:
    """Returns the requests around a stop that nothing else can have disturbed.

    Args:
        requests: Any requests.
        stops: All planned stops.
        disturbances: Begin and end of each unplanned disturbance.
    """
    return [
        sent
        for sent in requests
        if any(
            stop.gateway == sent.gateway
            and stop.at <= sent.ended_at
            and sent.sent_at <= stop.at + stop.grace_s + AFTER_GRACE_S
            for stop in stops
        )
        and not any(
            began_at <= sent.ended_at
            and sent.began_at <= ended_at + checker_module.CONTACT_S
            for began_at, ended_at in disturbances
        )
    ]


def judge_requests(
    requests: Sequence[SentRequest],
    checker: checker_module.Checker,
    stops: Sequence[Stop],
    logs: Mapping[str, bytes],
) -> set[str]:
    """Reports what planned stops did to requests against the promises.

    Args:
        requests: Requests that only planned work can have disturbed.
        checker: Knows their runs, and takes the violations.
        stops: All planned stops.
        logs: Logs of gateways by name.

    Returns:
        The requests whose responses were cut and not lost.
    """
    # Responses that were cut and not lost: none can follow on the connection.
    excused: set[str] = set()
    for sent in requests:
        checker.checked["planned stop"] += 1
        runs = checker.list_runs(sent.attempt)
        has_arrived = checker.has_arrived(sent.attempt)
        loss = find_loss(sent, runs, stops, has_arrived=has_arrived)
        is_unreachable = sent.behind in excused and not has_arrived
        if loss is not None and not is_unreachable:
            checker.report_violation("no lost request", loss)
        elif sent.status and not sent.is_complete:
            checker.checked["cut and excused"] += 1
            excused.add(sent.attempt)
        refusal = find_false_refusal(sent, runs)
        if refusal is not None:
            checker.report_violation("refused request not run", refusal)
        name = sent.gateway.partition("#")[0]
        quoted = f'"{sent.attempt}"'.encode()
        if (
            must_be_logged(sent, has_arrived=has_arrived)
            and quoted not in logs[name]
        ):
            checker.report_violation(
                "cut request is logged", f"{sent.attempt} at {name}"
            )
    return excused


def list_bad_lines(log: pathlib.Path) -> list[str]:
    """Returns the lines of a log that are not JSON objects."""
    bad = []
    for row in log.read_text(errors="replace").splitlines():
        try:
            is_note = isinstance(orjson.loads(row), dict)
        except orjson.JSONDecodeError:
            is_note = False
        if not is_note:
            bad.append(row)
    return bad
