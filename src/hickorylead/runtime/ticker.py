"""A loop that gives a reducer the time, and survives its own delays."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


async def tick_forever(period_s: float, tick: Callable[[], None]) -> None:
    """Calls a function again and again.

    Args:
        period_s: Pause between two calls, in seconds.
        tick: The function.
    """
    while True:
        tick()
        await asyncio.sleep(period_s)
