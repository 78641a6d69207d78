"""The relay's end: forwards bytes of other gateways' requests to servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from hickorylead.forwarding import model
from hickorylead.relaying import exchanges, messages
from hickorylead.runtime import (
    clock,
    relay_connections,
    upstream,
    upstream_connection,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorylead import notes

# Maximum number of exchanges of other gateways at a time. Each takes two of the
# process's descriptors, most of which are for its own callers.
MAX_EXCHANGES = 256
# Time after the limit of an exchange at which the relay ends it, in seconds:
# the gateway itself ends it earlier, unless its connection is lost.
LIMIT_MARGIN_S = 1.0
# Idle connections of gateways are closed after this time, in seconds.
IDLE_TIMEOUT_S = 15.0
# Reason code of exchanges that the end of the process ends.
STOPPING = "stopping"


class _Session(relay_connections.RelayProtocol):
    """Connection of a gateway; one exchange at a time."""

    def __init__(self, server: RelayServer) -> None:
        super().__init__(server.warn)
        self._server = server
        self._connection: upstream_connection.Connection | None = None
        self._forwarded_bytes = 0
        # The latest exchange, and when it was opened.
        self._opening: messages.RelayOpen | None = None
        self._opened_at = 0.0
        self._connecting: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    # Connection of the gateway.

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self._server.sessions.add(self)
        self._start_timer(IDLE_TIMEOUT_S)

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        self._server.sessions.discard(self)
        self._end()

    def pause_writing(self) -> None:
        """Stops reading from the server while the gateway does not read."""
        if self._connection is not None:
            self._connection.pause_reading()

    def resume_writing(self) -> None:
        """Reads from the server again."""
        if self._connection is not None:
            self._connection.resume_reading()

    def handle_message(self, message: messages.ConnectionMessage) -> None:
        match message:
            case messages.RelayOpen() if not self.is_active:
                self._open(message)
            case messages.RelayData(data) if self._connection is not None:
                self._connection.write(data)
            case messages.RelayFinished(keepalive_ms, received_bytes):
                # Bytes beyond the response would be read as the next one.
                is_clean = received_bytes == self._forwarded_bytes
                self._finish(keepalive_ms / 1000.0 if is_clean else 0.0)
            case messages.RelayData():
                # The server closed its connection before it had the request.
                pass
            case _:
                self._reject(f"unexpected {type(message).__name__}")

    @property
    def is_active(self) -> bool:
        """Whether an exchange is in progress."""
        return self._connection is not None or self._connecting is not None

    def describe_owed(self) -> exchanges.Exchange | None:
        """Returns what is owed to the gateway; None if nothing is."""
        if self._opening is None or self.transport.is_closing():
            return None
        pending_bytes = self.transport.get_write_buffer_size()
        if self._connecting is not None:
            phase = exchanges.Phase.OPENING
        elif self._connection is None:
            phase = exchanges.Phase.FLUSHING
            if not pending_bytes:
                return None
        elif self._forwarded_bytes:
            phase = exchanges.Phase.RESPONDING
        else:
            phase = exchanges.Phase.WAITING
        return exchanges.Exchange(
            phase,
            self._opened_at,
            self._opening.request_id,
            self._opening.server,
            self._forwarded_bytes,
            pending_bytes,
        )

    def _open(self, opening: messages.RelayOpen) -> None:
        reason = self._server.check(opening)
        if reason:
            self._refuse(reason)
            return
        self._opening = opening
        self._opened_at = clock.read_boottime()
        self._forwarded_bytes = 0
        self._start_timer(opening.limit_ms / 1000.0 + LIMIT_MARGIN_S)
        connection = self._server.pool.acquire(opening.address)
        if connection is not None:
            self._accept(connection)
            return
        self._connecting = asyncio.ensure_future(self._connect(opening))

    async def _connect(self, opening: messages.RelayOpen) -> None:
        found = await self._server.pool.try_connect(opening.address)
        self._connecting = None
        if isinstance(found, str):
            self._server.report_failure(opening.server, found)
            self._refuse(model.RELAY_NO_SERVER)
            return
        if self.transport.is_closing():
            found.close()
            return
        self._accept(found)

    def _accept(self, connection: upstream_connection.Connection) -> None:
        self._connection = connection
        connection.start_tunnel(self)
        self.send(messages.RelayAccepted())

    def _refuse(self, reason: str) -> None:
        self._opening = None
        self.send(messages.RelayRefused(reason))
        self._start_timer(IDLE_TIMEOUT_S)

    def _finish(self, keepalive_s: float) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.end_tunnel(keepalive_s)
        self._start_timer(IDLE_TIMEOUT_S)

    # Connection to the server.

    def on_data(self, data: bytes) -> None:
        """Forwards bytes of the server."""
        self._forwarded_bytes += len(data)
        self.send_data(data)

    def on_lost(self, exc: Exception | None) -> None:
        """Handles the end of the server's connection."""
        self._connection = None
        # The rest of the request is read and dropped.
        self.transport.resume_reading()
        self.send(messages.RelayClosed(exc is not None))
        self._start_timer(IDLE_TIMEOUT_S)

    def pause_reading(self) -> None:
        """Stops reading from the gateway while the server does not read."""
        self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Reads from the gateway again."""
        self.transport.resume_reading()

    # End.

    def _start_timer(self, delay_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self.abort)

    def _end(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._connecting is not None:
            self._connecting.cancel()
            self._connecting = None
        if self._connection is not None:
            # Closing the connection makes the server stop the request.
            self._connection.close()
            self._connection = None


class RelayServer:
    """Listens for other gateways that need a relay."""

    def __init__(
        self,
        *,
        pool: upstream.Pool,
        check: Callable[[messages.RelayOpen], str],
        report_failure: Callable[[str, str], None],
        write_log: Callable[[notes.Note], None],
        warn: Callable[..., None],
    ) -> None:
        """Makes a server; `start` opens its port.

        Args:
            pool: Connections to servers, shared with the relay's own requests.
            check: Returns why an exchange is refused; empty if it is accepted.
            report_failure: Called with a server to which no connection could
                be opened, and why.
            write_log: Called with a line about each exchange that the end of
                the process ends.
            warn: Called with a description of malformed input.
        """
        self.pool = pool
        self.report_failure = report_failure
        self.warn = warn
        self.sessions: set[_Session] = set()
        self._check = check
        self._write_log = write_log
        self._server: asyncio.Server | None = None

    async def start(self, ip: str, port: int) -> None:
        """Opens the port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Session(self), ip, port
        )

    def check(self, opening: messages.RelayOpen) -> str:
        """Returns why an exchange is refused; empty if it is accepted."""
        reason = self._check(opening)
        if not reason and self.count_active() >= MAX_EXCHANGES:
            return model.RELAY_REFUSED
        return reason

    def count_active(self) -> int:
        """Returns the number of exchanges in progress."""
        return sum(session.is_active for session in self.sessions)

    def count_owed(self) -> int:
        """Returns the number of exchanges whose last byte is not sent yet."""
        return sum(
            session.describe_owed() is not None for session in self.sessions
        )

    def end_exchanges(self) -> None:
        """Ends the exchanges in progress.

        Those of which only the last bytes are not sent yet continue until the
        server is closed.
        """
        for session in list(self.sessions):
            if session.is_active:
                self._end(session)

    def close(self) -> None:
        """Closes the port and all connections."""
        if self._server is not None:
            self._server.close()
        for session in list(self.sessions):
            self._end(session)

    def _end(self, session: _Session) -> None:
        """Closes a connection; the gateway sees its exchange as lost."""
        owed = session.describe_owed()
        if owed is not None:
            now = clock.read_boottime()
            self._write_log(exchanges.describe_end(owed, STOPPING, now))
        session.abort()
