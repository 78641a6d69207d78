"""Connections to replicas, for requests that are forwarded byte for byte.

The usual HTTP client is not used here, because it hides what decides about a
second run: it sends again by itself when a kept connection breaks, takes an
answer without a length for whole when its connection was reset, and reads
bytes that came after an answer as the next one. The parser is a library's.
"""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING, Any, Protocol

import httptools

from hickorylead import verdict as verdict_module
from hickorylead.forwarding import model

if TYPE_CHECKING:
    from collections.abc import Callable

Verdict = verdict_module.Verdict

# A replica in the same region answers a connection within about 2 ms; one that
# is dark never does, and callers wait meanwhile. A lost opening packet is
# repeated after a second, which is too late anyway.
CONNECT_TIMEOUT_S = 0.15
# A kept connection is dropped this long before its server would, in seconds,
# since a request that crosses its close is lost.
EXPIRY_MARGIN_S = 0.6
# Kept for this long where the server does not say, in seconds.
DEFAULT_KEEP_S = 0.8
MAX_HEAD_BYTES = 64 * 1024


class Receiver(Protocol):
    """What becomes of one exchange; the methods are called in this order."""

    def on_headers(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Takes status and headers, names in lower case."""

    def on_body_chunk(self, data: bytes) -> None:
        """Takes a piece of the body."""

    def on_complete(self) -> None:
        """Takes the news that the answer is whole."""

    def on_failure(self, verdict: verdict_module.Verdict, reason: str) -> None:
        """Takes the news that there will be no whole answer."""


class Connection(asyncio.Protocol):
    """One connection to a replica; one exchange at a time."""

    def __init__(self, release: Callable[[Connection], None]) -> None:
        """Makes a connection that is not connected yet.

        Args:
            release: Called when the connection may be used again.
        """
        self._release = release
        self._transport: Any = None
        self._receiver: Receiver | None = None
        self._parser: Any = None
        self._status = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._has_length = False
        self._has_head = False
        self._keep_s = DEFAULT_KEEP_S
        self._closes = False
        self.usable_until = 0.0
        self.is_usable = False

    # The transport's side.

    def connection_made(self, transport: Any) -> None:
        """Takes the transport."""
        self._transport = transport
        self.is_usable = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Takes the end of the connection, clean or not."""
        self.is_usable = False
        receiver, self._receiver = self._receiver, None
        if receiver is None:
            return
        is_unframed = self._has_head and not self._has_length
        if is_unframed and exc is None:
            # Without a length the end of the connection ends the answer; a
            # reset does not: bytes may be missing.
            receiver.on_complete()
            return
        reason = "closed" if exc is None else "reset"
        receiver.on_failure(Verdict.MAY_HAVE_RUN, reason)

    def data_received(self, data: bytes) -> None:
        """Takes bytes of the replica."""
        if self._receiver is None:
            # Bytes that belong to no request; the next answer would be mixed
            # up with them.
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail("bad_answer")
        except httptools.HttpParserError:
            self._fail("bad_answer")

    # The parser's side.

    def on_message_begin(self) -> None:
        """Starts an answer."""
        if self._receiver is None:
            self.close()
            return
        self._headers = []
        self._has_head = self._has_length = False
        self._head_bytes = 0
        self._closes = False
        self._keep_s = DEFAULT_KEEP_S

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        name = name.lower()
        value = value.strip(b" \t")
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES:
            self._fail("head_too_long")
            return
        if name == b"content-length" or (
            name == b"transfer-encoding" and b"chunked" in value.lower()
        ):
            self._has_length = True
        elif name == b"connection" and b"close" in value.lower():
            self._closes = True
        elif name == b"keep-alive":
            self._keep_s = _read_timeout(value)
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Hands the head on."""
        if self._receiver is None:
            return
        status = self._parser.get_status_code()
        if status < 200:
            # An interim answer; the real one follows.
            return
        self._status = status
        self._has_head = True
        if status in (204, 304):
            self._has_length = True
        if not self._parser.should_keep_alive():
            self._closes = True
        self._receiver.on_headers(status, self._headers)

    def on_body(self, data: bytes) -> None:
        """Hands a piece of the body on."""
        if self._receiver is not None:
            self._receiver.on_body_chunk(data)

    def on_message_complete(self) -> None:
        """Ends the exchange."""
        receiver = self._receiver
        if receiver is None or not self._has_head:
            return
        self._receiver = None
        # A replica may answer before it has read the whole body; what is
        # still to be written would be read as the next request.
        is_clean = (
            not self._closes
            and self._has_length
            and self._transport.get_write_buffer_size() == 0
        )
        if is_clean and self.is_usable:
            loop = asyncio.get_running_loop()
            self.usable_until = loop.time() + self._keep_s
            # Bytes that follow the answer come in the same read; only after
            # it is it known that there are none.
            loop.call_soon(self._release, self)
        else:
            self.close()
        receiver.on_complete()

    # The caller's side.

    def send(self, data: bytes, receiver: Receiver) -> None:
        """Starts an exchange."""
        self._receiver = receiver
        self._has_head = self._has_length = False
        self._parser = httptools.HttpResponseParser(self)
        self._transport.write(data)

    def close(self) -> None:
        """Ends the connection at once, without a word to the receiver."""
        self.is_usable = False
        self._receiver = None
        if self._transport is not None:
            self._transport.abort()

    def _fail(self, reason: str) -> None:
        receiver = self._receiver
        self.close()
        if receiver is not None:
            receiver.on_failure(Verdict.MAY_HAVE_RUN, reason)


class Exchange:
    """One request to one replica."""

    def __init__(self, pool: Pool, address: str, receiver: Receiver) -> None:
        """Makes an exchange; `Pool.send_request` begins it."""
        self._pool = pool
        self._address = address
        self._receiver = receiver
        self._connection: Connection | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self, data: bytes, *, fresh: bool) -> None:
        """Sends a request over a kept connection, or over a new one."""
        connection = None if fresh else self._pool.acquire(self._address)
        if connection is not None:
            self._connection = connection
            connection.send(data, self._receiver)
            return
        self._task = asyncio.ensure_future(self._connect(data))

    def cancel(self) -> None:
        """Closes the connection, so that the replica stops working."""
        if self._task is not None:
            self._task.cancel()
        if self._connection is not None:
            self._connection.close()

    async def _connect(self, data: bytes) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection = await self._pool.connect(self._address)
        except (OSError, TimeoutError) as error:
            reason = (
                model.CONNECT_TIMEOUT
                if isinstance(error, TimeoutError)
                else "unreachable"
            )
            self._receiver.on_failure(Verdict.NOT_RUN, reason)
            return
        self._connection = connection
        connection.send(data, self._receiver)


class Pool:
    """Kept connections to all replicas, newest first."""

    def __init__(self, bind_ip: str = "") -> None:
        """Makes a pool without connections.

        Args:
            bind_ip: IP number that connections come from; empty for any.
        """
        self._bind = (bind_ip, 0) if bind_ip else None
        self._idle: dict[str, collections.deque[Connection]] = (
            collections.defaultdict(collections.deque)
        )
        self.opened = 0

    def send_request(
        self,
        address: str,
        data: bytes,
        receiver: Receiver,
        *,
        fresh: bool = False,
    ) -> Exchange:
        """Sends a request and returns its exchange.

        Args:
            address: `ip:port` of the replica.
            data: The request, head and body.
            receiver: Where the answer goes.
            fresh: Whether a new connection must be used.
        """
        exchange = Exchange(self, address, receiver)
        exchange.start(data, fresh=fresh)
        return exchange

    def acquire(self, address: str) -> Connection | None:
        """Returns a kept connection that its server still keeps, too."""
        idle = self._idle.get(address)
        now = asyncio.get_running_loop().time()
        while idle:
            connection = idle.pop()
            if connection.is_usable and now < connection.usable_until:
                return connection
            connection.close()
        return None

    async def connect(self, address: str) -> Connection:
        """Returns a new connection."""
        ip, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.opened += 1
        _, connection = await loop.create_connection(
            lambda: Connection(lambda c: self._keep(address, c)),
            ip,
            int(port),
            local_addr=self._bind,
        )
        return connection

    def close_idle(self) -> None:
        """Closes kept connections whose time is over; call it now and then."""
        now = asyncio.get_running_loop().time()
        for address, idle in list(self._idle.items()):
            for connection in [c for c in idle if now >= c.usable_until]:
                idle.remove(connection)
                connection.close()
            if not idle:
                del self._idle[address]

    def close(self) -> None:
        """Closes all kept connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()

    def _keep(self, address: str, connection: Connection) -> None:
        if connection.is_usable:
            self._idle[address].append(connection)


def _read_timeout(value: bytes) -> float:
    """Returns how long a connection may be kept, by a Keep-Alive header."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and number.strip().isdigit():
            return max(0.0, float(number) - EXPIRY_MARGIN_S)
    return DEFAULT_KEEP_S
