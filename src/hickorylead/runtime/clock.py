"""The clocks of a real process; reducers are only given what these say."""

from __future__ import annotations

import time


def read_monotonic() -> float:
    """Returns seconds that never go back."""
    return time.monotonic()


def read_wall() -> float:
    """Returns Unix seconds; they may jump."""
    return time.time()


def read_boottime() -> float:
    """Returns seconds that never go back and count suspension.

    A VM may be suspended for seconds. A clock that stands still meanwhile
    would let a lease, or a lead, last longer than the others believe.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
