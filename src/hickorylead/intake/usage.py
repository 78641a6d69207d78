"""What one connection of a client uses, and whether it is stalled."""

from __future__ import annotations

import enum
import math

import attrs

# Rate below which a body is late, in bytes a second.
MIN_BYTES_PER_S = 64 * 1024


class Phase(enum.Enum):
    """What a connection is doing."""

    # Nothing is owed.
    IDLE = "idle"
    # A part of a head has arrived.
    HEAD = "head"
    # The head is complete, and the body is not.
    BODY = "body"
    # The request is complete, and its response is not.
    BUSY = "busy"
    # The response waits for the client to read.
    UNREAD = "unread"


@attrs.define(eq=False)
class ConnectionUsage:
    """What one connection of a client uses.

    Attributes:
        number: Its number, unique in the process.
        port: Name of the port.
        phase: What it is doing.
        held_bytes: Memory that it uses or has reserved, in bytes.
        reserved_bytes: Memory that it may use without another decision.
        missing_bytes: What is missing of its request, at most.
        waits_since: Since when it waits for memory; None if it does not.
        moved_at: When the latest input arrived.
        timeout_s: Longest time between two parts of its body, in seconds.
        is_evicted: Whether it has been evicted.
        counts: Whether it counts among the connections of its port.
    """

    number: int
    port: str
    phase: Phase = Phase.IDLE
    held_bytes: int = 0
    reserved_bytes: int = 0
    missing_bytes: int = 0
    waits_since: float | None = None
    moved_at: float = 0.0
    timeout_s: float = math.inf
    is_evicted: bool = False
    counts: bool = True
    _stalled_s: float = 0.0
    _stalled_at: float = 0.0

    def enter(self, phase: Phase, now: float) -> None:
        """Records that a phase begins."""
        self.phase = phase
        self.moved_at = self._stalled_at = now
        self._stalled_s = 0.0

    def record_input(self, size: int, now: float) -> None:
        """Records bytes that arrived."""
        self.moved_at = now
        stalled_s = self.find_stalled_s(now) - size / MIN_BYTES_PER_S
        self._stalled_s, self._stalled_at = max(0.0, stalled_s), now

    def start_waiting(self, now: float) -> None:
        """Records that it waits for memory, which does not stall it."""
        self._stalled_s, self._stalled_at = self.find_stalled_s(now), now
        self.waits_since = now

    def end_waiting(self, now: float) -> None:
        """Records that its input is read again."""
        self.waits_since = None
        self.moved_at = self._stalled_at = now

    def find_stalled_s(self, now: float) -> float:
        """Returns for how long it has been stalled, in seconds.

        For a body this is the time by which it is behind the least rate.
        """
        if self.phase is Phase.BUSY:
            return 0.0
        if self.waits_since is not None:
            return self._stalled_s
        return self._stalled_s + now - self._stalled_at
