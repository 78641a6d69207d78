"""The story of one request, joined from the logs of several processes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import orjson

if TYPE_CHECKING:
    from collections.abc import Iterable

# What happened to the servers of a request counts from this long before it
# until this long after, in seconds: a lost member is noticed within some two
# seconds, and its group serves again within some more.
BEFORE_S = 3.0
AFTER_S = 3.0
# Fields that the first columns of a line show, or that say nothing to a reader.
_SHOWN = frozenset({"time", "vm", "role", "zone", "event", "level"})


@attrs.frozen
class Line:
    """One line of a process's log."""

    time: float
    vm: str
    event: str
    fields: dict[str, Any]


@attrs.frozen
class Story:
    """The lines about one request, in order.

    Attributes:
        lines: Lines of the request, and about the servers that it was sent to.
        unreadable: Lines of the files that are no decisions.
    """

    lines: tuple[Line, ...]
    unreadable: int


def tell_story(texts: Iterable[str], wanted: str) -> Story:
    """Returns the story of a request.

    Args:
        texts: Contents of the processes' logs.
        wanted: The request's id, or the id of a caller's attempt.
    """
    lines: list[Line] = []
    unreadable = 0
    for text in texts:
        for row in text.splitlines():
            line = read_line(row)
            if line is None:
                unreadable += 1
            else:
                lines.append(line)
    own = _find_own(lines, wanted)
    if not own:
        return Story((), unreadable)
    servers = {line.fields.get("server") for line in own} - {None}
    first, last = own[0].time - BEFORE_S, own[-1].time + AFTER_S
    around = [
        line
        for line in lines
        if "request_id" not in line.fields
        and first <= line.time <= last
        and _names_any(line, servers)
    ]
    found = sorted([*own, *around], key=lambda line: line.time)
    return Story(tuple(found), unreadable)


def render_story(story: Story) -> str:
    """Returns a story as text, times from its first line on."""
    if not story.lines:
        return "no line tells of it\n"
    began = story.lines[0].time
    rows = []
    for line in story.lines:
        fields = " ".join(
            f"{name}={_render(value)}"
            for name, value in line.fields.items()
            if name not in _SHOWN and value not in (None, "", [])
        )
        moment = f"{line.time - began:8.3f}"
        rows.append(f"{moment}  {line.vm:20} {line.event:18} {fields}")
    return "\n".join(row.rstrip() for row in rows) + "\n"


def read_line(row: str) -> Line | None:
    """Returns a line of a log; None if it is no decision of a process."""
    try:
        found = orjson.loads(row)
        return Line(
            float(found["time"]), str(found["vm"]), str(found["event"]), found
        )
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
        return None


def _find_own(lines: list[Line], wanted: str) -> list[Line]:
    """Returns the lines of a request, which the caller's id may name."""
    ids = {wanted}
    for line in lines:
        if line.fields.get("attempt_id") == wanted:
            ids.add(line.fields.get("request_id", wanted))
    own = [line for line in lines if line.fields.get("request_id") in ids]
    return sorted(own, key=lambda line: line.time)


def _names_any(line: Line, servers: set[Any]) -> bool:
    if (
        line.fields.get("server") in servers
        or line.fields.get("head") in servers
    ):
        return True
    asked = line.fields.get("asked")
    return isinstance(asked, list) and bool(servers & set(asked))


def _render(value: Any) -> str:
    return value if isinstance(value, str) else orjson.dumps(value).decode()
