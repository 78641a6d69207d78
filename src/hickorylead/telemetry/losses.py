"""Late, refused and aborted requests in logs, by cause.

Each such request has one cause, the first that applies in the order of
`_find_cause`. Causes are derived from the logs of the processes alone.
"""

from __future__ import annotations

import bisect
import collections
from typing import TYPE_CHECKING, Any

import attrs

from hickorylead.forwarding import model
from hickorylead.telemetry import timelines

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# Length of the time windows in the table of losses by time, in seconds.
WINDOW_S = 2.0
# Share of its objective that a late request may wait in its gateway. If it
# waited longer, it is late because of the wait; otherwise its replica had most
# of the time.
WAIT_SHARE = 0.3
# Window around the detection of a stall by a gateway, in seconds before and
# after it. The stall is confirmed if a member of the group was reported lost,
# or the group ended, within the window: heartbeats alone show a loss only after
# 1.8 s and one probe without a reply.
CONFIRMED_BEFORE_S = 1.0
CONFIRMED_AFTER_S = 2.5
EXAMPLES_PER_CAUSE = 2

QUEUED = "queued or slow at its replica"
WAITED = "waited here for a replica"
BUSY = "this process was busy"
CONFIRMED_STALL = "moved: its replica had stopped"
FALSE_ALARM = "moved: false alarm of a stall"
PAUSED = "paused at its replica"
ABANDONED = "abandoned: its replica was silent, but had not ended it"
# Reason codes of attempts that the gateway gave up although their replicas had
# not ended them, and of attempts whose replicas certainly did not run them.
GIVEN_UP = frozenset({"stalled", "no_answer", "overtaken"})
NOT_RUN = frozenset({"refused", *model.UNSENT_FAILURES})


@attrs.frozen
class Loss:
    """One request that was late, refused or aborted.

    Attributes:
        request_id: Its id, assigned by the gateway.
        route: Its route.
        zone: Zone of its gateway.
        arrived_at: When it arrived, in Unix seconds.
        cause: Why it was late, refused or aborted.
        detection_s: Time from sending the first failed attempt until its stall
            was detected, in seconds; None if that attempt did not stall.
    """

    request_id: str
    route: str
    zone: str
    arrived_at: float
    cause: str
    detection_s: float | None = None


@attrs.frozen
class Losses:
    """All losses in a set of logs.

    Attributes:
        lost: The losses, by time of arrival.
        requests: Number of requests that ended.
        started_at: Time of the earliest line, in Unix seconds.
        malformed: Number of lines that are not decisions.
        dropped: Number of lines that the processes dropped to limit their
            output.
    """

    lost: tuple[Loss, ...]
    requests: int
    started_at: float
    malformed: int
    dropped: int


def find_losses(texts: Iterable[str]) -> Losses:
    """Returns the late, refused and aborted requests of some logs.

    Args:
        texts: Contents of the logs of gateways and coordinators.
    """
    ended: list[timelines.Line] = []
    failed: dict[str, list[timelines.Line]] = collections.defaultdict(list)
    suspected: dict[str, timelines.Line] = {}
    groups = _GroupEnds()
    late_loops = _LateLoops()
    malformed = dropped = 0
    started_at = float("inf")
    for text in texts:
        for row in text.splitlines():
            line = timelines.parse_line(row)
            if line is None:
                malformed += 1
                continue
            started_at = min(started_at, line.time)
            match line.event:
                case "request_ended":
                    ended.append(line)
                case "attempt_failed":
                    failed[line.fields.get("request_id", "")].append(line)
                case "attempt_suspected":
                    suspected.setdefault(
                        line.fields.get("request_id", ""), line
                    )
                case "instance_changed":
                    groups.add(line)
                case "loop_late":
                    late_loops.add(line)
                case "lines_dropped":
                    dropped += int(line.fields.get("count", 0))
    groups.compute_ends()
    lost = []
    for line in ended:
        request_id = line.fields.get("request_id", "")
        loss = _find_loss(
            line,
            failed.get(request_id, []),
            suspected.get(request_id),
            groups,
            late_loops,
        )
        if loss is not None:
            lost.append(loss)
    lost.sort(key=lambda loss: loss.arrived_at)
    return Losses(tuple(lost), len(ended), started_at, malformed, dropped)


