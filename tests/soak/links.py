"""A proxy before every port, and the faults of the links between nodes.

Each node is reached at an address of its own on which a proxy listens, and
binds another one; connections it opens come from that. So the proxy knows both
ends of a link, and can hold up, slow, silence or reset it one way or both.
"""

from __future__ import annotations

import asyncio
import contextlib

import attrs


@attrs.define
class Rule:
    """What happens to bytes on some links, until it is taken away.

    Attributes:
        sources: IP numbers that the bytes come from; None for any.
        targets: IP numbers that they go to; None for any.
        delay_s: How long they are held up; infinite for a cut.
    """

    sources: frozenset[str] | None
    targets: frozenset[str] | None
    delay_s: float

    def covers(self, source: str, target: str) -> bool:
        """Says whether bytes from one node to another are concerned."""
        return (self.sources is None or source in self.sources) and (
            self.targets is None or target in self.targets
        )


class Connection:
    """One connection through a proxy."""

    def __init__(self, links: Links, caller: str, server: str) -> None:
        """Makes a connection between two nodes."""
        self.caller = caller
        self.server = server
        self.is_silent = False
        self._links = links
        self._writers: list[asyncio.StreamWriter] = []

    async def run(self, reader, writer, ip: str, port: int) -> None:
        """Carries bytes both ways until one end closes."""
        self._writers.append(writer)
        try:
            await self._links.wait(self.caller, self.server)
            there, back = await asyncio.open_connection(ip, port)
            self._writers.append(back)
            ways = (
                self._pump(reader, back, self.caller, self.server),
                self._pump(there, writer, self.server, self.caller),
            )
            await asyncio.gather(*ways)
        except (OSError, asyncio.CancelledError):
            # One end is gone: the other one must see it, too.
            self.reset()
        finally:
            for end in self._writers:
                end.close()

    async def _pump(self, reader, writer, source: str, target: str) -> None:
        while data := await reader.read(65536):
            await self._links.wait(source, target)
            if not self.is_silent:
                writer.write(data)
                await writer.drain()
        await self._links.wait(source, target)
        if not self.is_silent:
            with contextlib.suppress(OSError):
                writer.write_eof()

    def reset(self) -> None:
        """Ends the connection at once, at both ends."""
        for writer in self._writers:
            writer.transport.abort()


class Links:
    """All proxies, and the rules of the links."""

    def __init__(self) -> None:
        """Makes links that work."""
        self.rules: list[Rule] = []
        self._connections: set[Connection] = set()
        self._servers: list[asyncio.Server] = []
        self._changed = asyncio.Event()

    async def open(self, ip: str, port: int, target_ip: str) -> None:
        """Opens a proxy before a port of a node."""

        async def serve(reader, writer) -> None:
            caller = writer.get_extra_info("peername")[0]
            connection = Connection(self, caller, target_ip)
            self._connections.add(connection)
            try:
                await connection.run(reader, writer, target_ip, port)
            except asyncio.CancelledError:
                # The run is over.
                writer.transport.abort()
            finally:
                self._connections.discard(connection)

        self._servers.append(await asyncio.start_server(serve, ip, port))

    def add(self, rule: Rule) -> None:
        """Puts a rule in force."""
        self.rules.append(rule)

    def remove(self, rule: Rule) -> None:
        """Takes a rule away; what it held up goes on."""
        self.rules.remove(rule)
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self, source: str, target: str) -> None:
        """Waits as long as the rules hold up bytes on a link."""
        delayed = False
        while True:
            delays = [r.delay_s for r in self.rules if r.covers(source, target)]
            worst = max(delays, default=0.0)
            if worst == float("inf"):
                await self._changed.wait()
            elif worst > 0 and not delayed:
                await asyncio.sleep(worst)
                delayed = True
            else:
                return

    def find(self, ips: frozenset[str]) -> list[Connection]:
        """Returns the connections with an end at one of some nodes."""
        return [
            c for c in self._connections if c.caller in ips or c.server in ips
        ]

    def close(self) -> None:
        """Closes everything."""
        for server in self._servers:
            server.close()
        for connection in list(self._connections):
            connection.reset()
