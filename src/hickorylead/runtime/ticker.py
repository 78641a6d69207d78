"""A loop that gives a reducer the time, and survives its own delays."""

from __future__ import annotations

import asyncio
import traceback
from typing import TYPE_CHECKING

from hickorylead import notes

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorylead.telemetry import decisions


async def tick_forever(
    period_s: float | Callable[[], float],
    tick: Callable[[], None],
    log: decisions.DecisionLog,
) -> None:
    """Calls a function again and again.

    A process whose clock has stopped still answers, but renews nothing and
    times nothing out. So an error is told, and the next tick comes.

    Args:
        period_s: Pause between two calls, in seconds, or what returns it.
        tick: The function.
        log: Where errors are told.
    """
    while True:
        try:
            tick()
        except Exception as error:  # noqa: BLE001 - told, with its place
            log.write(
                notes.note(
                    "tick_failed",
                    level="error",
                    why=repr(error),
                    place=traceback.format_exc(limit=-3),
                )
            )
        await asyncio.sleep(period_s() if callable(period_s) else period_s)
