"""What one entry has seen of each replica by its own requests."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

EJECT_MIN_S = 1.0
EJECT_MAX_S = 30.0
SMOOTHING = 0.2
MAX_SLOWNESS = 8.0
# What was measured counts half after this time. A straggler gets no work
# while it seems slow, so nothing would ever show that it has recovered; as
# the old measure fades it is tried again, and a new one renews it.
SLOWNESS_HALF_LIFE_S = 10.0


@attrs.define
class Health:
    """One replica as this entry sees it.

    Attributes:
        inflight: Requests of this entry that run there.
        gap_s: Smoothed time between two frames; 0 before the first.
        gap_at: When it was last measured.
        failures: Failures in a row.
        ejected_until: No new work before this time, after failures.
        paused_until: No new work before this time, as the server asked for.
        send_times: When each request since the last load report was sent.
        end_times: When each request since the last load report ended.
    """

    inflight: int = 0
    gap_s: float = 0.0
    gap_at: float = -1e9
    failures: int = 0
    ejected_until: float = -1e9
    paused_until: float = -1e9
    send_times: list[float] = attrs.field(factory=list)
    end_times: list[float] = attrs.field(factory=list)


class HealthTracker:
    """Health of all replicas, by group."""

    def __init__(self) -> None:
        """Makes an empty book."""
        self._by_group: dict[str, Health] = {}
        self._median_gap_s = 0.0

    def get(self, group: str) -> Health:
        """Returns the health of a group; a new one is well."""
        health = self._by_group.get(group)
        if health is None:
            health = self._by_group[group] = Health()
        return health

    def record_start(self, group: str, now: float) -> None:
        """Counts a request sent to a group."""
        health = self.get(group)
        health.inflight += 1
        health.send_times.append(now)

    def record_end(self, group: str, now: float) -> None:
        """Counts a request that ended there, well or not."""
        health = self.get(group)
        health.inflight = max(0, health.inflight - 1)
        health.end_times.append(now)

    def note_gap(self, group: str, gap_s: float, now: float) -> None:
        """Takes the time between two frames of one stream."""
        health = self.get(group)
        health.gap_at = now
        if health.gap_s == 0.0:
            health.gap_s = gap_s
        else:
            health.gap_s += SMOOTHING * (gap_s - health.gap_s)
        health.failures = 0

    def record_failure(self, group: str, now: float) -> None:
        """Takes a failure: no new work for a while, longer each time."""
        health = self.get(group)
        health.failures += 1
        pause_s = min(EJECT_MAX_S, EJECT_MIN_S * 2 ** (health.failures - 1))
        health.ejected_until = now + pause_s

    def note_pause(self, group: str, pause_s: float, now: float) -> None:
        """Takes that a server wants no work from here for some time."""
        health = self.get(group)
        health.paused_until = max(health.paused_until, now + pause_s)

    def refresh(self, groups: Iterable[str]) -> None:
        """Drops groups that are gone, and finds the usual frame gap."""
        known = set(groups)
        for group in list(self._by_group):
            if group not in known and not self._by_group[group].inflight:
                del self._by_group[group]
        gaps = [h.gap_s for h in self._by_group.values() if h.gap_s > 0]
        self._median_gap_s = statistics.median(gaps) if gaps else 0.0

    def get_slowness(self, group: str, now: float) -> float:
        """Returns how many times slower than usual a group is, at least 1."""
        health = self.get(group)
        if not self._median_gap_s or not health.gap_s:
            return 1.0
        ratio = health.gap_s / self._median_gap_s
        excess = min(MAX_SLOWNESS, max(1.0, ratio)) - 1.0
        if not excess:
            return 1.0
        age_s = now - health.gap_at
        return 1.0 + excess * 0.5 ** (age_s / SLOWNESS_HALF_LIFE_S)

    def estimate_load(
        self, group: str, reported: int, reported_at: float
    ) -> int:
        """Returns the load of a group, corrected for the report's lag.

        A report says nothing of what this entry sent after it was made. What
        is older than the report is in it, and is forgotten here.
        """
        health = self.get(group)
        health.send_times = [at for at in health.send_times if at > reported_at]
        health.end_times = [at for at in health.end_times if at > reported_at]
        corrected = reported + len(health.send_times) - len(health.end_times)
        return max(health.inflight, corrected)
