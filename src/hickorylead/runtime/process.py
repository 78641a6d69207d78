"""What every long-running process does: wait for a stop, export traces."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from hickorylead.telemetry import traces

EXPORT_PERIOD_S = 2.0
EXPORT_TIMEOUT_S = 5.0


async def wait_for_stop(stop: asyncio.Event | None = None) -> None:
    """Returns when the process is asked to stop by SIGTERM or SIGINT.

    Args:
        stop: Set by the process itself when it has to end.
    """
    stop = stop or asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()


def end_with(task: asyncio.Task[None], stop: asyncio.Event) -> None:
    """Stops the process when a task that must go on has failed.

    A process whose clock has stopped still answers, renews nothing and times
    out nothing: worse than one that is gone, which others notice.
    """

    def check(ended: asyncio.Task[None]) -> None:
        if not ended.cancelled() and ended.exception() is not None:
            stop.set()

    task.add_done_callback(check)


async def export_traces(tracer: traces.Tracer, endpoint: str) -> None:
    """Sends ended spans to the trace endpoint from time to time."""
    if not endpoint:
        return
    timeout = aiohttp.ClientTimeout(total=EXPORT_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            await asyncio.sleep(EXPORT_PERIOD_S)
            batch = tracer.drain_batch()
            if batch:
                await _post_batch(session, endpoint, batch)


async def _post_batch(
    session: aiohttp.ClientSession, endpoint: str, batch: bytes
) -> None:
    headers = {"Content-Type": "application/x-protobuf"}
    try:
        async with session.post(endpoint, data=batch, headers=headers):
            pass
    except (aiohttp.ClientError, OSError, TimeoutError):
        # Traces are of no use to callers: what cannot be sent is dropped.
        pass
