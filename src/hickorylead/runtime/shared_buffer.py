"""Reads of all connections into one buffer.

The event loop would allocate 256 KiB for each read otherwise, and return most
of it to the operating system.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

READ_BYTES = 64 * 1024

_buffer = memoryview(bytearray(READ_BYTES))


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """A protocol whose input is copied from the buffer of all connections."""

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read."""
        del sizehint
        return _buffer[: self.get_read_bytes()]

    def get_read_bytes(self) -> int:
        """Returns the size of the next read, `READ_BYTES` at most."""
        return READ_BYTES

    def buffer_updated(self, nbytes: int) -> None:
        """Handles bytes that were read into the buffer."""
        self.data_received(bytes(_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handles bytes of the connection."""
        raise NotImplementedError


class _StreamProtocol(asyncio.StreamReaderProtocol, SharedBufferProtocol):
    """The protocol of a stream, which reads into the shared buffer."""


async def open_connection(
    ip: str, port: int, *, local_addr: tuple[str, int] | None
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Opens a connection like `asyncio.open_connection`."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(loop=loop)
    protocol = _StreamProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(
        lambda: protocol, ip, port, local_addr=local_addr
    )
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


async def start_server(
    serve: Callable[
        [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
    ],
    ip: str,
    port: int,
    *,
    limit: int,
) -> asyncio.Server:
    """Opens a port like `asyncio.start_server`.

    Args:
        serve: Serves a connection.
        ip: IP address.
        port: TCP port.
        limit: Size of what a reader holds, in bytes, from which reading pauses
            at twice of it.
    """
    loop = asyncio.get_running_loop()

    def make() -> _StreamProtocol:
        reader = asyncio.StreamReader(limit=limit, loop=loop)
        return _StreamProtocol(reader, serve, loop=loop)

    return await loop.create_server(make, ip, port)
