"""Limits a gateway's new connections while it has more to do than others.

A connection that is closed before its request is read costs its caller little:
the next one goes to another gateway. That helps only while others have less to
do; if all gateways are late, each serves what it can.
"""

from __future__ import annotations

import collections

# Lateness of the event loop, as a moving average in seconds, from which new
# connections are limited, and below which the limit rises. Shortest objectives
# are 0.1 s.
LATE_S = 0.04
RECOVERED_S = 0.015
# Weight of the newest value in that average.
SMOOTHING = 0.3
# Number of successive late ticks from which connections are limited: a single
# one may be a pause of the process.
MIN_LATE_TICKS = 3
# Requests in progress from which a gateway has more to do than the others, as a
# multiple of the mean of its zone's gateways, and at least.
MIN_SKEW = 1.5
MIN_REQUESTS = 8
# Reports of the mean are this old, in seconds. A gateway's own requests must
# have exceeded it for as long, since all may be growing.
REPORT_AGE_S = 1.0
# The limit, in connections a second, at least; what it rises by with each tick
# that is not late; and its factor with each tick that is.
MIN_RATE = 5.0
RATE_STEP = 2.0
RATE_FACTOR = 0.8
# Connections that may be accepted at the same moment under a limit.
BURST = 3.0


class OverloadMonitor:
    """Lateness of one gateway, and the limit of its new connections."""

    def __init__(self) -> None:
        """Makes a monitor without a limit."""
        self._lateness_s = 0.0
        self._late_ticks = 0
        # Requests in progress at the mean gateway of the zone; None if unknown,
        # or if the zone has no other gateway.
        self._mean_requests: float | None = None
        self._own_requests: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._accepted: collections.deque[float] = collections.deque(
            maxlen=1024
        )
        # Connections a second; None for no limit.
        self._rate: float | None = None
        self._tokens = 0.0
        self._refilled_at = 0.0
        self.closed_count = 0

    @property
    def is_limited(self) -> bool:
        """Whether new connections are limited."""
        return self._rate is not None

    def accept_connection(self, now: float) -> bool:
        """Returns whether to serve a new connection, or to close it unread."""
        if self._rate is not None:
            self._tokens = min(
                BURST,
                self._tokens + (now - self._refilled_at) * self._rate,
            )
            self._refilled_at = now
            if self._tokens < 1.0:
                self.closed_count += 1
                return False
            self._tokens -= 1.0
        self._accepted.append(now)
        return True

    def record_loads(self, requests: int, gateways: int) -> None:
        """Records the requests in progress at some gateways of the zone.

        Args:
            requests: Requests in progress.
            gateways: Number of these gateways, including this one.
        """
        self._mean_requests = requests / gateways if gateways > 1 else None

    def record_tick(self, late_s: float, own_requests: int, now: float) -> bool:
        """Records how late a tick was; returns whether a limit began or ended.

        Args:
            late_s: Lateness of the event loop, in seconds.
            own_requests: Requests in progress at this gateway.
            now: Present time.
        """
        late_s = max(0.0, late_s)
        self._lateness_s += SMOOTHING * (late_s - self._lateness_s)
        self._late_ticks = self._late_ticks + 1 if late_s > RECOVERED_S else 0
        self._own_requests.append((now, own_requests))
        while now - self._own_requests[0][0] > REPORT_AGE_S:
            self._own_requests.popleft()
        if self._rate is not None:
            return self._adapt_limit()
        if (
            self._lateness_s > LATE_S
            and self._late_ticks >= MIN_LATE_TICKS
            and self._has_most()
        ):
            recent = sum(now - at <= 1.0 for at in self._accepted)
            self._rate = max(MIN_RATE, recent / 2)
            self._tokens = 0.0
            self._refilled_at = now
            return True
        return False

    def _adapt_limit(self) -> bool:
        assert self._rate is not None
        if not self._has_most():
            self._rate = None
            return True
        if self._lateness_s > LATE_S:
            self._rate = max(MIN_RATE, self._rate * RATE_FACTOR)
        elif self._lateness_s < RECOVERED_S:
            self._rate += RATE_STEP
        return False

    def _has_most(self) -> bool:
        if self._mean_requests is None:
            return False
        own_requests = min(count for _, count in self._own_requests)
        return (
            own_requests >= MIN_REQUESTS
            and own_requests >= MIN_SKEW * self._mean_requests
        )
