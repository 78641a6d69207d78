"""Loop that ticks a reducer, despite errors and delays."""

from __future__ import annotations

import asyncio
import traceback
from typing import TYPE_CHECKING

from hickorylead import notes

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorylead.telemetry import decisions


# A tick that is later than this many seconds is logged: a third of the shortest
# objective. The process was busy at that time, or got no processor time.
LATE_TICK_S = 0.1


async def tick_forever(
    period_s: float | Callable[[], float],
    tick: Callable[[], None],
    log: decisions.DecisionLog,
) -> None:
    """Calls a function periodically.

    A process without ticks still responds, but renews nothing and detects no
    timeouts. An error is therefore logged, and the next tick follows.

    Args:
        period_s: Delay between two calls, in seconds, or a function that
            returns it.
        tick: The function.
        log: Log for errors and late ticks.
    """
    loop = asyncio.get_running_loop()
    while True:
        try:
            tick()
        except Exception as error:  # noqa: BLE001 - logged, with its place
            log.write(
                notes.note(
                    "tick_failed",
                    level="error",
                    why=repr(error),
                    place=traceback.format_exc(limit=-3),
                )
            )
        delay_s = period_s() if callable(period_s) else period_s
        started_at = loop.time()
        await asyncio.sleep(delay_s)
        late_s = loop.time() - started_at - delay_s
        if late_s > LATE_TICK_S:
            log.write(
                notes.note(
                    "loop_late", level="warning", late_s=round(late_s, 3)
                )
            )
