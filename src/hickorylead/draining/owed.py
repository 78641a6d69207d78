"""What a process owes to its callers, one entry for each busy connection."""

from __future__ import annotations

import enum

import attrs


class Phase(enum.Enum):
    """State of a connection that owes something to its caller."""

    # A part of a request's head has arrived.
    HEAD = "head"
    # The head is complete, and the body is not.
    BODY = "body"
    # The request is complete, and its response has not begun.
    WAITING = "waiting"
    # The response has begun.
    RESPONDING = "responding"
    # The response is complete, and its last bytes wait for the caller.
    FLUSHING = "flushing"


@attrs.frozen
class Owed:
    """A connection on which a caller is owed a response, or a part of one.

    Attributes:
        connection: Number of the connection, unique in its server.
        phase: Its state.
        since: When this request's first byte arrived, in seconds.
        request_id: Id of the request; empty before its head is complete.
        attempt_id: Id that the caller gave it; empty if unknown.
        queued_count: Complete heads of later requests on the connection.
    """

    connection: int
    phase: Phase
    since: float
    request_id: str = ""
    attempt_id: str = ""
    queued_count: int = 0
