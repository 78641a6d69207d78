"""Timeouts that do not count a pause of the process itself."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from hickorylead.turns import own_pauses

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

# Number of checks within a limit in an event loop that is on time.
CHECKS = 10
# Number of checks after which a limit ends however late each of them is, beside
# the last one.
MAX_LATE_CHECKS = 5
# Rounding error of a sum of times, in seconds.
ROUNDING_S = 1e-6


@contextlib.asynccontextmanager
async def limit_time(seconds: float) -> AsyncIterator[None]:
    """Limits the time that the other end of a connection may take.

    Only the time in which the event loop ran counts: of the time between two
    checks, a fifth of the limit at most. A limit that is reached in a late
    check is checked once more, as what arrived meanwhile may take several turns
    of the loop to be handled. So a wait for a silent peer ends at the limit in
    a loop that is on time. In a loop that is always late it ends with the sixth
    check, within 14 turns of the loop: two for each check and two for the end.

    Args:
        seconds: The limit.

    Raises:
        TimeoutError: The limit has passed.
    """
    loop = asyncio.get_running_loop()
    period_s = seconds / CHECKS
    began = loop.time()
    pauses = own_pauses.OwnPauses(began, seconds / MAX_LATE_CHECKS)
    due = began + period_s
    is_last = False
    timer: asyncio.TimerHandle

    def check() -> None:
        nonlocal due, is_last, timer
        now = loop.time()
        pauses.record_listening(now)
        left_s = seconds - pauses.measure_silence(began, now)
        if left_s <= ROUNDING_S:
            if is_last or now - due <= period_s:
                scope.reschedule(now)
                return
            is_last = True
            left_s = period_s
        due = now + min(left_s, period_s)
        timer = loop.call_at(due, check)

    async with asyncio.timeout(None) as scope:
        timer = loop.call_at(due, check)
        try:
            yield
        finally:
            timer.cancel()
