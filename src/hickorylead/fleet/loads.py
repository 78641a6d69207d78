"""Loads from the weight store: all planners together stay within its limit."""

from __future__ import annotations

import collections

# The store counts loads over this long, in seconds.
WINDOW_S = 5.0


class LoadBudget:
    """Loads that one planner has started lately.

    Each takes an equal part of what the store allows, whether or not it hears
    the others, so that planners which are cut off stay within it together.
    """

    def __init__(self) -> None:
        """Makes a budget of which nothing is spent."""
        self._started: collections.deque[float] = collections.deque()
        self.room = 0

    def open(self, loads_per_s: float, planners: int, now: float) -> None:
        """Begins a round.

        Args:
            loads_per_s: Loads that may start in a second, over all VMs.
            planners: Control nodes that share the store, heard or not.
            now: Present time.
        """
        while self._started and now - self._started[0] > WINDOW_S:
            self._started.popleft()
        allowed = max(1, int(loads_per_s * WINDOW_S / max(1, planners)))
        self.room = allowed - len(self._started)

    def lift(self) -> None:
        """Begins a round in which loads are free: nothing was served yet."""
        self.room = 1_000_000

    def spend(self, now: float) -> None:
        """Counts a load."""
        self._started.append(now)
        self.room -= 1
