"""HTTP server that runs in the event loop of the process."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING, Any

import uvicorn

if TYPE_CHECKING:
    from collections.abc import Iterator


class _Server(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Installs no handlers: the process itself stops gracefully."""
        yield


class HttpServer:
    """Serves one application on one port."""

    def __init__(self, app: Any, ip: str, port: int) -> None:
        """Makes a server; `start` opens its port.

        Args:
            app: The ASGI application.
            ip: IP address.
            port: TCP port.
        """
        # uvloop contains io_uring code, which is not allowed on these machines.
        config = uvicorn.Config(
            app,
            host=ip,
            port=port,
            loop="asyncio",
            http="httptools",
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            timeout_graceful_shutdown=5,
        )
        self._server = _Server(config)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Opens the port; returns once it accepts connections."""
        self._task = asyncio.create_task(self._server.serve())
        while not self._server.started:
            if self._task.done():
                self._task.result()
                raise OSError("the HTTP server did not start")
            await asyncio.sleep(0.01)

    @property
    def task(self) -> asyncio.Task[None]:
        """The task that serves; it runs until the server is closed."""
        assert self._task is not None, "the server was started"
        return self._task

    def stop_listening(self) -> None:
        """Stops accepting connections; the open ones continue."""
        for server in self._server.servers:
            server.close()

    async def close(self) -> None:
        """Closes the open connections and stops the server."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task


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
