"""One connection to a replica, for requests forwarded byte for byte.

The usual HTTP client is not used here, because it hides whether a request may
have run: it resends by itself when a kept-alive connection breaks, treats a
response without a length as complete when its connection was reset, and reads
bytes that follow a response as the next response. The parser is httptools.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Protocol

import httptools

from hickorylead import http_status, verdict as verdict_module
from hickorylead.runtime import shared_buffer

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

Verdict = verdict_module.Verdict

# An idle connection is closed this many seconds before the replica would close
# it, since a request that arrives during the close is lost.
EXPIRY_MARGIN_S = 0.6
# Keep-alive time of a connection if the replica specifies none, in seconds.
DEFAULT_KEEPALIVE_S = 0.8
# Maximum size of a head, and of what precedes or follows a piece of a body.
MAX_HEAD_BYTES = 64 * 1024


class Receiver(Protocol):
    """Callbacks of one exchange, called in the order of the methods here."""

    def on_connected(self) -> None:
        """Handles a new connection; not called if one is reused."""

    def on_headers(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Handles status and headers, names in lower case."""

    def on_body_chunk(self, data: bytes) -> None:
        """Handles a chunk of the body."""

    def on_complete(self) -> None:
        """Handles the end of a complete response."""

    def on_failure(self, verdict: verdict_module.Verdict, reason: str) -> None:
        """Handles the end of an exchange without a complete response."""


class Tunnel(Protocol):
    """Takes the bytes of a connection that another process reads and writes."""

    def on_data(self, data: bytes) -> None:
        """Handles bytes from the replica."""

    def on_lost(self, exc: Exception | None) -> None:
        """Handles the end of the connection, clean or not."""

    def pause_reading(self) -> None:
        """Stops reading what is to be sent to the replica."""

    def resume_reading(self) -> None:
        """Reads again what is to be sent to the replica."""


