"""Clocks of a process; reducers get the time as an argument instead."""

from __future__ import annotations

import time


def read_monotonic() -> float:
    """Returns monotonic time, in seconds."""
    return time.monotonic()


def read_wall() -> float:
    """Returns wall-clock time, in Unix seconds; it may jump."""
    return time.time()


def read_boottime() -> float:
    """Returns monotonic time that includes suspension, in seconds.

    A VM may be suspended for seconds. With a clock that stops during that
    time, a lease or a leadership would last longer on this node than the other
    nodes assume.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
