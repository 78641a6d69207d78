"""A relay between a gateway and a replica, on loopback sockets."""

from __future__ import annotations

import asyncio

from hickorylead import notes
from hickorylead.forwarding import model
from hickorylead.relaying import relay_directory
from hickorylead.runtime import relay_client, relay_server, upstream

TOKEN = "token"


class RelayPath:
    """One relay, and the connections of one gateway to it."""

    def __init__(self, refusal: str = "") -> None:
        """Makes a relay; `start` opens its port.

        Args:
            refusal: Why it refuses exchanges; empty if it accepts them.
        """
        self.refusal = refusal
        self.warnings: list[str] = []
        self.failures: list[tuple[str, str]] = []
        self.lines: list[notes.Note] = []
        self.server_pool = upstream.Pool()
        self.server = relay_server.RelayServer(
            pool=self.server_pool,
            check=self._check,
            report_failure=lambda *failed: self.failures.append(failed),
            write_log=self.lines.append,
            warn=self._warn,
        )
        self.pool = relay_client.RelayPool(self._warn)
        self.relay = relay_directory.Relay(
            "z1/front2/gateway", "", TOKEN, frozenset(), 0.0
        )

    def _check(self, opening) -> str:
        return self.refusal or ("" if opening.token == TOKEN else "wrong_token")

    def _warn(self, message: str, **fields) -> None:
        self.warnings.append(f"{message} {fields}")

    async def start(self) -> None:
        """Opens the relay's port."""
        await self.server.start("127.0.0.1", 0)
        listening = self.server._server.sockets[0]
        self.relay.address = f"127.0.0.1:{listening.getsockname()[1]}"

    def send(
        self,
        address: str,
        data: bytes,
        receiver,
        limit_s: float = 5.0,
        request_id: str = "",
    ) -> relay_client.RelayExchange:
        """Sends a request through the relay."""
        replica = model.Replica("i-1", "plain", "", address, "z1", 6)
        return self.pool.send_request(
            self.relay, replica, data, limit_s, receiver, request_id
        )

    def close(self) -> None:
        """Closes all connections."""
        self.pool.close()
        self.server.close()
        self.server_pool.close()


class ScriptedReplica:
    """A replica whose test decides what it reads and writes, and when."""

    def __init__(self) -> None:
        """Makes a replica; `start` opens its port."""
        self.connections: asyncio.Queue = asyncio.Queue()
        self.count = 0

    async def start(self) -> str:
        """Opens a port; returns the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def _serve(self, reader, writer) -> None:
        self.count += 1
        self.connections.put_nowait((reader, writer))

    def close(self) -> None:
        """Closes the port."""
        self._server.close()


async def wait_for(condition, limit_s: float = 5.0) -> None:
    """Waits until a condition holds."""
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.005)
