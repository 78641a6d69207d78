"""Common tasks of long-running processes: stop signals, trace export."""

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
    """Returns when the process receives SIGTERM or SIGINT, or `stop` is set.

    Args:
        stop: Set by the process itself when it must end.
    """
    stop = stop or asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()


async def export_traces(tracer: traces.Tracer, endpoint: str) -> None:
    """Sends completed spans to the trace endpoint periodically."""
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
        # Callers do not depend on traces: a batch that cannot be sent is
        # dropped.
        pass
