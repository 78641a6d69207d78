"""Connections to replicas: exchanges, and a pool of idle connections."""

from __future__ import annotations

import asyncio
import collections

from hickorylead import verdict as verdict_module
from hickorylead.forwarding import model
from hickorylead.runtime import timeouts, upstream_connection

Verdict = verdict_module.Verdict

# Timeout for opening a connection, in seconds. A replica in the same region
# accepts a connection within about 2 ms; an unreachable replica never does, and
# callers wait in the meantime. A lost SYN is retransmitted after a second,
# which is too late anyway.
CONNECT_TIMEOUT_S = 0.15


class Exchange:
    """One request to one replica."""

    def __init__(
        self, pool: Pool, address: str, receiver: upstream_connection.Receiver
    ) -> None:
        """Makes an exchange; `Pool.send_request` starts it."""
        self._pool = pool
        self._address = address
        self._receiver = receiver
        self._connection: upstream_connection.Connection | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self, data: bytes, *, fresh: bool) -> None:
        """Sends a request over a pooled connection, or over a new one."""
        connection = None if fresh else self._pool.acquire(self._address)
        if connection is not None:
            self._connection = connection
            connection.send(data, self._receiver)
            return
        self._task = asyncio.ensure_future(self._connect(data))

    def cancel(self) -> None:
        """Closes the connection, so that the replica stops the request."""
        if self._task is not None:
            self._task.cancel()
        if self._connection is not None:
            self._connection.close()

    def pause_reading(self) -> None:
        """Stops reading the response."""
        if self._connection is not None:
            self._connection.pause_reading()

    def resume_reading(self) -> None:
        """Reads the response again."""
        if self._connection is not None:
            self._connection.resume_reading()

    async def _connect(self, data: bytes) -> None:
        found = await self._pool.try_connect(self._address)
        if isinstance(found, str):
            self._receiver.on_failure(Verdict.NOT_RUN, found)
            return
        self._connection = found
        self._receiver.on_connected()
        found.send(data, self._receiver)


class Pool:
    """Idle connections to all replicas, newest first."""

    def __init__(self, bind_ip: str = "") -> None:
        """Makes a pool without connections.

        Args:
            bind_ip: Source IP address of connections; empty for any.
        """
        self._bind = (bind_ip, 0) if bind_ip else None
        self._idle: dict[
            str, collections.deque[upstream_connection.Connection]
        ] = collections.defaultdict(collections.deque)
        self.opened_count = 0

    def send_request(
        self,
        address: str,
        data: bytes,
        receiver: upstream_connection.Receiver,
        *,
        fresh: bool = False,
    ) -> Exchange:
        """Sends a request and returns its exchange.

        Args:
            address: `ip:port` of the replica.
            data: The request, head and body.
            receiver: Receives the response.
            fresh: Whether a new connection must be used.
        """
        exchange = Exchange(self, address, receiver)
        exchange.start(data, fresh=fresh)
        return exchange

    def acquire(self, address: str) -> upstream_connection.Connection | None:
        """Returns an idle connection that its server still keeps open."""
        idle = self._idle.get(address)
        now = asyncio.get_running_loop().time()
        while idle:
            connection = idle.pop()
            if connection.is_usable and now < connection.usable_until:
                return connection
            connection.close()
        return None

    async def try_connect(
        self, address: str
    ) -> upstream_connection.Connection | str:
        """Returns a new connection, or the code of why there is none."""
        try:
            async with timeouts.limit_time(CONNECT_TIMEOUT_S):
                return await self._connect(address)
        except TimeoutError:
            return model.CONNECT_TIMEOUT
        except OSError:
            return model.CONNECT_REFUSED

    async def probe(self, address: str) -> str:
        """Opens a connection for later use; returns why it failed, if so."""
        found = await self.try_connect(address)
        if isinstance(found, str):
            return found
        found.end_tunnel(upstream_connection.DEFAULT_KEEPALIVE_S)
        return ""

    async def _connect(self, address: str) -> upstream_connection.Connection:
        ip, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.opened_count += 1
        _, connection = await loop.create_connection(
            lambda: upstream_connection.Connection(
                lambda c: self._add_idle(address, c)
            ),
            ip,
            int(port),
            local_addr=self._bind,
        )
        return connection

    def close_idle(self) -> None:
        """Closes expired idle connections; to be called periodically."""
        now = asyncio.get_running_loop().time()
        for address, idle in list(self._idle.items()):
            for connection in [c for c in idle if now >= c.usable_until]:
                idle.remove(connection)
                connection.close()
            if not idle:
                del self._idle[address]

    def close(self) -> None:
        """Closes all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()

    def _add_idle(
        self, address: str, connection: upstream_connection.Connection
    ) -> None:
        if connection.is_usable:
            self._idle[address].append(connection)
