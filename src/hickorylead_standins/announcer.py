"""Announces stand-ins to an entry, and to the next entry if that fails."""

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
    make_announcement: Callable[[], dict[str, Any]],
    session: aiohttp.ClientSession,
) -> None:
    """Announces a server periodically until cancelled.

    Args:
        vm: Name of the server, which determines its entry.
        entries: URLs of the entries of its zone.
        make_announcement: Returns the announcement as a JSON object.
        session: HTTP client.
    """
    ranked = rendezvous.rank_names(vm, entries)
    index = 0
    while True:
        url = f"{ranked[index]}/backend/announcements"
        try:
            async with session.post(
                url,
                data=orjson.dumps(make_announcement()),
                timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
            ) as response:
                is_accepted = response.status == 204
        except (aiohttp.ClientError, OSError, TimeoutError):
            is_accepted = False
        if is_accepted:
            await asyncio.sleep(PERIOD_S)
        else:
            index = (index + 1) % len(ranked)
            await asyncio.sleep(PERIOD_S / 10)
