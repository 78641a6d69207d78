"""What a relay owes to other gateways, and log lines about it."""

from __future__ import annotations

import enum

import attrs

from hickorylead import notes


class Phase(enum.Enum):
    """State of an exchange at the relay."""

    # The relay connects to the server; nothing of the request was sent.
    OPENING = "opening"
    # The relay has accepted, and the server has sent nothing.
    WAITING = "waiting"
    # The server has sent a part of its response.
    RESPONDING = "responding"
    # The exchange has ended, and its last bytes wait for the gateway.
    FLUSHING = "flushing"


@attrs.frozen
class Exchange:
    """One exchange that a relay owes to another gateway.

    Attributes:
        phase: Its state.
        since: When it was opened, in seconds.
        request_id: Id of the request at the other gateway; empty if that
            gateway did not send it.
        server: Name of the server.
        forwarded_bytes: Size of what the server has sent.
        pending_bytes: Bytes that wait for the other gateway.
    """

    phase: Phase
    since: float
    request_id: str
    server: str
    forwarded_bytes: int
    pending_bytes: int


def describe_end(exchange: Exchange, why: str, now: float) -> notes.Note:
    """Returns the line about an exchange that the relay ends.

    Args:
        exchange: The exchange.
        why: Stable code.
        now: Present time.
    """
    return notes.Note(
        "relay_exchange_ended",
        exchange.request_id,
        {
            "why": why,
            "server": exchange.server,
            "phase": exchange.phase.value,
            "age_s": round(now - exchange.since, 3),
            "forwarded_bytes": exchange.forwarded_bytes,
            "pending_bytes": exchange.pending_bytes,
        },
        "warning",
    )
