"""A loop that gives a reducer the time, and survives its own delays."""

from __future__ import annotations

import asyncio
import traceback
from typing import TYPE_CHECKING

from hickorylead import notes

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorylead.telemetry import decisions


# A tick that comes this much too late is told, in seconds: a third of the
# shortest objective. The process was busy, or got no processor.
LATE_S = 0.1


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
    loop = asyncio.get_running_loop()
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
        pause_s = period_s() if callable(period_s) else period_s
        began = loop.time()
        await asyncio.sleep(pause_s)
        late_s = loop.time() - began - pause_s
        if late_s > LATE_S:
            log.write(
                notes.note(
                    "loop_late", level="warning", late_s=round(late_s, 3)
                )
            )
