"""What callers lost over a stretch of logs, by cause.

Each request that was late, refused or broken gets one cause, the first that
fits in the order of `_find_cause`. Causes are told from the logs of the
processes alone.
"""

from __future__ import annotations

import bisect
import collections
from typing import TYPE_CHECKING, Any

import attrs

from hickorylead.telemetry import stories

if TYPE_CHECKING:
    from collections.abc import Iterable

# Windows of the table by time, in seconds.
WINDOW_S = 2.0
# A request that waited here for more than this share of its objective is late
# for that; below it, its replica had most of the time.
WAIT_SHARE = 0.3
# A stall was real if a member of the group was told lost, or the group ended,
# from this long before the alarm until this long after it, in seconds:
# heartbeats alone show a loss after 1.8 s and one unanswered question.
REAL_BEFORE_S = 1.0
REAL_AFTER_S = 2.5
EXAMPLES = 2

QUEUED = "queued or slow at its replica"
WAITED = "waited here for a replica"
BUSY = "this process was busy"
STALL = "moved: its replica had stopped"
FALSE_ALARM = "moved: false alarm of a stall"
PAUSED = "paused at its replica"


@attrs.frozen
class Loss:
    """One request of which its caller did not get what it should have.

    Attributes:
        request_id: The gateway's name for it.
        route: Its route.
        zone: Zone of its gateway.
        came_at: When it came, in Unix seconds.
        cause: Why.
        noticed_s: How long a stall took to notice, in seconds; None if it was
            not moved for one.
    """

    request_id: str
    route: str
    zone: str
    came_at: float
    cause: str
    noticed_s: float | None = None


@attrs.frozen
class Losses:
    """All losses of a stretch of logs.

    Attributes:
        lost: The losses, by time.
        requests: Requests that ended in it.
        began: First line, in Unix seconds.
        unreadable: Lines that are no decisions.
        dropped: Lines that processes did not write, to stay within bounds.
    """

    lost: tuple[Loss, ...]
    requests: int
    began: float
    unreadable: int
    dropped: int


def find_losses(texts: Iterable[str]) -> Losses:
    """Returns what callers lost.

    Args:
        texts: Contents of the processes' logs, of gateways and coordinators.
    """
    ended: list[stories.Line] = []
    failed: dict[str, list[stories.Line]] = collections.defaultdict(list)
    groups = _Groups()
    late = _LateLoops()
    unreadable = dropped = 0
    began = float("inf")
    for text in texts:
        for row in text.splitlines():
            line = stories.read_line(row)
            if line is None:
                unreadable += 1
                continue
            began = min(began, line.time)
            match line.event:
                case "request_ended":
                    ended.append(line)
                case "attempt_failed":
                    failed[line.fields.get("request_id", "")].append(line)
                case "instance_changed":
                    groups.take(line)
                case "loop_late":
                    late.take(line)
                case "lines_dropped":
                    dropped += int(line.fields.get("count", 0))
    groups.close()
    lost = []
    for line in ended:
        tries = failed.get(line.fields.get("request_id", ""), [])
        loss = _judge(line, tries, groups, late)
        if loss is not None:
            lost.append(loss)
    lost.sort(key=lambda loss: loss.came_at)
    return Losses(tuple(lost), len(ended), began, unreadable, dropped)


class _Groups:
    """When groups ended, as their members told."""

    def __init__(self) -> None:
        self._told: dict[str, list[stories.Line]] = collections.defaultdict(
            list
        )
        self._ends: dict[Any, list[float]] = collections.defaultdict(list)

    def take(self, line: stories.Line) -> None:
        self._told[line.fields.get("server", "")].append(line)

    def close(self) -> None:
        for lines in self._told.values():
            lines.sort(key=lambda line: line.time)
            own = None
            for line in lines:
                found = _read_group(line)
                if own and (found != own or _is_end(line)):
                    self._ends[own].append(line.time)
                own = found
        for times in self._ends.values():
            times.sort()

    def has_ended(self, server: str, at: float) -> bool | None:
        """Says whether the group of a server ended at about a time.

        Returns:
            None if no coordinator's log tells of that server.
        """
        lines = self._told.get(server, [])
        at_index = bisect.bisect(lines, at, key=lambda line: line.time)
        own = _read_group(lines[at_index - 1]) if at_index else None
        if own is None and at_index > 1:
            own = _read_group(lines[at_index - 2])
        if own is None:
            return None
        times = self._ends.get(own, [])
        first = bisect.bisect(times, at - REAL_BEFORE_S)
        return first < len(times) and times[first] <= at + REAL_AFTER_S


def _read_group(line: stories.Line) -> tuple[str, int] | None:
    group = line.fields.get("group")
    return (group, line.fields.get("epoch", 0)) if group else None


def _is_end(line: stories.Line) -> bool:
    return (
        bool(line.fields.get("silent"))
        or line.fields.get("phase") != "ready"
        or line.fields.get("state") in ("closing", "broken")
    )


