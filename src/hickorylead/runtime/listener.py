"""HTTP listener for callers, with limits that can change at run time."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

import attrs
import uvicorn

from hickorylead.runtime import http_connection, sockets

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    import socket

    from hickorylead.draining import owed as owed_module


@attrs.define
class ListenerLimits:
    """Limits on what callers send and how long it takes; shared and mutable.

    Attributes:
        max_header_bytes: Maximum size of the head of a request, in bytes.
        header_timeout_s: Timeout for receiving the head of a request, in
            seconds.
        idle_timeout_s: Timeout of idle connections, in seconds.
        close_after_response: Whether connections close after their present
            response.
        accept_connection: Returns whether to serve a new connection; otherwise
            it is closed unread.
        report_close: Called when a connection ends within a request, with what
            was owed, who closed it and why.
    """

    max_header_bytes: int = 16384
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    close_after_response: bool = False
    accept_connection: Callable[[], bool] = lambda: True
    report_close: Callable[[owed_module.Owed, str, str], None] = (
        lambda _owed, _by, _why: None
    )


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
        # Why this process closed the connection, unless it aborts a response.
        self._close_reason = ""

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
                reason = self._close_reason or "response_aborted"
                self.limits.report_close(owed, "gateway", reason)
        super().connection_lost(exc)

    def eof_received(self) -> None:
        """Handles the end of what the caller sends."""
        self._has_eof = True
        super().eof_received()

    def data_received(self, data: bytes) -> None:
        """Handles bytes from the caller."""
        if self._is_closed_unread:
            return
        if not self._in_head and self.is_idle:
            self._head_bytes = 0
            self._cancel_head_timer()
            self._head_timer = self.loop.call_later(
                self.limits.header_timeout_s, self._reject_slow_head
            )
        super().data_received(data)

    def on_url(self, url: bytes) -> None:
        """Handles a chunk of the request target."""
        self._count_head_bytes(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handles a header."""
        self._count_head_bytes(len(name) + len(value) + len(": \r\n"))
        super().on_header(name, value)

    def send_400_response(self, msg: str) -> None:
        """Rejects a malformed request unless it already has a response."""
        if not self.transport.is_closing():
            super().send_400_response(msg)

    def on_headers_complete(self) -> None:
        """Handles the end of the head."""
        self._cancel_head_timer()
        super().on_headers_complete()
        if self.limits.close_after_response and self.cycle is not None:
            self.cycle.keep_alive = False

    def on_response_complete(self) -> None:
        """Starts the wait for the next request, with the present limit."""
        self.timeout_keep_alive = self.limits.idle_timeout_s  # type: ignore[assignment]
        super().on_response_complete()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is in progress."""
        if not self._in_head and self.is_idle:
            self.transport.close()

    def timeout_keep_alive_handler(self) -> None:
        """Closes a connection that was idle for too long."""
        self._close_reason = "idle_timeout"
        super().timeout_keep_alive_handler()

    def _count_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self.limits.max_header_bytes:
            self._respond_and_close(_HEAD_TOO_LONG_RESPONSE, "head_too_long")
            # The error stops the parser: the rest of the connection is not
            # read.
            raise ValueError("the head of a request is too long")

    def _start_idle_timer(self) -> None:
        self.timeout_keep_alive_task = self.loop.call_later(
            self.limits.idle_timeout_s, self.timeout_keep_alive_handler
        )

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _reject_slow_head(self) -> None:
        self._respond_and_close(_HEAD_TIMEOUT_RESPONSE, "head_timeout")

    def _respond_and_close(self, response: bytes, reason: str) -> None:
        self._close_reason = reason
        self._cancel_head_timer()
        self._in_head = False
        if not self.transport.is_closing():
            self.transport.write(response)
            self.transport.close()


class _Server(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Installs no handlers: the process itself stops gracefully."""
        yield


class Listener:
    """Serves one application to callers on one port."""

    def __init__(
        self,
        app: Callable[..., Any],
        ip: str,
        port: int,
        limits: ListenerLimits,
        *,
        listening_socket: socket.socket | None = None,
    ) -> None:
        """Makes a listener; `start` opens its port.

        Args:
            app: The ASGI application.
            ip: IP address.
            port: TCP port.
            limits: Limits; changes to them apply from then on.
            listening_socket: Socket of its port, if it is already open.
        """
        protocol = type("BoundProtocol", (CallerProtocol,), {"limits": limits})
        config = uvicorn.Config(
            app,
            host=ip,
            port=port,
            # uvloop contains io_uring code, which is not allowed on these
            # machines.
            loop="asyncio",
            http=protocol,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            backlog=sockets.BACKLOG,
        )
        self._limits = limits
        self._listening_socket = listening_socket
        self._server = _Server(config)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Opens the port; returns once it accepts connections."""
        sockets_ = (
            None if self._listening_socket is None else [self._listening_socket]
        )
        self._task = asyncio.create_task(self._server.serve(sockets=sockets_))
        while not self._server.started:
            if self._task.done():
                self._task.result()
                raise OSError("the HTTP server did not start")
            await asyncio.sleep(0.005)

    @property
    def task(self) -> asyncio.Task[None]:
        """The task that serves; it runs until the listener is closed."""
        assert self._task is not None, "the listener was started"
        return self._task

    def get_address(self) -> tuple[str, int]:
        """Returns the IP address and port on which it listens."""
        address = self._server.servers[0].sockets[0].getsockname()
        return address[0], address[1]

    def stop_listening(self) -> None:
        """Stops accepting connections and closes the idle ones."""
        for server in self._server.servers:
            server.close()
        self.close_idle()

    def close_idle(self) -> None:
        """Closes the connections without a request in progress."""
        for connection in list(self._server.server_state.connections):
            if isinstance(connection, CallerProtocol):
                connection.close_if_idle()

    def list_owed(self) -> list[owed_module.Owed]:
        """Returns what the process owes to its callers."""
        found = [
            connection.describe_owed()
            for connection in self._server.server_state.connections
            if isinstance(connection, CallerProtocol)
        ]
        return [owed for owed in found if owed is not None]

    async def close(self) -> None:
        """Closes the open connections and stops the server."""
        self._server.should_exit = True
        self._server.force_exit = True
        if self._task is not None:
            await self._task