class _GroupEnds:
    """When groups ended, according to the reports of their members."""

    def __init__(self) -> None:
        self._reports: dict[str, list[timelines.Line]] = (
            collections.defaultdict(list)
        )
        self._ends: dict[Any, list[float]] = collections.defaultdict(list)

    def add(self, line: timelines.Line) -> None:
        self._reports[line.fields.get("server", "")].append(line)

    def compute_ends(self) -> None:
        for lines in self._reports.values():
            lines.sort(key=lambda line: line.time)
            previous = None
            for line in lines:
                group = _parse_group(line)
                if previous and (group != previous or _is_end(line)):
                    self._ends[previous].append(line.time)
                previous = group
        for times in self._ends.values():
            times.sort()

    def has_ended(self, server: str, at: float) -> bool | None:
        """Returns whether the group of a server ended around a time.

        Returns:
            None if no coordinator's log shows the group of that server.
        """
        lines = self._reports.get(server, [])
        index = bisect.bisect(lines, at, key=lambda line: line.time)
        group = _parse_group(lines[index - 1]) if index else None
        if group is None and index > 1:
            group = _parse_group(lines[index - 2])
        if group is None:
            return None
        times = self._ends.get(group, [])
        first = bisect.bisect(times, at - CONFIRMED_BEFORE_S)
        return first < len(times) and times[first] <= at + CONFIRMED_AFTER_S


def _parse_group(line: timelines.Line) -> tuple[str, int] | None:
    group = line.fields.get("group")
    return (group, line.fields.get("epoch", 0)) if group else None


def _is_end(line: timelines.Line) -> bool:
    return (
        bool(line.fields.get("silent"))
        or line.fields.get("phase") != "ready"
        or line.fields.get("state") in ("closing", "broken")
    )


class _LateLoops:
    """When event loops of processes ran late."""

    def __init__(self) -> None:
        self._times: dict[str, list[float]] = collections.defaultdict(list)

    def add(self, line: timelines.Line) -> None:
        self._times[line.vm].append(line.time)

    def has_any(self, vm: str, first: float, last: float) -> bool:
        return any(first <= at <= last for at in self._times.get(vm, ()))


def _find_loss(
    line: timelines.Line,
    failed_attempts: list[timelines.Line],
    suspected: timelines.Line | None,
    groups: _GroupEnds,
    late_loops: _LateLoops,
) -> Loss | None:
    """Returns the loss of an ended request; None if it was served in time."""
    arrived_at = line.time - float(line.fields.get("lasted_s") or 0.0)
    cause = _find_cause(line, failed_attempts, groups, late_loops, arrived_at)
    if cause is None:
        return None
    detection_s = None
    if suspected is not None and suspected.fields.get("reason") == "stalled":
        detection_s = float(suspected.fields.get("after_s") or 0.0)
    return Loss(
        str(line.fields.get("request_id", "")),
        str(line.fields.get("route", "")),
        str(line.fields.get("zone", "")),
        arrived_at,
        cause,
        detection_s,
    )


def _find_cause(
    line: timelines.Line,
    failed_attempts: list[timelines.Line],
    groups: _GroupEnds,
    late_loops: _LateLoops,
    arrived_at: float,
) -> str | None:
    fields = line.fields
    outcome = str(fields.get("outcome", ""))
    if outcome == "caller_left" and _is_over(fields, "lasted_s", "objective_s"):
        return "caller disconnected after " + (
            "its objective, before the first event"
            if fields.get("first_event_s") is None
            else "the first event"
        )
    if was_abandoned(fields):
        return ABANDONED
    if outcome.startswith(("refused_", "broken_")):
        prefix, _, reason = outcome.partition("_")
        return f"{prefix}: {reason}"
    if outcome != "answered":
        return None
    if fields.get("kind") == "stream":
        is_late = _is_over(fields, "first_event_s", "objective_s")
    else:
        is_late = _is_over(fields, "lasted_s", "objective_s")
    is_paused = _is_over(fields, "longest_pause_s", "pause_limit_s")
    if not is_late and not is_paused:
        return None
    if failed_attempts:
        return _find_retry_cause(failed_attempts[0], groups)
    if late_loops.has_any(line.vm, arrived_at, line.time):
        return BUSY
    if not is_late:
        return PAUSED
    objective_s = float(fields.get("objective_s") or 0.0)
    if float(fields.get("sent_after_s") or 0.0) > WAIT_SHARE * objective_s:
        return WAITED
    return QUEUED


