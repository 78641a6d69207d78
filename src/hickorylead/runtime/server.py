"""HTTP server that runs in the event loop of the process."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING, Any

import uvicorn

from hickorylead.runtime import (
    client_connection,
    connection_flags,
    fixed_responses,
    http_connection,
    intake as intake_module,
    sockets as sockets_module,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from hickorylead.draining import owed as owed_module


class _Server(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Installs no handlers: the process itself stops gracefully."""
        yield

    async def shutdown(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        """Closes all sockets; what was owed has been ended before."""
        for server in self.servers:
            server.close()
        for listening_socket in sockets or []:
            listening_socket.close()
        for connection in list(self.server_state.connections):
            connection.transport.abort()


class HttpServer:
    """Serves one application on one port."""

    def __init__(
        self,
        app: Any,
        ip: str,
        port: int,
        *,
        protocol: type[
            http_connection.HttpConnection
        ] = client_connection.ClientConnection,
        listening_socket: socket.socket | None = None,
        report_failure: Callable[[owed_module.Owed, BaseException], None]
        | None = None,
        intake: intake_module.Intake | None = None,
        port_name: str = intake_module.CLIENTS,
        memory_full_response: bytes = fixed_responses.MEMORY_FULL,
        **options: Any,
    ) -> None:
        """Makes a server; `start` opens its port.

        Args:
            app: The ASGI application.
            ip: IP address.
            port: TCP port.
            protocol: Class of its connections.
            listening_socket: Socket of its port, if it is already open.
            report_failure: Called with a request whose handler failed, and
                why.
            intake: Accounts for the clients of the process; by default this
                server has an account of its own.
            port_name: Name of its port there.
            memory_full_response: Complete response to an evicted request, which
                announces the end of the connection.
            options: Further options of the HTTP server.
        """
        self._flags = connection_flags.ConnectionFlags(
            port=port_name, memory_full_response=memory_full_response
        )
        if intake is not None:
            self._flags.intake = intake
        if report_failure is not None:
            self._flags.report_failure = report_failure
        config = uvicorn.Config(
            app,
            host=ip,
            port=port,
            # uvloop contains io_uring code, which is not allowed on these
            # machines.
            loop="asyncio",
            http=type("BoundProtocol", (protocol,), {"flags": self._flags}),
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            # Nothing reads the addresses that proxies report.
            proxy_headers=False,
            # The event loop accepts as many connections in one turn, and all of
            # them take a descriptor, also those that are closed at once.
            backlog=min(
                sockets_module.BACKLOG, self._flags.intake.count_acceptable()
            ),
            **options,
        )
        self._listening_socket = listening_socket
        self._server = _Server(config)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Opens the port; returns once it accepts connections."""
        sockets = (
            None if self._listening_socket is None else [self._listening_socket]
        )
        self._task = asyncio.create_task(self._server.serve(sockets=sockets))
        while not self._server.started:
            if self._task.done():
                self._task.result()
                raise OSError("the HTTP server did not start")
            await asyncio.sleep(0.005)
        for server in self._server.servers:
            for listening_socket in server.sockets:
                sockets_module.prepare(listening_socket)

    @property
    def task(self) -> asyncio.Task[None]:
        """The task that serves; it runs until the server is closed."""
        assert self._task is not None, "the server was started"
        return self._task

    @property
    def connections(self) -> list[http_connection.HttpConnection]:
        """The open connections."""
        return [
            connection
            for connection in self._server.server_state.connections
            if isinstance(connection, http_connection.HttpConnection)
        ]

    def get_address(self) -> tuple[str, int]:
        """Returns the IP address and port on which it listens."""
        address = self._server.servers[0].sockets[0].getsockname()
        return address[0], address[1]

    def list_owed(self) -> list[owed_module.Owed]:
        """Returns what the process owes to its callers."""
        found = [c.describe_owed() for c in self.connections]
        return [owed for owed in found if owed is not None]

    def find_connection(
        self, owed: owed_module.Owed
    ) -> http_connection.HttpConnection | None:
        """Returns the connection on which something is owed."""
        for connection in self.connections:
            if connection.number == owed.connection:
                return connection
        return None

    def announce_close(self) -> None:
        """Makes the next head on each connection announce its end."""
        self._flags.closes_after_response = True

    def stop_listening(self) -> None:
        """Stops accepting connections; the open ones continue."""
        for server in self._server.servers:
            server.close()

    def close_kept(self) -> None:
        """Closes idle connections, and the others after their response."""
        for connection in self.connections:
            connection.close_when_done()

    async def close(self) -> None:
        """Closes the open connections and stops the server."""
        if self._task is None:
            return
        if not self._task.done():
            # The server itself would look for its end every 0.1 s.
            await self._server.shutdown()
            self._task.cancel()
        await asyncio.wait([self._task])
        if not self._task.cancelled():
            self._task.result()


def is_port_free(ip: str, port: int) -> bool:
    """Returns whether a port can be opened.

    The HTTP server ends the process if its port cannot be opened.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True
