"""The work that waits in a process, by urgency."""

from __future__ import annotations

import collections
import enum
from typing import Generic, TypeVar

# Work that is not urgent gives way after this many seconds and pieces. What has
# arrived meanwhile is then read, and urgent work goes first. Reading takes as
# long as some pieces of work, so that a process with little processor time
# would do little else after each piece.
MAX_TURN_S = 0.01
MIN_TURN_PIECES = 4
# Longest time for which background work waits behind ordinary work, in seconds.
MAX_BACKGROUND_WAIT_S = 0.5

Work = TypeVar("Work")


class Lane(enum.IntEnum):
    """Urgency of work; lower values go first.

    Attributes:
        URGENT: Votes, the log, reads and liveness of other coordinators.
        ORDINARY: Reports, tables and news, in the order of arrival.
        BACKGROUND: What can be put off, such as planning.
    """

    URGENT = 0
    ORDINARY = 1
    BACKGROUND = 2


class WorkQueue(Generic[Work]):
    """Work by lane, with the time since which it waits."""

    def __init__(self) -> None:
        """Makes an empty queue."""
        self._lanes: dict[Lane, collections.deque[tuple[float, Work]]] = {
            lane: collections.deque() for lane in Lane
        }
        self._turn_ends_at = 0.0
        self._pieces = 0

    def __len__(self) -> int:
        """Returns the number of pieces of work."""
        return sum(len(waiting) for waiting in self._lanes.values())

    def count(self, lane: Lane) -> int:
        """Returns the number of pieces of work in a lane."""
        return len(self._lanes[lane])

    def add(self, lane: Lane, work: Work, now: float) -> None:
        """Adds work at the end of a lane."""
        self._lanes[lane].append((now, work))

    def begin_turn(self, now: float) -> None:
        """Begins a turn, after what had arrived was read."""
        self._turn_ends_at = now + MAX_TURN_S
        self._pieces = 0

    def take(self, now: float) -> tuple[Lane, float, Work] | None:
        """Removes the next work; None once other arrivals must be read first.

        Each turn does some work that is not urgent.

        Args:
            now: Present time.

        Returns:
            The lane, how long the work waited in seconds, and the work.
        """
        lane = self._choose_lane(now)
        if lane is None:
            return None
        if lane != Lane.URGENT:
            if now >= self._turn_ends_at and self._pieces >= MIN_TURN_PIECES:
                return None
            self._pieces += 1
        since, work = self._lanes[lane].popleft()
        return lane, now - since, work

    def _choose_lane(self, now: float) -> Lane | None:
        if self._lanes[Lane.URGENT]:
            return Lane.URGENT
        background = self._lanes[Lane.BACKGROUND]
        if background and now - background[0][0] > MAX_BACKGROUND_WAIT_S:
            return Lane.BACKGROUND
        if self._lanes[Lane.ORDINARY]:
            return Lane.ORDINARY
        return Lane.BACKGROUND if background else None