class Connection(shared_buffer.SharedBufferProtocol):
    """One connection to a replica; one exchange at a time."""

    def __init__(self, release: Callable[[Connection], None]) -> None:
        """Makes a connection that is not connected yet.

        Args:
            release: Called when the connection may be used again.
        """
        self._release = release
        self._transport: Any = None
        self._receiver: Receiver | None = None
        self._tunnel: Tunnel | None = None
        self._parser: Any = None
        self._status = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        # Bytes received since the head or the last piece of the body.
        self._framing_bytes = 0
        self._has_length = False
        self._has_head = False
        # Whether the response has no body, whatever its head says.
        self._is_to_head = False
        self._keepalive_s = DEFAULT_KEEPALIVE_S
        self._must_close = False
        self.usable_until = 0.0
        self.is_usable = False

    # Callbacks of the transport.

    def connection_made(self, transport: Any) -> None:
        """Records the transport."""
        self._transport = transport
        self.is_usable = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the end of the connection, clean or not."""
        self.is_usable = False
        tunnel, self._tunnel = self._tunnel, None
        if tunnel is not None:
            tunnel.on_lost(exc)
        receiver, self._receiver = self._receiver, None
        if receiver is None:
            return
        is_unframed = self._has_head and not self._has_length
        if is_unframed and exc is None:
            # A response without a length ends with the connection. A reset does
            # not complete it, since bytes may be missing.
            receiver.on_complete()
            return
        reason = "closed" if exc is None else "reset"
        receiver.on_failure(Verdict.MAY_HAVE_RUN, reason)

    def data_received(self, data: bytes) -> None:
        """Handles bytes from the replica."""
        if self._tunnel is not None:
            self._tunnel.on_data(data)
            return
        if self._receiver is None:
            # Bytes that belong to no request would be mixed up with the next
            # response.
            self.close()
            return
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.fail("bad_answer")
        except httptools.HttpParserError:
            self.fail("bad_answer")
        if self._receiver is not None and self._framing_bytes > MAX_HEAD_BYTES:
            # The parser itself keeps an unfinished header without a limit.
            self.fail("framing_too_long" if self._has_head else "head_too_long")

    def pause_writing(self) -> None:
        """Handles a full write buffer."""
        if self._tunnel is not None:
            self._tunnel.pause_reading()

    def resume_writing(self) -> None:
        """Handles a write buffer that has been sent."""
        if self._tunnel is not None:
            self._tunnel.resume_reading()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a response."""
        if self._receiver is None:
            self.close()
            return
        self._headers = []
        self._has_head = self._has_length = False
        self._head_bytes = 0
        self._must_close = False
        self._keepalive_s = DEFAULT_KEEPALIVE_S

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handles a header."""
        name = name.lower()
        value = value.strip(b" \t")
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES:
            self.fail("head_too_long")
            return
        if name == b"connection" and b"close" in value.lower():
            self._must_close = True
        elif name == b"keep-alive":
            self._keepalive_s = _parse_keepalive(value)
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Passes the head to the receiver."""
        if self._receiver is None:
            return
        status = self._parser.get_status_code()
        if http_status.is_interim(status):
            return
        if not http_status.is_final(status):
            self.fail("bad_status")
            return
        self._framing_bytes = 0
        self._status = status
        self._has_head = True
        self._has_length = self._is_to_head or is_framed(status, self._headers)
        if not self._parser.should_keep_alive():
            self._must_close = True
        self._receiver.on_headers(status, self._headers)
        if self._is_to_head:
            self.on_message_complete()

    def on_body(self, data: bytes) -> None:
        """Passes a chunk of the body to the receiver."""
        self._framing_bytes = 0
        if self._receiver is None:
            # A response to HEAD that has a body.
            self.close()
            return
        self._receiver.on_body_chunk(data)

    def on_message_complete(self) -> None:
        """Ends the exchange."""
        receiver = self._receiver
        if receiver is None or not self._has_head:
            return
        self._receiver = None
        # A replica may respond before it has read the complete request body; it
        # would read the rest of that body as the next request.
        is_clean = (
            not self._must_close
            and self._has_length
            and self._transport.get_write_buffer_size() == 0
        )
        if is_clean and self.is_usable:
            loop = asyncio.get_running_loop()
            self.usable_until = loop.time() + self._keepalive_s
            # Any bytes that follow the response arrive in the same read. The
            # connection may be reused only after that read, when it is known
            # that no bytes follow.
            loop.call_soon(self._release, self)
        else:
            self.close()
        receiver.on_complete()

    # Methods for the pool and exchanges.

    def send(self, data: bytes, receiver: Receiver) -> None:
        """Starts an exchange."""
        self._receiver = receiver
        self._is_to_head = data.startswith(b"HEAD ")
        self._framing_bytes = 0
        self._has_head = self._has_length = False
        self._parser = httptools.HttpResponseParser(self)
        self._transport.write(data)

    def close(self) -> None:
        """Closes the connection at once, without notifying the receiver."""
        self.is_usable = False
        self._receiver = None
        self._tunnel = None
        if self._transport is not None:
            self._transport.abort()

    def fail(self, reason: str) -> None:
        """Closes the connection and ends its exchange as failed."""
        receiver = self._receiver
        self.close()
        if receiver is not None:
            receiver.on_failure(Verdict.MAY_HAVE_RUN, reason)

    # Methods for tunnels.

    def start_tunnel(self, tunnel: Tunnel) -> None:
        """Passes all bytes from the replica to a tunnel, unparsed."""
        self._tunnel = tunnel

    def end_tunnel(self, keepalive_s: float) -> None:
        """Returns the connection to its pool, or closes it if it is in use.

        Args:
            keepalive_s: How long it may be used again, in seconds.
        """
        self._tunnel = None
        if (
            not self.is_usable
            or keepalive_s <= 0
            or self._transport.get_write_buffer_size()
        ):
            self.close()
            return
        loop = asyncio.get_running_loop()
        self.usable_until = loop.time() + keepalive_s
        self._release(self)

    def write(self, data: bytes) -> None:
        """Sends bytes of a tunnel to the replica."""
        if self.is_usable:
            self._transport.write(data)

    def pause_reading(self) -> None:
        """Stops reading from the replica."""
        if self.is_usable:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Reads from the replica again."""
        if self.is_usable:
            self._transport.resume_reading()


def is_framed(status: int, headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Returns whether a response ends before its connection does.

    Args:
        status: Its status.
        headers: Its headers, names in lower case.
    """
    return status in (204, 304) or any(
        name == b"content-length"
        or (name == b"transfer-encoding" and b"chunked" in value.lower())
        for name, value in headers
    )


def _parse_keepalive(value: bytes) -> float:
    """Returns how long to keep a connection, by its Keep-Alive header."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and number.strip().isdigit():
            return max(0.0, float(number) - EXPIRY_MARGIN_S)
    return DEFAULT_KEEPALIVE_S
