"""The timeline of one request, joined from the logs of several processes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import orjson

if TYPE_CHECKING:
    from collections.abc import Iterable

# The timeline of a request includes events of its servers from this long before
# the request's first line until this long after its last line, in seconds. The
# loss of a member is detected within some two seconds, and its group serves
# again some seconds later.
BEFORE_S = 3.0
AFTER_S = 3.0
# Fields that are left out of a line's list of fields: the first columns show
# them, or they are of no use to a reader.
_SHOWN = frozenset({"time", "vm", "role", "zone", "event", "level"})


@attrs.frozen
class Line:
    """One line of a process's log."""

    time: float
    vm: str
    event: str
    fields: dict[str, Any]


@attrs.frozen
class Timeline:
    """The log lines about one request, in order of time.

    Attributes:
        lines: Lines about the request and the servers that it was sent to.
        malformed: Number of lines of the logs that are not decisions.
    """

    lines: tuple[Line, ...]
    malformed: int


def find_timeline(texts: Iterable[str], wanted_id: str) -> Timeline:
    """Returns the timeline of a request.

    Args:
        texts: Contents of the processes' logs.
        wanted_id: The request's id, or the id of a caller's attempt.
    """
    lines: list[Line] = []
    malformed = 0
    for text in texts:
        for row in text.splitlines():
            line = parse_line(row)
            if line is None:
                malformed += 1
            else:
                lines.append(line)
    request_lines = _find_request_lines(lines, wanted_id)
    if not request_lines:
        return Timeline((), malformed)
    servers = {line.fields.get("server") for line in request_lines} - {None}
    first, last = (
        request_lines[0].time - BEFORE_S,
        request_lines[-1].time + AFTER_S,
    )
    server_lines = [
        line
        for line in lines
        if "request_id" not in line.fields
        and first <= line.time <= last
        and _mentions_any(line, servers)
    ]
    selected = sorted(
        [*request_lines, *server_lines], key=lambda line: line.time
    )
    return Timeline(tuple(selected), malformed)


def render_timeline(timeline: Timeline) -> str:
    """Returns a timeline as text, with times relative to its first line."""
    if not timeline.lines:
        return "no log line mentions the request\n"
    started_at = timeline.lines[0].time
    rows = []
    for line in timeline.lines:
        fields = " ".join(
            f"{name}={_render_value(value)}"
            for name, value in line.fields.items()
            if name not in _SHOWN and value not in (None, "", [])
        )
        elapsed = f"{line.time - started_at:8.3f}"
        rows.append(f"{elapsed}  {line.vm:20} {line.event:18} {fields}")
    return "\n".join(row.rstrip() for row in rows) + "\n"


def parse_line(row: str) -> Line | None:
    """Parses a line of a log.

    Returns:
        None if the line is not a decision of a process.
    """
    try:
        fields = orjson.loads(row)
        return Line(
            float(fields["time"]),
            str(fields["vm"]),
            str(fields["event"]),
            fields,
        )
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
        return None


def _find_request_lines(lines: list[Line], wanted_id: str) -> list[Line]:
    """Returns the lines of a request, by its id or a caller's attempt id."""
    ids = {wanted_id}
    for line in lines:
        if line.fields.get("attempt_id") == wanted_id:
            ids.add(line.fields.get("request_id", wanted_id))
    found = [line for line in lines if line.fields.get("request_id") in ids]
    return sorted(found, key=lambda line: line.time)


def _mentions_any(line: Line, servers: set[Any]) -> bool:
    if (
        line.fields.get("server") in servers
        or line.fields.get("head") in servers
    ):
        return True
    probed = line.fields.get("asked")
    return isinstance(probed, list) and bool(servers & set(probed))


def _render_value(value: Any) -> str:
    return value if isinstance(value, str) else orjson.dumps(value).decode()
