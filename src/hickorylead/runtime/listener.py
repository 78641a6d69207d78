"""HTTP listener for callers, with limits that can change at run time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import attrs

from hickorylead.draining import owed as owed_module
from hickorylead.runtime import http_connection, server, sockets

if TYPE_CHECKING:
    from collections.abc import Callable
    import socket

    from hickorylead.configuration import document as document_module


@attrs.define
class ListenerLimits:
    """Limits on what callers send and how long it takes; shared and mutable.

    Attributes:
        max_header_bytes: Maximum size of the head of a request, in bytes.
        header_timeout_s: Timeout for receiving the head of a request, in
            seconds.
        idle_timeout_s: Timeout of idle connections, in seconds.
        accept_connection: Returns whether to serve a new connection; otherwise
            it is closed unread.
        report_queued: Called with the headers of each request that was queued
            behind another one when its connection ended.
        report_close: Called when a connection ends within a request, with what
            was owed, who closed it and why.
    """

    max_header_bytes: int = 16384
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    accept_connection: Callable[[], bool] = lambda: True
    report_queued: Callable[[list[tuple[bytes, bytes]]], None] = (
        lambda _headers: None
    )
    report_close: Callable[[owed_module.Owed, str, str], None] = (
        lambda _owed, _by, _why: None
    )

    def update(self, limits: document_module.Limits) -> None:
        """Applies the limits of a configuration."""
        self.max_header_bytes = limits.max_header_bytes
        self.header_timeout_s = limits.header_timeout_s
        self.idle_timeout_s = limits.idle_timeout_s


_HEAD_TOO_LONG_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)
_HEAD_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)


class CallerProtocol(http_connection.HttpConnection):
    """A caller's connection with limits on request heads and idle time."""

    limits: ListenerLimits

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Makes the protocol of one connection."""
        super().__init__(*args, **kwargs)
        self._head_timer: asyncio.TimerHandle | None = None
        self._head_bytes = 0
        self._is_closed_unread = False
        self._has_eof = False

    def connection_made(self, transport: Any) -> None:
        """Records the transport and starts the idle timer."""
        if not self.limits.accept_connection():
            self._is_closed_unread = True
            transport.abort()
            return
        super().connection_made(transport)
        self._start_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the end of the connection."""
        if self._is_closed_unread:
            return
        self._cancel_head_timer()
        self._unset_keepalive_if_required()
        owed = self.describe_unfinished()
        if owed is not None:
            if exc is not None:
                self.limits.report_close(owed, "caller", "reset")
            elif self._has_eof:
                self.limits.report_close(owed, "caller", "closed")
            else:
                reason = self.close_reason or "response_aborted"
                self.limits.report_close(owed, "gateway", reason)
        elif self.pipeline:
            owed = self.describe(owed_module.Phase.WAITING)
            self.limits.report_close(owed, "gateway", "queued_dropped")
        for headers in self.list_queued_headers():
            self.limits.report_queued(headers)
        super().connection_lost(exc)

    def eof_received(self) -> None:
        """Handles the end of what the caller sends."""
        self._has_eof = True
        super().eof_received()

    def data_received(self, data: bytes) -> None:
        """Handles bytes from the caller."""
        if self._is_closed_unread:
            return
        if self.is_idle and not self.in_body:
            self._start_head_timer()
        super().data_received(data)

    def on_message_begin(self) -> None:
        """Handles the first byte of a request."""
        self._head_bytes = 0
        super().on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Handles a chunk of the request target."""
        self._count_head_bytes(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handles a header."""
        self._count_head_bytes(len(name) + len(value) + len(": \r\n"))
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Handles the end of the head."""
        self._cancel_head_timer()
        super().on_headers_complete()

    def on_response_complete(self) -> None:
        """Starts the wait for the next request, with the present limit."""
        self.timeout_keep_alive = self.limits.idle_timeout_s  # type: ignore[assignment]
        super().on_response_complete()
        if self.is_idle and self._in_head:
            self._unset_keepalive_if_required()
            self._start_head_timer()

    def timeout_keep_alive_handler(self) -> None:
        """Closes a connection that was idle for too long."""
        self.close_reason = "idle_timeout"
        super().timeout_keep_alive_handler()

    def _count_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self.limits.max_header_bytes:
            self.reject_input(_HEAD_TOO_LONG_RESPONSE, "head_too_long")
            # The error stops the parser: the rest of the connection is not
            # read.
            raise ValueError("the head of a request is too long")

    def _start_idle_timer(self) -> None:
        self.timeout_keep_alive_task = self.loop.call_later(
            self.limits.idle_timeout_s, self.timeout_keep_alive_handler
        )

    def _start_head_timer(self) -> None:
        if self._head_timer is None:
            self._head_timer = self.loop.call_later(
                self.limits.header_timeout_s, self._reject_slow_head
            )

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _reject_slow_head(self) -> None:
        self.respond_and_close(_HEAD_TIMEOUT_RESPONSE, "head_timeout")


class Listener(server.HttpServer):
    """Serves one application to callers on one port."""

    def __init__(
        self,
        app: Callable[..., Any],
        ip: str,
        port: int,
        limits: ListenerLimits,
        *,
        listening_socket: socket.socket | None = None,
        report_failure: Callable[[owed_module.Owed, BaseException], None]
        | None = None,
    ) -> None:
        """Makes a listener; `start` opens its port.

        Args:
            app: The ASGI application.
            ip: IP address.
            port: TCP port.
            limits: Limits; changes to them apply from then on.
            listening_socket: Socket of its port, if it is already open.
            report_failure: Called with a request whose handler failed, and
                why.
        """
        super().__init__(
            app,
            ip,
            port,
            protocol=type(
                "BoundProtocol", (CallerProtocol,), {"limits": limits}
            ),
            listening_socket=listening_socket,
            report_failure=report_failure,
            server_header=False,
            date_header=False,
            backlog=sockets.BACKLOG,
        )
