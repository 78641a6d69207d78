"""Proxies in front of all ports, and the faults of links between nodes.

Each node has two addresses: a proxy listens on one, and the node itself binds
the other one, from which its outgoing connections come too. So the proxy can
identify both ends of a link, and can block, delay, blackhole or reset it. Rules
that block or delay apply to one direction; two of them cover both.
"""

from __future__ import annotations

import asyncio
import contextlib

import attrs


@attrs.define
class Rule:
    """Delay of the bytes on some links, in force until it is removed.

    Attributes:
        sources: IP addresses that the bytes come from; None for any.
        targets: IP addresses that they go to; None for any.
        delay_s: How long they are delayed; infinite for a partition.
    """

    sources: frozenset[str] | None
    targets: frozenset[str] | None
    delay_s: float

    def covers(self, source: str, target: str) -> bool:
        """Returns whether the rule applies to bytes from source to target."""
        return (self.sources is None or source in self.sources) and (
            self.targets is None or target in self.targets
        )


class Connection:
    """One connection through a proxy."""

    def __init__(self, links: Links, caller: str, server: str) -> None:
        """Makes a connection between two nodes."""
        self.caller = caller
        self.server = server
        self.is_blackholed = False
        self._links = links
        self._writers: list[asyncio.StreamWriter] = []

    async def run(self, reader, writer, ip: str, port: int) -> None:
        """Forwards bytes in both directions until one end closes."""
        self._writers.append(writer)
        try:
            await self._links.wait(self.caller, self.server)
            server_reader, server_writer = await asyncio.open_connection(
                ip, port
            )
            self._writers.append(server_writer)
            transfers = (
                self._forward(reader, server_writer, self.caller, self.server),
                self._forward(server_reader, writer, self.server, self.caller),
            )
            await asyncio.gather(*transfers)
        except (OSError, asyncio.CancelledError):
            # One end is gone: the other one must be disconnected too.
            self.reset()
        finally:
            for each in self._writers:
                each.close()

    async def _forward(self, reader, writer, source: str, target: str) -> None:
        while data := await reader.read(65536):
            await self._links.wait(source, target)
            if not self.is_blackholed:
                writer.write(data)
                await writer.drain()
        await self._links.wait(source, target)
        if not self.is_blackholed:
            with contextlib.suppress(OSError):
                writer.write_eof()

    def reset(self) -> None:
        """Resets the connection at both ends."""
        for writer in self._writers:
            writer.transport.abort()


class Links:
    """All proxies, and the rules for the links between nodes."""

    def __init__(self) -> None:
        """Makes links without faults."""
        self.rules: list[Rule] = []
        self._connections: set[Connection] = set()
        self._servers: list[asyncio.Server] = []
        self._changed = asyncio.Event()

    async def open(self, ip: str, port: int, target_ip: str) -> None:
        """Opens a proxy in front of a port of a node."""

        async def serve(reader, writer) -> None:
            caller = writer.get_extra_info("peername")[0]
            connection = Connection(self, caller, target_ip)
            self._connections.add(connection)
            try:
                await connection.run(reader, writer, target_ip, port)
            except asyncio.CancelledError:
                # The event loop ends at the end of the run.
                writer.transport.abort()
            finally:
                self._connections.discard(connection)

        self._servers.append(await asyncio.start_server(serve, ip, port))

    def add(self, rule: Rule) -> None:
        """Adds a rule."""
        self.rules.append(rule)

    def remove(self, rule: Rule) -> None:
        """Removes a rule; bytes that it blocked are forwarded."""
        self.rules.remove(rule)
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self, source: str, target: str) -> None:
        """Waits as long as the rules delay bytes on a link."""
        delayed = False
        while True:
            delays = [r.delay_s for r in self.rules if r.covers(source, target)]
            longest = max(delays, default=0.0)
            if longest == float("inf"):
                await self._changed.wait()
            elif longest > 0 and not delayed:
                await asyncio.sleep(longest)
                delayed = True
            else:
                return

    def find(self, ips: frozenset[str]) -> list[Connection]:
        """Returns the connections that start or end at any of these nodes."""
        return [
            c for c in self._connections if c.caller in ips or c.server in ips
        ]

    def close(self) -> None:
        """Closes all proxies and resets all connections."""
        for server in self._servers:
            server.close()
        for connection in list(self._connections):
            connection.reset()
