"""Crowds of misbehaving clients: what each of them sends."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
import itertools
import socket

import attrs

MIB = 1024 * 1024
# Limits of the configuration, as operators set them.
MAX_BODY_BYTES = 4 * MIB
MAX_HEAD_BYTES = 16_384
# Size of a body or head far over these limits.
FAR_OVER_BYTES = 64 * MIB
PIECE_BYTES = 4096
CHUNK_BYTES = 32
READ_AHEAD_COUNT = 8000
SLOW_GAP_S = 0.2
# A crowd that sends nothing for so long has sent all that is taken.
QUIET_S = 1.0
LONGEST_S = 60.0
POLL_S = 0.02


@attrs.frozen
class Place:
    """Where requests are sent.

    Attributes:
        path: Their path.
        fields: Their headers, without those of the framing.
    """

    path: str
    fields: tuple[str, ...]

    def make_head(self, *framing: str, method: str = "POST") -> bytes:
        """Returns a complete head."""
        lines = (f"{method} {self.path} HTTP/1.1", *self.fields, *framing)
        return "\r\n".join(lines).encode() + b"\r\n\r\n"


@attrs.frozen
class Shape:
    """What each member of a crowd does.

    Attributes:
        count: Size of the crowd.
        send: Returns what a member sends, piece by piece.
        gap_s: Pause between pieces, in seconds.
        reads_slowly: Whether members read responses, a little at a time.
    """

    count: int
    send: Callable[[Place], Iterator[bytes]]
    gap_s: float = 0.0
    reads_slowly: bool = False


def _send_body(place: Place) -> Iterator[bytes]:
    yield place.make_head(f"Content-Length: {MAX_BODY_BYTES}")
    yield bytes(MAX_BODY_BYTES - 1)


def _send_whole_body(place: Place) -> Iterator[bytes]:
    yield place.make_head(f"Content-Length: {MAX_BODY_BYTES}")
    yield bytes(MAX_BODY_BYTES)


def _send_pieces(place: Place) -> Iterator[bytes]:
    yield place.make_head(f"Content-Length: {MAX_BODY_BYTES}")
    yield from itertools.repeat(
        bytes(PIECE_BYTES), MAX_BODY_BYTES // PIECE_BYTES - 1
    )


def _send_chunks(place: Place) -> Iterator[bytes]:
    yield place.make_head("Transfer-Encoding: chunked")
    chunk = b"%x\r\n%b\r\n" % (CHUNK_BYTES, bytes(CHUNK_BYTES))
    pieces = 64
    count = (MAX_BODY_BYTES // CHUNK_BYTES - 1) // pieces
    yield from itertools.repeat(chunk * count, pieces)


def _send_long_length(place: Place) -> Iterator[bytes]:
    yield place.make_head(f"Content-Length: {FAR_OVER_BYTES}")
    yield from itertools.repeat(bytes(MIB), FAR_OVER_BYTES // MIB)


def _send_long_chunks(place: Place) -> Iterator[bytes]:
    yield place.make_head("Transfer-Encoding: chunked")
    chunk = b"%x\r\n%b\r\n" % (MIB, bytes(MIB))
    yield from itertools.repeat(chunk, FAR_OVER_BYTES // MIB)


def _send_trailer(place: Place) -> Iterator[bytes]:
    yield place.make_head("Transfer-Encoding: chunked")
    yield b"1\r\nx\r\n0\r\nTrailer: "
    yield from itertools.repeat(b"x" * MIB, FAR_OVER_BYTES // MIB)


def _send_value(place: Place) -> Iterator[bytes]:
    yield place.make_head()[:-2] + b"X-Endless: "
    yield from itertools.repeat(b"x" * MIB, FAR_OVER_BYTES // MIB)


def _list_fields(place: Place, framing: str) -> bytes:
    head = place.make_head(framing)[:-2]
    field = b"ab:cd\r\n"
    return head + field * ((MAX_HEAD_BYTES - 512 - len(head)) // len(field))


def _send_fields(place: Place) -> Iterator[bytes]:
    yield _list_fields(place, "Content-Length: 1") + b"\r\n"


def _send_fields_alone(place: Place) -> Iterator[bytes]:
    yield _list_fields(place, "Content-Length: 0") + b"\r\n"


def _send_half_fields(place: Place) -> Iterator[bytes]:
    yield _list_fields(place, "Content-Length: 1")


def _send_ahead(place: Place) -> Iterator[bytes]:
    yield place.make_head("Content-Length: 0") * READ_AHEAD_COUNT


def _send_short_ahead(_: Place) -> Iterator[bytes]:
    yield b"GET /nowhere HTTP/1.1\r\nA: b\r\n\r\n" * 100_000


def _send_nothing(_: Place) -> Iterator[bytes]:
    yield from ()


def _send_slowly(place: Place) -> Iterator[bytes]:
    yield place.make_head(f"Content-Length: {MAX_BODY_BYTES}")
    yield bytes(MIB)
    yield from itertools.repeat(b"x", 20)


def _send_large_request(place: Place) -> Iterator[bytes]:
    large = attrs.evolve(place, path="/calls/large")
    yield large.make_head("Content-Length: 0")


SHAPES = {
    "bodies in one piece, short of their end": Shape(40, _send_body),
    "whole bodies": Shape(40, _send_whole_body),
    "bodies in small pieces, short of their end": Shape(40, _send_pieces),
    "bodies in small chunks, short of their end": Shape(40, _send_chunks),
    "bodies far over the limit, with a length": Shape(40, _send_long_length),
    "bodies far over the limit, in chunks": Shape(40, _send_long_chunks),
    "bodies that come very slowly": Shape(120, _send_slowly, SLOW_GAP_S),
    "trailers without end": Shape(4, _send_trailer),
    "heads with a value without end": Shape(4, _send_value),
    "heads of many fields, without bodies": Shape(300, _send_fields),
    "heads of many fields, short of their end": Shape(300, _send_half_fields),
    "requests of many fields, then nothing": Shape(300, _send_fields_alone),
    "requests sent ahead": Shape(12, _send_ahead),
    "short requests without a route sent ahead": Shape(4, _send_short_ahead),
    "requests sent ahead, read slowly": Shape(
        12, _send_ahead, reads_slowly=True
    ),
    "large responses that nobody reads": Shape(150, _send_large_request),
    "connections that send nothing": Shape(300, _send_nothing),
}


@attrs.define
class Crowd:
    """A crowd that is connected to one address.

    Attributes:
        shape: What its members do.
        place: Where they send requests.
        address: IP address and port.
    """

    shape: Shape
    place: Place
    address: tuple[str, int]
    _sockets: list[socket.socket] = attrs.field(factory=list)
    _tasks: list[asyncio.Task[None]] = attrs.field(factory=list)
    _moved_bytes: int = 0
    _sending_count: int = 0

    async def start(self) -> None:
        """Connects all members, which begin to send."""
        for _ in range(self.shape.count):
            connection = socket.socket()
            connection.setblocking(False)
            self._sockets.append(connection)
            self._sending_count += 1
            self._tasks.append(asyncio.ensure_future(self._run(connection)))

    async def wait_until_quiet(self) -> None:
        """Waits until all has been sent, or nothing more is taken."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + LONGEST_S
        moved_bytes, moved_at = self._moved_bytes, loop.time()
        while loop.time() < deadline and loop.time() < moved_at + QUIET_S:
            await asyncio.sleep(POLL_S)
            if self._moved_bytes != moved_bytes:
                moved_bytes, moved_at = self._moved_bytes, loop.time()

    async def leave(self) -> None:
        """Closes all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for connection in self._sockets:
            connection.close()

    async def _run(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        reading = None
        try:
            await loop.sock_connect(connection, self.address)
            if self.shape.reads_slowly:
                reading = asyncio.ensure_future(self._read_slowly(connection))
            for piece in self.shape.send(self.place):
                await self._send(connection, piece)
                await asyncio.sleep(self.shape.gap_s)
        except OSError:
            # The process has refused the client or closed its connection.
            pass
        finally:
            self._sending_count -= 1
            if reading is not None:
                await asyncio.wait([reading], timeout=QUIET_S)
                reading.cancel()

    async def _send(self, connection: socket.socket, piece: bytes) -> None:
        loop = asyncio.get_running_loop()
        rest = memoryview(piece)
        while rest:
            part = rest[: 16 * PIECE_BYTES]
            await loop.sock_sendall(connection, part)
            self._moved_bytes += len(part)
            rest = rest[len(part) :]

    async def _read_slowly(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while await loop.sock_recv(connection, 100):
            await asyncio.sleep(SLOW_GAP_S)
