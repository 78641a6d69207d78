"""The gateway's end: requests through relays."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING

from hickorylead import verdict as verdict_module
from hickorylead.forwarding import model
from hickorylead.relaying import messages
from hickorylead.runtime import (
    relay_connections,
    timeouts,
    upstream,
    upstream_connection,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorylead.relaying import relay_directory

Verdict = verdict_module.Verdict

# Timeout for opening a connection to a relay, in seconds.
CONNECT_TIMEOUT_S = 0.15
# Timeout for a relay's reply, in seconds: it may have to connect to the server.
ACCEPT_TIMEOUT_S = CONNECT_TIMEOUT_S + upstream.CONNECT_TIMEOUT_S
# Time after which an idle connection to a relay is closed, in seconds.
IDLE_TIMEOUT_S = 5.0


class _Channel(relay_connections.RelayProtocol):
    """Connection to a relay; one exchange at a time.

    To the parser of the response it is the transport of a connection to the
    server.
    """

    def __init__(
        self, warn: Callable[..., None], release: Callable[[_Channel], None]
    ) -> None:
        super().__init__(warn)
        self._release = release
        self._reply: asyncio.Future[str] | None = None
        self._connection: upstream_connection.Connection | None = None
        self._received_bytes = 0
        # Whether the server's connection awaits the request, and whether it
        # sent something or ended instead.
        self._awaits_request = False
        self._has_ended_early = False
        self.idle_since = 0.0
        self.is_usable = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.is_usable = True

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        self.is_usable = False
        if self._reply is not None and not self._reply.done():
            self._reply.set_result(model.RELAY_UNREACHABLE)
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.fail(model.RELAY_LOST)

    def handle_message(self, message: messages.ConnectionMessage) -> None:
        match message:
            case messages.RelayAccepted():
                self._awaits_request = True
                self._set_reply("")
            case messages.RelayRefused(reason):
                self._set_reply(reason)
            case messages.RelayData(data) if self._connection is not None:
                self._received_bytes += len(data)
                self._connection.data_received(data)
            case messages.RelayClosed(is_reset) if self._connection is not None:
                connection, self._connection = self._connection, None
                connection.connection_lost(
                    ConnectionResetError() if is_reset else None
                )
                self._release(self)
            case messages.RelayData() | messages.RelayClosed() if (
                self._awaits_request
            ):
                self._has_ended_early = True
            case messages.RelayData() | messages.RelayClosed():
                # The server sent more than its response, or closed its
                # connection after that; the relay does not use it again.
                pass
            case _:
                self._reject(f"unexpected {type(message).__name__}")

    async def open(self, opening: messages.RelayOpen) -> str:
        """Asks for a connection to a server; returns why it is refused."""
        self._reply = asyncio.get_running_loop().create_future()
        self.send(opening)
        reason = await self._reply
        self._awaits_request = False
        if self._has_ended_early:
            # The request would get no response, or a part of another one.
            self.abort()
            return model.RELAY_REFUSED
        return reason

    def start(
        self, data: bytes, receiver: upstream_connection.Receiver
    ) -> None:
        """Sends a request, after the relay has accepted."""
        connection = upstream_connection.Connection(self._finish)
        connection.connection_made(self)
        self._connection = connection
        self._received_bytes = 0
        connection.send(data, receiver)

    def _set_reply(self, reason: str) -> None:
        if self._reply is not None and not self._reply.done():
            self._reply.set_result(reason)

    def _finish(self, connection: upstream_connection.Connection) -> None:
        """Ends an exchange whose response was complete."""
        if self._connection is not connection:
            return
        self._connection = None
        left_s = connection.usable_until - asyncio.get_running_loop().time()
        keepalive_ms = max(0, int(left_s * 1000))
        self.send(messages.RelayFinished(keepalive_ms, self._received_bytes))
        self._release(self)

    # Methods of a transport.

    def write(self, data: bytes) -> None:
        """Sends bytes of the request."""
        self.send_data(data)

    def get_write_buffer_size(self) -> int:
        """Returns the bytes of the request that are not sent yet."""
        return int(self.transport.get_write_buffer_size())

    def abort(self) -> None:
        """Closes the connection, so that the server stops the request."""
        self.is_usable = False
        self._connection = None
        super().abort()


class RelayExchange:
    """One request through a relay."""

    def __init__(self, receiver: upstream_connection.Receiver) -> None:
        """Makes an exchange; `RelayPool.send_request` starts it."""
        self._receiver = receiver
        self._channel: _Channel | None = None
        self._task: asyncio.Task[None] | None = None

    def start(
        self,
        pool: RelayPool,
        address: str,
        opening: messages.RelayOpen,
        data: bytes,
    ) -> None:
        """Opens the exchange; sends the request once the relay accepts."""
        self._task = asyncio.ensure_future(
            self._run(pool, address, opening, data)
        )

    def cancel(self) -> None:
        """Closes the connection, so that the server stops the request."""
        if self._task is not None:
            self._task.cancel()
        if self._channel is not None:
            self._channel.abort()

    def pause_reading(self) -> None:
        """Stops reading the response."""
        if self._channel is not None and self._channel.is_usable:
            self._channel.transport.pause_reading()

    def resume_reading(self) -> None:
        """Reads the response again."""
        if self._channel is not None and self._channel.is_usable:
            self._channel.transport.resume_reading()

    async def _run(
        self,
        pool: RelayPool,
        address: str,
        opening: messages.RelayOpen,
        data: bytes,
    ) -> None:
        try:
            async with timeouts.limit_time(CONNECT_TIMEOUT_S):
                channel = await pool.acquire(address)
        except (OSError, TimeoutError):
            self._fail(model.RELAY_UNREACHABLE)
            return
        self._channel = channel
        try:
            async with timeouts.limit_time(ACCEPT_TIMEOUT_S):
                reason = await channel.open(opening)
        except TimeoutError:
            reason = model.RELAY_UNREACHABLE
            channel.abort()
        if not reason and channel.is_usable:
            channel.start(data, self._receiver)
            return
        reason = reason or model.RELAY_UNREACHABLE
        # Nothing of the request was sent.
        self._channel = None
        pool.release(address, channel)
        is_known = reason in model.UNSENT_FAILURES
        self._fail(reason if is_known else model.RELAY_REFUSED)

    def _fail(self, reason: str) -> None:
        self._receiver.on_failure(Verdict.NOT_RUN, reason)


class RelayPool:
    """Connections to relays."""

    def __init__(self, warn: Callable[..., None], bind_ip: str = "") -> None:
        """Makes a pool without connections.

        Args:
            warn: Called with a description of malformed input.
            bind_ip: Source IP address of connections; empty for any.
        """
        self._warn = warn
        self._bind = (bind_ip, 0) if bind_ip else None
        self._idle: dict[str, list[_Channel]] = collections.defaultdict(list)
        self.request_count = 0

    def send_request(
        self,
        relay: relay_directory.Relay,
        replica: model.Replica,
        data: bytes,
        limit_s: float,
        receiver: upstream_connection.Receiver,
        request_id: str = "",
    ) -> RelayExchange:
        """Sends a request through a relay and returns its exchange.

        Args:
            relay: The relay.
            replica: The server that is to run the request.
            data: The request, head and body.
            limit_s: Time after which the relay ends the exchange, in seconds.
            receiver: Receives the response.
            request_id: Id of the request, for the log of the relay.
        """
        self.request_count += 1
        exchange = RelayExchange(receiver)
        opening = messages.RelayOpen(
            relay.token,
            replica.name,
            replica.address,
            int(limit_s * 1000),
            request_id,
        )
        exchange.start(self, relay.address, opening, data)
        return exchange

    async def acquire(self, address: str) -> _Channel:
        """Returns an idle connection to a relay, or a new one."""
        idle = self._idle[address]
        while idle:
            channel = idle.pop()
            if channel.is_usable:
                return channel
        ip, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        _, channel = await loop.create_connection(
            lambda: _Channel(self._warn, lambda c: self.release(address, c)),
            ip,
            int(port),
            local_addr=self._bind,
        )
        return channel

    def release(self, address: str, channel: _Channel) -> None:
        """Keeps a connection for the next request."""
        if channel.is_usable:
            channel.idle_since = asyncio.get_running_loop().time()
            self._idle[address].append(channel)

    def close_idle(self) -> None:
        """Closes connections that were idle for long; called periodically."""
        now = asyncio.get_running_loop().time()
        for address, idle in list(self._idle.items()):
            for channel in [*idle]:
                if now - channel.idle_since >= IDLE_TIMEOUT_S:
                    idle.remove(channel)
                    channel.abort()
            if not idle:
                del self._idle[address]

    def close(self) -> None:
        """Closes all idle connections."""
        for idle in self._idle.values():
            for channel in idle:
                channel.abort()
        self._idle.clear()