def was_abandoned(fields: Mapping[str, Any]) -> bool:
    """Returns whether a gateway ended a response that could have gone on.

    Args:
        fields: Fields of the line about the end of the request.
    """
    outcome = str(fields.get("outcome", ""))
    if not outcome.startswith("broken_") or outcome == "broken_deadline":
        return False
    failures = fields.get("failures")
    if failures is None:
        # A line of a build that did not log them.
        return False
    runs = [reason for reason in failures if reason not in NOT_RUN]
    return not runs or runs[-1] in GIVEN_UP


def _is_over(fields: dict[str, Any], name: str, limit_name: str) -> bool:
    value, limit = fields.get(name), fields.get(limit_name)
    return bool(value is not None and limit and value > limit)


def _find_retry_cause(first: timelines.Line, groups: _GroupEnds) -> str:
    reason = str(first.fields.get("reason", ""))
    if reason == "overtaken":
        return FALSE_ALARM
    if reason != "stalled":
        return f"sent again: {reason}"
    server = str(first.fields.get("server", ""))
    ended = groups.has_ended(server, first.time)
    return FALSE_ALARM if ended is False else CONFIRMED_STALL


def render_losses(losses: Losses) -> str:
    """Returns the tables of losses as text."""
    share = len(losses.lost) / losses.requests if losses.requests else 0.0
    parts = [
        f"{losses.requests} requests ended, {len(losses.lost)} were late,"
        f" refused or broken ({share:.1%});"
        f" {losses.malformed} lines are no decisions,"
        f" {losses.dropped} were dropped by the processes",
        _render_causes(losses),
        _render_by("route", losses, lambda loss: loss.route),
        _render_by("zone", losses, lambda loss: loss.zone),
        _render_by(
            "from s",
            losses,
            lambda loss: f"{_find_window(loss, losses):g}",
        ),
    ]
    return "\n\n".join(parts) + "\n"


def _find_window(loss: Loss, losses: Losses) -> float:
    return (loss.arrived_at - losses.started_at) // WINDOW_S * WINDOW_S


def _render_causes(losses: Losses) -> str:
    by_cause: dict[str, list[Loss]] = collections.defaultdict(list)
    for loss in losses.lost:
        by_cause[loss.cause].append(loss)
    rows = ["requests  share  noticed p50 s  cause (examples)"]
    for cause, matching in sorted(by_cause.items(), key=lambda i: -len(i[1])):
        detections = sorted(
            x.detection_s for x in matching if x.detection_s is not None
        )
        median = f"{detections[len(detections) // 2]:.2f}" if detections else ""
        examples = " ".join(x.request_id for x in matching[:EXAMPLES_PER_CAUSE])
        share = len(matching) / len(losses.lost)
        rows.append(
            f"{len(matching):8}  {share:5.1%}  {median:>13}  {cause}"
            f" ({examples})"
        )
    return "\n".join(rows)


def _render_by(name: str, losses: Losses, get_key: Any) -> str:
    counts: dict[str, collections.Counter[str]] = collections.defaultdict(
        collections.Counter
    )
    keys: list[str] = []
    for loss in losses.lost:
        key = get_key(loss)
        if key not in counts:
            keys.append(key)
        counts[key][loss.cause] += 1
    rows = [f"{name:>20}  lost  most for"]
    for key in keys:
        top_causes = ", ".join(
            f"{c} {n}" for c, n in counts[key].most_common(3)
        )
        rows.append(f"{key:>20}  {counts[key].total():4}  {top_causes}")
    return "\n".join(rows)
