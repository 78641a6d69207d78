"""The clocks of a real process; reducers are only given what these say."""

from __future__ import annotations

import time


def read_monotonic() -> float:
    """Returns seconds that never go back."""
    return time.monotonic()


def read_wall() -> float:
    """Returns Unix seconds; they may jump."""
    return time.time()
