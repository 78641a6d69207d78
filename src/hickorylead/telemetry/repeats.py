"""The fullest window of repeated requests, against what is allowed."""

from __future__ import annotations

import bisect
import itertools
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hickorylead.admission import budget

# Length of the windows in which operators limit repeats, in seconds.
WINDOW_S = 10.0


@attrs.frozen
class FullestWindow:
    """The window in which a service came closest to its limit of repeats.

    Attributes:
        started_at: When it started.
        repeats: Times at which a request reached a server again, in it.
        requests: Requests that the limit is computed from.
        allowed: Repeats that the limit allows.
    """

    started_at: float = 0.0
    repeats: int = 0
    requests: int = 0
    allowed: float = 0.0

    @property
    def used_share(self) -> float:
        """Repeats as a share of what is allowed."""
        return self.repeats / self.allowed if self.allowed else 0.0


def find_fullest_window(
    requested_at: Iterable[float],
    repeated_at: Iterable[float],
    limits: budget.RetryLimits,
) -> FullestWindow:
    """Returns the window with the most repeats relative to what is allowed.

    A window allows a share of the requests of callers in it, in the window
    before it, or in the one that starts half a window earlier, whichever has
    the most.

    Args:
        requested_at: When callers sent requests for a service, in seconds.
        repeated_at: When requests reached servers of the service again, in
            seconds.
        limits: The operators' limits.
    """
    requests, repeats = sorted(requested_at), sorted(repeated_at)
    # The number of repeats only grows when a window ends at a repeat, and the
    # number of requests only changes when one of its edges passes a request.
    ends = set(repeats)
    for at, half in itertools.product(requests, range(4)):
        ends.add(at + half * WINDOW_S / 2)
    windows = (
        _make_window(end - WINDOW_S, requests, repeats, limits)
        for end in sorted(ends)
    )
    return max(windows, key=lambda w: w.used_share, default=FullestWindow())


def _make_window(
    started_at: float,
    requests: list[float],
    repeats: list[float],
    limits: budget.RetryLimits,
) -> FullestWindow:
    most = max(
        _count(requests, started_at - earlier_s)
        for earlier_s in (0.0, WINDOW_S / 2, WINDOW_S)
    )
    return FullestWindow(
        started_at,
        _count(repeats, started_at),
        most,
        limits.ratio * most + limits.burst,
    )


def _count(times: list[float], started_at: float) -> int:
    """Returns how many times are in the window that starts after one."""
    return bisect.bisect_right(
        times, started_at + WINDOW_S
    ) - bisect.bisect_right(times, started_at)
