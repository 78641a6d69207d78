"""HTTP listener for callers, with limits that can change at run time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from hickorylead.draining import owed as owed_module
from hickorylead.runtime import (
    client_connection,
    http_input,
    server,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    import socket

    from hickorylead.configuration import document as document_module
    from hickorylead.runtime import intake as intake_module


@attrs.define
class ListenerLimits(http_input.InputLimits):
    """Limits on what callers send and how long it takes; shared and mutable.

    Attributes:
        accept_connection: Returns whether to serve a new connection; otherwise
            it is closed unread.
        report_queued: Called with the headers of each request that was queued
            behind another one when its connection ended.
        report_close: Called when a connection ends within a request, with what
            was owed, who closed it and why.
    """

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


class CallerProtocol(client_connection.ClientConnection):
    """A caller's connection, whose end within a request is reported."""

    limits: ListenerLimits

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Makes the protocol of one connection."""
        super().__init__(*args, **kwargs)
        self._is_closed_unread = False
        self._has_eof = False

    def connection_made(self, transport: Any) -> None:
        """Records the transport, or closes the connection unread."""
        if not self.limits.accept_connection():
            self._is_closed_unread = True
            transport.abort()
            return
        super().connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the end of the connection."""
        if self._is_closed_unread:
            return
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
        if not self._is_closed_unread:
            super().data_received(data)


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
        intake: intake_module.Intake | None = None,
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
            intake: Accounts for the clients of the process.
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
            intake=intake,
            server_header=False,
            date_header=False,
        )
