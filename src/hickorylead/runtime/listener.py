"""The HTTP listener for callers, with limits that change while it runs."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

import attrs
import uvicorn
from uvicorn.protocols.http import httptools_impl

from hickorylead.runtime import sockets

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    import socket


@attrs.define
class ListenerLimits:
    """What callers may send and how long they may take; shared and mutable.

    Attributes:
        max_header_bytes: Longest head of a request, in bytes.
        header_timeout_s: Longest time for the head of a request, in seconds.
        idle_timeout_s: Longest time that a connection may be idle, in seconds.
        close_after_response: Whether connections end after their present
            answer.
    """

    max_header_bytes: int = 16384
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    close_after_response: bool = False


# Where an application finds the connection of a request, in the extensions of
# its ASGI scope.
CONNECTION_KEY = "hickorylead.connection"

_TOO_LONG = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)
_TOO_SLOW = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)


class CallerProtocol(httptools_impl.HttpToolsProtocol):
    """A caller's connection with limits on its heads and its idle time."""

    limits: ListenerLimits

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Makes the protocol of one connection."""
        super().__init__(*args, **kwargs)
        self._head_timer: asyncio.TimerHandle | None = None
        self._head_bytes = 0
        self._in_head = False

    def connection_made(self, transport: Any) -> None:
        """Takes the transport; a caller that sends nothing is idle."""
        super().connection_made(transport)
        self._arm_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        """Takes the end of the connection."""
        self._disarm_head()
        self._unset_keepalive_if_required()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Takes bytes of the caller."""
        if not self._in_head and (
            self.cycle is None or self.cycle.response_complete
        ):
            self._in_head = True
            self._head_bytes = 0
            self._head_timer = self.loop.call_later(
                self.limits.header_timeout_s, self._end_slow_head
            )
        super().data_received(data)

    def on_url(self, url: bytes) -> None:
        """Takes a piece of the target."""
        self._count_head(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        self._count_head(len(name) + len(value) + len(": \r\n"))
        super().on_header(name, value)

    def send_400_response(self, msg: str) -> None:
        """Answers what is no request, unless an answer was given already."""
        if not self.transport.is_closing():
            super().send_400_response(msg)

    def on_headers_complete(self) -> None:
        """Takes a whole head."""
        self._in_head = False
        self._disarm_head()
        super().on_headers_complete()
        self.scope["extensions"] = {CONNECTION_KEY: {"protocol": self}}
        if self.limits.close_after_response and self.cycle is not None:
            self.cycle.keep_alive = False

    def on_response_complete(self) -> None:
        """Waits for the next request, as long as the limits allow."""
        self.timeout_keep_alive = self.limits.idle_timeout_s  # type: ignore[assignment]
        super().on_response_complete()

    def can_write(self) -> bool:
        """Says whether what is sent now is taken without a wait."""
        return not self.flow.write_paused

    def close_if_idle(self) -> None:
        """Ends the connection unless a request is under way."""
        if not self._in_head and (
            self.cycle is None or self.cycle.response_complete
        ):
            self.transport.close()

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self.limits.max_header_bytes:
            self._end_with(_TOO_LONG)
            # Nothing more of this connection is read.
            raise ValueError("the head of a request is too long")

    def _arm_idle(self) -> None:
        self.timeout_keep_alive_task = self.loop.call_later(
            self.limits.idle_timeout_s, self.timeout_keep_alive_handler
        )

    def _disarm_head(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _end_slow_head(self) -> None:
        self._end_with(_TOO_SLOW)

    def _end_with(self, answer: bytes) -> None:
        self._disarm_head()
        self._in_head = False
        if not self.transport.is_closing():
            self.transport.write(answer)
            self.transport.close()


class _Server(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leaves signals to the process: a stop is graceful first."""
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
        opened: socket.socket | None = None,
    ) -> None:
        """Makes a listener; `start` opens its port.

        Args:
            app: The ASGI application.
            ip: IP number.
            port: TCP port.
            limits: Limits; changes of them count from then on.
            opened: Its port, if that is open already.
        """
        protocol = type("BoundProtocol", (CallerProtocol,), {"limits": limits})
        config = uvicorn.Config(
            app,
            host=ip,
            port=port,
            # uvloop carries io_uring code, which is ruled out.
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
        self._opened = opened
        self._server = _Server(config)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Opens the port; returns once it takes connections."""
        given = None if self._opened is None else [self._opened]
        self._task = asyncio.create_task(self._server.serve(sockets=given))
        while not self._server.started:
            if self._task.done():
                self._task.result()
                raise OSError("the HTTP server did not start")
            await asyncio.sleep(0.005)

    def stop_listening(self) -> None:
        """Takes no new connections and ends the idle ones."""
        for server in self._server.servers:
            server.close()
        self.close_idle()

    def close_idle(self) -> None:
        """Ends the connections without a request."""
        for connection in list(self._server.server_state.connections):
            if isinstance(connection, CallerProtocol):
                connection.close_if_idle()

    async def close(self) -> None:
        """Ends the open connections and the server."""
        self._server.should_exit = True
        self._server.force_exit = True
        if self._task is not None:
            await self._task
