"""How stand-ins announce themselves: to one entry, the next if it is silent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp
import orjson

from hickorylead import rendezvous

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

PERIOD_S = 1.0
TIMEOUT_S = 0.8


async def announce_forever(
    vm: str,
    entries: Sequence[str],
    make: Callable[[], dict[str, Any]],
    session: aiohttp.ClientSession,
) -> None:
    """Announces a server once a period until cancelled.

    Args:
        vm: Name of the server, which chooses its entry.
        entries: URLs of the entries of its zone.
        make: Returns the announcement as a JSON object.
        session: HTTP client.
    """
    ranked = rendezvous.rank_names(vm, entries)
    place = 0
    while True:
        url = f"{ranked[place]}/backend/announcements"
        try:
            async with session.post(
                url,
                data=orjson.dumps(make()),
                timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
            ) as response:
                heard = response.status == 204
        except (aiohttp.ClientError, OSError, TimeoutError):
            heard = False
        if heard:
            await asyncio.sleep(PERIOD_S)
        else:
            place = (place + 1) % len(ranked)
            await asyncio.sleep(PERIOD_S / 10)
