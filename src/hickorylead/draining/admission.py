"""Decides which requests a process that is stopping can still finish."""

from __future__ import annotations

import collections
import math

# Number of durations kept for each kind of request.
DURATION_COUNT = 64
# How much longer than the longest of them the next request may take.
HEADROOM = 1.5


class StopAdmission:
    """How long requests take, by kind, and until when they have to end."""

    def __init__(self) -> None:
        """Makes the admission of a process that is not stopping."""
        self._durations: dict[str, collections.deque[float]] = (
            collections.defaultdict(
                lambda: collections.deque(maxlen=DURATION_COUNT)
            )
        )
        self._ends_at = math.inf

    @property
    def is_stopping(self) -> bool:
        """Whether the process is stopping."""
        return self._ends_at < math.inf

    def stop(self, ends_at: float) -> None:
        """Records when the requests that are left will be ended."""
        self._ends_at = ends_at

    def record(self, kind: str, duration_s: float) -> None:
        """Records how long a request of a kind took, in seconds."""
        self._durations[kind].append(duration_s)

    def may_finish(self, kind: str, limit_s: float, now: float) -> bool:
        """Returns whether a request that starts now can end in time.

        Args:
            kind: Its kind.
            limit_s: Time that its caller and its route allow, in seconds.
            now: Present time.
        """
        if not self.is_stopping:
            return True
        seen = self._durations.get(kind)
        needed_s = HEADROOM * max(seen) if seen else math.inf
        return min(limit_s, needed_s) <= self._ends_at - now
