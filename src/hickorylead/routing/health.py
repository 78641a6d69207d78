"""Replica health, as observed from the requests of one entry."""

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
# Half-life of a measured slowness, in seconds. A replica gets no requests while
# it is rated slow, so no new measurement could show that it has recovered. As
# the old measurement decays, the replica gets requests again, and these provide
# a new measurement.
SLOWNESS_HALF_LIFE_S = 10.0


@attrs.define
class Health:
    """Health of one replica, as observed by this entry.

    Attributes:
        inflight: Requests of this entry in flight on the replica.
        gap_s: Smoothed time per token between frames; 0 before the first
            measurement.
        gap_measured_at: When `gap_s` was last updated.
        failures: Consecutive failures.
        ejected_until: No new requests before this time, because of
            failures.
        paused_until: No new requests before this time, because the server
            asked for a pause.
        send_times: Send times of the requests sent since the last load
            report.
        end_times: End times of the requests ended since the last load
            report.
    """

    inflight: int = 0
    gap_s: float = 0.0
    gap_measured_at: float = -1e9
    failures: int = 0
    ejected_until: float = -1e9
    paused_until: float = -1e9
    send_times: list[float] = attrs.field(factory=list)
    end_times: list[float] = attrs.field(factory=list)


class HealthTracker:
    """Health of all replicas, by group."""

    def __init__(self) -> None:
        """Makes a tracker without groups."""
        self._by_group: dict[str, Health] = {}
        self._median_gap_s = 0.0

    def get(self, group: str) -> Health:
        """Returns the health of a group; an unknown group is healthy."""
        health = self._by_group.get(group)
        if health is None:
            health = self._by_group[group] = Health()
        return health

    def record_start(self, group: str, now: float) -> None:
        """Records that a request was sent to a group."""
        health = self.get(group)
        health.inflight += 1
        health.send_times.append(now)

    def record_end(self, group: str, now: float) -> None:
        """Records that a request to a group ended, successfully or not."""
        health = self.get(group)
        health.inflight = max(0, health.inflight - 1)
        health.end_times.append(now)

    def record_frame_gap(self, group: str, gap_s: float, now: float) -> None:
        """Records the time per token between two frames of one stream."""
        health = self.get(group)
        health.gap_measured_at = now
        if health.gap_s == 0.0:
            health.gap_s = gap_s
        else:
            health.gap_s += SMOOTHING * (gap_s - health.gap_s)
        health.failures = 0

    def record_failure(self, group: str, now: float) -> None:
        """Records a failure and ejects the group, for longer each time."""
        health = self.get(group)
        health.failures += 1
        eject_s = min(EJECT_MAX_S, EJECT_MIN_S * 2 ** (health.failures - 1))
        health.ejected_until = now + eject_s

    def record_pause(self, group: str, pause_s: float, now: float) -> None:
        """Records that a server asked for no new requests for some time."""
        health = self.get(group)
        health.paused_until = max(health.paused_until, now + pause_s)

    def refresh(self, groups: Iterable[str]) -> None:
        """Removes groups that no longer exist; updates the median gap."""
        known = set(groups)
        for group in list(self._by_group):
            if group not in known and not self._by_group[group].inflight:
                del self._by_group[group]
        gaps = [h.gap_s for h in self._by_group.values() if h.gap_s > 0]
        self._median_gap_s = statistics.median(gaps) if gaps else 0.0

    def get_slowness(self, group: str, now: float) -> float:
        """Returns how many times slower than the median a group is; >= 1."""
        health = self.get(group)
        if not self._median_gap_s or not health.gap_s:
            return 1.0
        ratio = health.gap_s / self._median_gap_s
        excess = min(MAX_SLOWNESS, max(1.0, ratio)) - 1.0
        if not excess:
            return 1.0
        age_s = now - health.gap_measured_at
        return 1.0 + excess * 0.5 ** (age_s / SLOWNESS_HALF_LIFE_S)

    def estimate_load(
        self, group: str, reported: int, reported_at: float
    ) -> int:
        """Returns the load of a group, corrected for the report's lag.

        A report does not include the requests that this entry sent or ended
        after it was made. Requests sent or ended earlier are included in the
        report, so their times are pruned.
        """
        health = self.get(group)
        health.send_times = [at for at in health.send_times if at > reported_at]
        health.end_times = [at for at in health.end_times if at > reported_at]
        corrected = reported + len(health.send_times) - len(health.end_times)
        return max(health.inflight, corrected)
