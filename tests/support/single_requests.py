"""One request as large as is allowed, sent in various ways."""

from __future__ import annotations

import asyncio
import itertools
import re

from soak import callers

from support import crowds

LIMIT_S = 60.0


async def send(
    place: crowds.Place, address: tuple[str, int], size: int, how: str
) -> int:
    """Sends a request with a body; returns the status of its response.

    Args:
        place: Where it is sent.
        address: IP address and port.
        size: Size of the body, in bytes.
        how: In pieces or chunks of a size, and behind what.
    """
    found = re.search(r"of (\d+) byte", how)
    piece_size = int(found[1]) if found else size
    is_chunked = "chunks" in how
    framing = [
        "Transfer-Encoding: chunked"
        if is_chunked
        else f"Content-Length: {size}"
    ]
    if how == "after 100 Continue":
        framing.append("Expect: 100-continue")
    head = place.make_head(*framing)
    async with asyncio.timeout(LIMIT_S):
        reader, writer = await asyncio.open_connection(*address)
        if how == "behind another request":
            writer.write(place.make_head("Content-Length: 0"))
        writer.write(head)
        if how == "after 100 Continue":
            interim = await reader.readuntil(b"\r\n\r\n")
            assert interim.startswith(b"HTTP/1.1 100 "), interim
        piece = bytes(piece_size)
        if is_chunked:
            piece = b"%x\r\n%b\r\n" % (piece_size, piece)
        for part in itertools.repeat(piece, size // piece_size):
            writer.write(part)
            await writer.drain()
            if piece_size == 1:
                await asyncio.sleep(0)
        writer.write(b"0\r\n\r\n" if is_chunked else bytes(size % piece_size))
        if how == "behind another request":
            await _receive(reader)
        status = await _receive(reader)
        writer.close()
        return status


async def _receive(reader: asyncio.StreamReader) -> int:
    """Returns the status of one response, which has a length."""
    response = callers._Response()
    response.parser.feed_data(await reader.readuntil(b"\r\n\r\n"))
    await reader.readexactly(int(response.headers["content-length"]))
    return response.status