class _LateLoops:
    """When processes were too busy to do anything in time."""

    def __init__(self) -> None:
        self._times: dict[str, list[float]] = collections.defaultdict(list)

    def take(self, line: stories.Line) -> None:
        self._times[line.vm].append(line.time)

    def has_any(self, vm: str, first: float, last: float) -> bool:
        return any(first <= at <= last for at in self._times.get(vm, ()))


def _judge(
    line: stories.Line,
    tries: list[stories.Line],
    groups: _Groups,
    late: _LateLoops,
) -> Loss | None:
    """Returns what the caller of a request lost; None if nothing."""
    came_at = line.time - float(line.fields.get("lasted_s") or 0.0)
    cause = _find_cause(line, tries, groups, late, came_at)
    if cause is None:
        return None
    noticed_s = None
    if tries and tries[0].fields.get("reason") == "stalled":
        noticed_s = float(tries[0].fields.get("after_s") or 0.0)
    return Loss(
        str(line.fields.get("request_id", "")),
        str(line.fields.get("route", "")),
        str(line.fields.get("zone", "")),
        came_at,
        cause,
        noticed_s,
    )


def _find_cause(
    line: stories.Line,
    tries: list[stories.Line],
    groups: _Groups,
    late: _LateLoops,
    came_at: float,
) -> str | None:
    fields = line.fields
    outcome = str(fields.get("outcome", ""))
    if outcome == "caller_left" and _is_over(fields, "lasted_s", "objective_s"):
        return "caller left after " + (
            "its objective, without an event"
            if fields.get("first_event_s") is None
            else "an event"
        )
    if outcome.startswith(("refused_", "broken_")):
        how, _, reason = outcome.partition("_")
        return f"{how}: {reason}"
    if outcome != "answered":
        return None
    if fields.get("kind") == "stream":
        is_late = _is_over(fields, "first_event_s", "objective_s")
    else:
        is_late = _is_over(fields, "lasted_s", "objective_s")
    is_paused = _is_over(fields, "longest_pause_s", "pause_limit_s")
    if not is_late and not is_paused:
        return None
    if tries:
        return _blame_try(tries[0], groups)
    if late.has_any(line.vm, came_at, line.time):
        return BUSY
    if not is_late:
        return PAUSED
    objective_s = float(fields.get("objective_s") or 0.0)
    if float(fields.get("sent_after_s") or 0.0) > WAIT_SHARE * objective_s:
        return WAITED
    return QUEUED


def _is_over(fields: dict[str, Any], name: str, limit_name: str) -> bool:
    value, limit = fields.get(name), fields.get(limit_name)
    return bool(value is not None and limit and value > limit)


def _blame_try(first: stories.Line, groups: _Groups) -> str:
    reason = str(first.fields.get("reason", ""))
    if reason != "stalled":
        return f"sent again: {reason}"
    server = str(first.fields.get("server", ""))
    ended = groups.has_ended(server, first.time)
    return FALSE_ALARM if ended is False else STALL


def render_losses(losses: Losses) -> str:
    """Returns the tables of what was lost, as text."""
    share = len(losses.lost) / losses.requests if losses.requests else 0.0
    parts = [
        f"{losses.requests} requests ended, {len(losses.lost)} were late,"
        f" refused or broken ({share:.1%});"
        f" {losses.unreadable} lines are no decisions,"
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
    return (loss.came_at - losses.began) // WINDOW_S * WINDOW_S


def _render_causes(losses: Losses) -> str:
    by_cause: dict[str, list[Loss]] = collections.defaultdict(list)
    for loss in losses.lost:
        by_cause[loss.cause].append(loss)
    rows = ["requests  share  noticed p50 s  cause (examples)"]
    for cause, found in sorted(by_cause.items(), key=lambda i: -len(i[1])):
        noticed = sorted(x.noticed_s for x in found if x.noticed_s is not None)
        middle = f"{noticed[len(noticed) // 2]:.2f}" if noticed else ""
        examples = " ".join(x.request_id for x in found[:EXAMPLES])
        share = len(found) / len(losses.lost)
        rows.append(
            f"{len(found):8}  {share:5.1%}  {middle:>13}  {cause} ({examples})"
        )
    return "\n".join(rows)


def _render_by(name: str, losses: Losses, find: Any) -> str:
    counts: dict[str, collections.Counter[str]] = collections.defaultdict(
        collections.Counter
    )
    order: list[str] = []
    for loss in losses.lost:
        key = find(loss)
        if key not in counts:
            order.append(key)
        counts[key][loss.cause] += 1
    rows = [f"{name:>20}  lost  most for"]
    for key in order:
        most = ", ".join(f"{c} {n}" for c, n in counts[key].most_common(3))
        rows.append(f"{key:>20}  {counts[key].total():4}  {most}")
    return "\n".join(rows)
