"""Splits a stream into complete server-sent events, in order, each once.

A replica may stop in the middle of an event. Only complete events are
forwarded, so that another replica can resume the stream after the last one.
"""

from __future__ import annotations

import attrs

_END = b"\n\n"
# Maximum size of one event, in bytes: a replica that never ends an event must
# not exhaust the gateway's memory. Events of known deployments have some 100
# bytes.
MAX_EVENT_BYTES = 1024 * 1024
# Digits of an event id that are read; a longer one follows no other id.
MAX_ID_DIGITS = 18


@attrs.frozen
class SplitResult:
    """Events that a chunk of a stream completes.

    Attributes:
        data: Complete events to forward.
        events: Number of these events.
        problem: Stable code of a fault of the stream; empty if there is none.
    """

    data: bytes
    events: int
    problem: str = ""


class EventSplitter:
    """Splits one response into events and drops those that the caller has."""

    def __init__(self, last_event_id: int) -> None:
        """Makes a splitter for the start of a response.

        Args:
            last_event_id: Id of the last event that the caller has.
        """
        self.last_event_id = last_event_id
        self._rest = b""

    @property
    def buffered_bytes(self) -> int:
        """Size of the event that is not complete yet, in bytes."""
        return len(self._rest)

    @property
    def is_at_boundary(self) -> bool:
        """Whether the data so far ends between two events."""
        return not self._rest.strip()

    def feed(self, data: bytes) -> SplitResult:
        """Handles a chunk of the response; returns the events it completes."""
        rest = self._rest + data
        passed: list[bytes] = []
        problem = ""
        while (end := rest.find(_END)) >= 0:
            event = rest[: end + len(_END)]
            rest = rest[end + len(_END) :]
            number = parse_event_id(event)
            if number is None:
                passed.append(event)
                continue
            if number <= self.last_event_id:
                # The caller already has this event: a replica may resume a
                # stream at an earlier event than requested.
                continue
            if number != self.last_event_id + 1:
                problem = "event_gap"
                break
            self.last_event_id = number
            passed.append(event)
        self._rest = rest
        if len(rest) > MAX_EVENT_BYTES:
            problem = "event_too_long"
        return SplitResult(b"".join(passed), len(passed), problem)


def parse_event_id(event: bytes) -> int | None:
    """Returns the id of an event; None if it has none."""
    for line in event.split(b"\n"):
        name, colon, value = line.partition(b":")
        if colon and name == b"id":
            text = value.strip()
            return int(text[:MAX_ID_DIGITS]) if text.isdigit() else None
    return None
