"""One connection of a client, as the account of a process sees it."""

from __future__ import annotations

import enum
import math

import attrs

# Rate below which a body counts as standing still, in bytes a second.
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
class Member:
    """A connection of a client.

    Attributes:
        number: Its number, unique in the process.
        port: Name of the port.
        opened_at: When it was opened.
        phase: What it is doing.
        held_bytes: What it makes the process hold, or may without asking.
        reserved_bytes: What it may hold without asking.
        missing_bytes: What is missing of its body, or may be.
        waits_since: Since when its input waits for room; None if it does not.
        moved_at: When the latest input arrived.
        timeout_s: Longest time between two parts of its body, in seconds.
        is_ended: Whether it has been told to end.
        counts: Whether it counts among the connections of its port.
    """

    number: int
    port: str
    opened_at: float
    phase: Phase = Phase.IDLE
    held_bytes: int = 0
    reserved_bytes: int = 0
    missing_bytes: int = 0
    waits_since: float | None = None
    moved_at: float = 0.0
    timeout_s: float = math.inf
    is_ended: bool = False
    counts: bool = True
    _still_s: float = 0.0
    _still_at: float = 0.0

    def enter(self, phase: Phase, now: float) -> None:
        """Records that a phase begins."""
        self.phase = phase
        self.moved_at = self._still_at = now
        self._still_s = 0.0

    def record_input(self, size: int, now: float) -> None:
        """Records bytes that arrived."""
        self.moved_at = now
        still_s = self.find_still_s(now) - size / MIN_BYTES_PER_S
        self._still_s, self._still_at = max(0.0, still_s), now

    def start_waiting(self, now: float) -> None:
        """Records that its input waits; that is not standing still."""
        self._still_s, self._still_at = self.find_still_s(now), now
        self.waits_since = now

    def end_waiting(self, now: float) -> None:
        """Records that its input is read again."""
        self.waits_since = None
        self.moved_at = self._still_at = now

    def find_still_s(self, now: float) -> float:
        """Returns for how long it has stood still, in seconds.

        A body that comes more slowly than at the least rate stands still for
        the time by which it is late.
        """
        if self.phase is Phase.BUSY:
            return 0.0
        if self.waits_since is not None:
            return self._still_s
        return self._still_s + now - self._still_at
