"""Input of an HTTP connection, bounded before it reaches the parser."""

from __future__ import annotations

import asyncio
import enum
from typing import Any

import attrs
import httptools
from uvicorn.protocols.http import flow_control, httptools_impl

from hickorylead.runtime import shared_buffer

# Size of one read outside bodies with a length, in bytes. Such reads cost
# processor time by the piece, so the other connections take their turn earlier.
SMALL_READ_BYTES = 4 * 1024
# Size of what is read ahead of a queued request, in bytes, after which reading
# pauses. Until then the end of the connection is noticed.
MAX_AHEAD_BYTES = 16 * 1024
# Size of a request line without its target, of white space around values and of
# the size line of a chunk, in bytes, beyond the maximum size of a head.
HEAD_OVERHEAD_BYTES = 512
_HEAD_END = b"\r\n\r\n"


@attrs.define
class InputLimits:
    """Limits on what clients send and how long it takes; shared and mutable.

    Attributes:
        max_header_bytes: Maximum size of the head of a request, in bytes.
        header_timeout_s: Timeout for receiving the head of a request, in
            seconds.
        idle_timeout_s: Timeout of idle connections, in seconds.
        body_timeout_s: Longest time between two parts of a body, in seconds.
    """

    max_header_bytes: int = 16384
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 5.0
    body_timeout_s: float = 15.0


class Hold(enum.Flag):
    """Why a connection pauses reading."""

    # Enough has been read behind a queued request.
    AHEAD = enum.auto()
    # The process has no memory left for it.
    MEMORY = enum.auto()


class _Flow(flow_control.FlowControl):
    """Flow control whose reading can also be paused by the connection."""

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__(transport)
        self._holds = Hold(0)

    def hold(self, why: Hold) -> None:
        """Pauses reading until it is released, whatever the handler wants."""
        self._holds |= why
        self.pause_reading()

    def release(self, why: Hold) -> None:
        """Reads again, if it was paused for this alone."""
        if self._holds & why:
            self._holds &= ~why
            self.resume_reading()

    def resume_reading(self) -> None:
        """Reads again unless the connection has paused reading."""
        if not self._holds:
            super().resume_reading()


class HttpInput(
    httptools_impl.HttpToolsProtocol, shared_buffer.SharedBufferProtocol
):
    """Passes input to the parser up to the end of one request at a time.

    The HTTP server keeps each request whose head is complete, and the parser
    keeps a value until it ends. Neither has a limit of its own.
    """

    limits: InputLimits = InputLimits()
    flow: _Flow

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Makes the protocol of one connection."""
        super().__init__(*args, **kwargs)
        # What was read behind a queued request.
        self._ahead = b""
        # The last bytes that the parser got, while they may begin a head's end.
        self._last_bytes = b""
        # Whether a part of the body of the latest request is missing.
        self._is_latest_open = False
        self._ignores_input = False
        # Bytes of the latest body that are missing; None if it has no length.
        self._missing_bytes: int | None = None
        # Bytes since the last complete request, or since the last piece of a
        # body without a length.
        self._framing_bytes = 0

    def connection_made(self, transport: Any) -> None:
        """Records the transport."""
        super().connection_made(transport)
        self.flow = _Flow(transport)

    # Reading.

    def get_read_bytes(self) -> int:
        """Returns the size of the next read, in bytes."""
        if self._is_latest_open and self._missing_bytes:
            return shared_buffer.READ_BYTES
        return SMALL_READ_BYTES

    def data_received(self, data: bytes) -> None:
        """Handles bytes from the client."""
        if self._ignores_input:
            return
        self._unset_keepalive_if_required()
        self._parse(self._ahead + data if self._ahead else data)

    def on_response_complete(self) -> None:
        """Continues with what was read behind the next request."""
        super().on_response_complete()
        if not self._ahead or self.transport.is_closing():
            return
        self._unset_keepalive_if_required()
        self._parse(self._ahead)

    def drop_input(self) -> None:
        """Reads on, and ignores what is read."""
        self._ignores_input = True
        self._ahead = b""
        self.flow.release(Hold.AHEAD | Hold.MEMORY)
        self.flow.resume_reading()

    def _parse(self, data: bytes) -> None:
        start = 0
        while start < len(data) and not self.pipeline:
            end = self._find_end(data, start)
            if not self._feed(data[start:end]):
                return
            start = end
        self._ahead = data[start:]
        if len(self._ahead) > MAX_AHEAD_BYTES:
            self.flow.hold(Hold.AHEAD)
        else:
            self.flow.release(Hold.AHEAD)

    def _find_end(self, data: bytes, start: int) -> int:
        """Returns the end of what can be parsed without another request."""
        if self._is_latest_open and self._missing_bytes:
            return min(len(data), start + self._missing_bytes)
        # Bytes of a body count as framing until the parser has seen them.
        limit = min(len(data), start + SMALL_READ_BYTES)
        overlap = len(self._last_bytes)
        joined = self._last_bytes + data[start : start + len(_HEAD_END) - 1]
        found = joined.find(_HEAD_END)
        if found >= 0:
            return start + found + len(_HEAD_END) - overlap
        found = data.find(_HEAD_END, start, limit)
        return found + len(_HEAD_END) if found >= 0 else limit

    def _feed(self, data: bytes) -> bool:
        """Passes bytes to the parser; returns whether it can go on."""
        if not (self._is_latest_open and self._missing_bytes):
            self._framing_bytes += len(data)
            ends = data.endswith(_HEAD_END)
            self._last_bytes = (
                b"" if ends else (self._last_bytes + data)[1 - len(_HEAD_END) :]
            )
            if self._framing_bytes > (
                self.limits.max_header_bytes + HEAD_OVERHEAD_BYTES
            ):
                self.reject_long_head()
                return False
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is handled like any other, without an upgrade.
            pass
        except httptools.HttpParserError:
            self.send_400_response("Invalid HTTP request received.")
        if self._ignores_input:
            return False
        cycle = self.cycle
        if cycle is not None and cycle.body:
            cycle.message_event.set()
            if len(cycle.body) > flow_control.HIGH_WATER_LIMIT:
                self.flow.pause_reading()
        return True

    def reject_long_head(self) -> None:
        """Rejects a head, or the framing of a body, that is too long."""
        raise NotImplementedError

    # Callbacks of the parser.

    def on_headers_complete(self) -> None:
        """Handles the end of a head."""
        if self.pipeline or self.parser.get_http_version() == "0.9":
            # Only a request without a version ends without an empty line.
            raise ValueError("the request has no version of HTTP")
        length = None
        is_chunked = False
        for name, value in self.headers:
            if name == b"content-length":
                length = int(value)
            elif name == b"transfer-encoding":
                is_chunked = True
        if (length or is_chunked) and self.parser.should_upgrade():
            # The parser would take the body for the next request.
            raise ValueError("a request with an upgrade has a body")
        # This raises an error if the target is malformed.
        super().on_headers_complete()
        self._is_latest_open = True
        self._framing_bytes = 0
        self._missing_bytes = length

    def on_body(self, body: bytes) -> None:
        """Handles a piece of a body."""
        cycle = self.cycle
        if not cycle.response_complete:
            cycle.body += body
        if self._missing_bytes is None:
            self._framing_bytes = 0
        else:
            self._missing_bytes -= len(body)

    def on_message_complete(self) -> None:
        """Handles the end of a request."""
        self._is_latest_open = False
        self._framing_bytes = 0
        super().on_message_complete()
