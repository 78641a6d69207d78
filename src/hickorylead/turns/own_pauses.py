"""Pauses of the process itself, which are no silence of others.

A process that was stopped, or whose turns came late, has not read what others
sent meanwhile. Whoever judges a silence takes these times off it: of the time
between two moments at which all that had arrived was handled, a short part
counts, however long it was.
"""

from __future__ import annotations

import bisect
import math

# Time between two moments of listening that counts as such, in seconds: two of
# the longest ticks of a role.
MAX_GAP_S = 0.2
# Time for which pauses are kept, in seconds. All silences that are judged are
# shorter.
RETENTION_S = 120.0


class OwnPauses:
    """Times at which this process did not listen to others."""

    def __init__(self, now: float, max_gap_s: float = MAX_GAP_S) -> None:
        """Starts to listen.

        Args:
            now: Present time, in seconds.
            max_gap_s: Time between two moments of listening that counts as
                such, in seconds.
        """
        self._max_gap_s = max_gap_s
        self._listened_at = now
        self._total_s = 0.0
        # End of each pause, and the sum of all pauses up to it.
        self._ends: list[float] = [-math.inf]
        self._totals: list[float] = [0.0]

    def record_listening(self, now: float) -> float:
        """Records that all that had arrived was handled.

        Args:
            now: Present time, in seconds.

        Returns:
            The pause that has ended, in seconds; 0 if there was none.
        """
        pause_s = max(0.0, now - self._listened_at - self._max_gap_s)
        self._listened_at = max(now, self._listened_at)
        if pause_s:
            self._total_s += pause_s
            self._ends.append(now)
            self._totals.append(self._total_s)
            self._forget(now - RETENTION_S)
        return pause_s

    def measure_silence(self, since: float, now: float) -> float:
        """Returns for how long another process was silent while this listened.

        Args:
            since: When it was last heard of, in seconds.
            now: Present time, in seconds.
        """
        if since == -math.inf:
            return math.inf
        present_since = max(self._listened_at + self._max_gap_s, since)
        paused_s = max(0.0, now - present_since)
        place = bisect.bisect_right(self._ends, since)
        if place < len(self._ends):
            # The first pause that ended later may have begun before.
            first_s = self._totals[place] - self._totals[max(0, place - 1)]
            paused_s += min(first_s, self._ends[place] - since)
            paused_s += self._total_s - self._totals[place]
        return max(0.0, now - since - paused_s)

    def _forget(self, until: float) -> None:
        kept = max(0, bisect.bisect_right(self._ends, until) - 1)
        del self._ends[:kept], self._totals[:kept]
