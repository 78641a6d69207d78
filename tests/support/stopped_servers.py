"""HTTP servers of a process that is stopped within the test's event loop."""

from __future__ import annotations

import asyncio
import contextlib
from unittest import mock

import attrs

from hickorylead.runtime import clock, server

LIMIT_S = 20


class RecordedServer(server.HttpServer):
    """A server that can be found by the test."""

    opened: list[RecordedServer] = []

    async def start(self) -> None:
        """Opens the port; returns once it accepts connections."""
        RecordedServer.opened.append(self)
        await super().start()


@contextlib.contextmanager
def record():
    """Records the servers that are opened."""
    RecordedServer.opened.clear()
    with mock.patch.object(server, "HttpServer", RecordedServer):
        yield


@attrs.define
class Answer:
    """What a caller received.

    Attributes:
        raw: All bytes.
        after_s: When the connection ended, in seconds after the request.
        was_reset: Whether the connection was reset, if the test looks at that.
    """

    raw: bytes = b""
    after_s: float = 0.0
    was_reset: bool = False

    @property
    def status(self) -> int:
        """Status of the response; 0 without one."""
        head, separator, _ = self.raw.partition(b"\r\n\r\n")
        return int(head.split()[1]) if separator else 0

    @property
    def body(self) -> bytes:
        """The body as received."""
        return self.raw.partition(b"\r\n\r\n")[2]

    @property
    def is_complete(self) -> bool:
        """Whether all of a body with a length, or in chunks, has arrived."""
        length = self.read_header("content-length")
        if length:
            return len(self.body) == int(length)
        return self.body.endswith(b"0\r\n\r\n")

    def read_header(self, name: str) -> str:
        """Returns a header; empty if there is none."""
        head = self.raw.partition(b"\r\n\r\n")[0].decode()
        for line in head.splitlines()[1:]:
            key, _, value = line.partition(":")
            if key.lower() == name:
                return value.strip()
        return ""


class Caller:
    """A raw connection of a caller."""

    def __init__(self, address: str) -> None:
        """Makes a caller of an `ip:port`."""
        self._address = address
        self.answer = Answer()

    async def connect(self) -> Caller:
        """Opens the connection.

        Raises:
            OSError: The port is closed.
        """
        ip, _, port = self._address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(ip, int(port))
        return self

    def send(self, data: bytes) -> None:
        """Sends bytes; the connection may be closed already."""
        with contextlib.suppress(OSError):
            self.writer.write(data)

    async def receive(self) -> Answer:
        """Receives until the connection ends."""
        began = clock.read_boottime()
        with contextlib.suppress(OSError):
            while data := await self.reader.read(65536):
                self.answer.raw += data
        self.answer.after_s = clock.read_boottime() - began
        self.writer.close()
        return self.answer


async def wait_for_end(task: asyncio.Task, ip: str = "") -> None:
    """Waits for a process's end; closes its sockets, as the kernel does.

    Args:
        task: Runs the process.
        ip: Its address; all servers if empty.
    """
    await asyncio.wait([task], timeout=LIMIT_S)
    for opened in RecordedServer.opened:
        if not ip or opened._server.config.host == ip:
            for connection in list(opened._server.server_state.connections):
                connection.transport.abort()
