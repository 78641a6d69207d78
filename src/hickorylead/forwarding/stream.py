"""Server-sent events of an answer: whole events only, in order, once.

A replica may stop in the middle of an event. Only whole events are passed on,
so that another replica can go on after the last one.
"""

from __future__ import annotations

import attrs

_END = b"\n\n"
# A replica that sends bytes without ever ending an event must not fill the
# memory; events of the deployments that we know have some 100 bytes.
MAX_EVENT_BYTES = 1024 * 1024


@attrs.frozen
class Cut:
    """What a piece of a stream amounts to.

    Attributes:
        data: Whole events to pass on.
        events: How many these are.
        problem: Stable code of what is wrong with the stream; empty if fine.
    """

    data: bytes
    events: int
    problem: str = ""


class EventCutter:
    """Cuts one answer into events and drops those that the caller has."""

    def __init__(self, last_event_id: int) -> None:
        """Makes a cutter at the start of an answer.

        Args:
            last_event_id: Id of the last event that the caller has.
        """
        self.last_event_id = last_event_id
        self._rest = b""

    @property
    def is_between(self) -> bool:
        """Says whether the answer stopped between two events."""
        return not self._rest.strip()

    def feed(self, data: bytes) -> Cut:
        """Takes a piece of the answer."""
        rest = self._rest + data
        given: list[bytes] = []
        problem = ""
        while (end := rest.find(_END)) >= 0:
            event = rest[: end + len(_END)]
            rest = rest[end + len(_END) :]
            number = read_event_id(event)
            if number is None:
                given.append(event)
                continue
            if number <= self.last_event_id:
                # A replica that was asked to go on may begin before.
                continue
            if number != self.last_event_id + 1:
                problem = "event_gap"
                break
            self.last_event_id = number
            given.append(event)
        self._rest = rest
        if len(rest) > MAX_EVENT_BYTES:
            problem = "event_too_long"
        return Cut(b"".join(given), len(given), problem)


def read_event_id(event: bytes) -> int | None:
    """Returns the id of an event; None if it has none."""
    for line in event.split(b"\n"):
        name, colon, value = line.partition(b":")
        if colon and name == b"id":
            text = value.strip()
            return int(text) if text.isdigit() else None
    return None
