"""Connections to the other processes of the system.

Each process dials the ones it sends to. The other side acknowledges what it
read, so that a connection that something in between has lost track of is
noticed and replaced, instead of swallowing messages for good.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
from typing import TYPE_CHECKING, Any, Protocol

from returns import result

from hickorylead.wire import codec, frame

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from hickorylead.roles import interface

CONNECT_TIMEOUT_S = 1.0
ACK_TIMEOUT_S = 2.0
# A process that starts a moment after this one is met this soon, in seconds.
RETRY_PAUSE_S = 0.1
# A node that is away must not fill the memory; what is dropped is repeated by
# the protocols above.
MAX_WAITING = 2000
_READ_BYTES = 64 * 1024
_ACK = b"\1"


def split_address(address: str) -> tuple[str, int]:
    """Returns IP number and port of `ip:port`."""
    ip, _, port = address.rpartition(":")
    return ip.strip("[]"), int(port)


class Warner(Protocol):
    """Where trouble is told that was handled."""

    def warn(self, message: str, **fields: Any) -> None:
        """Writes a line."""


class _Link:
    """The way to one node."""

    def __init__(self, address: str, bind_ip: str) -> None:
        self.address = address
        self._bind = (bind_ip, 0) if bind_ip else None
        self.waiting: collections.deque[bytes] = collections.deque(
            maxlen=MAX_WAITING
        )
        self.wake = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Sends what waits, over one connection after another."""
        while True:
            await self._wait_for_work(None)
            with contextlib.suppress(OSError, TimeoutError):
                await self._run_connection()
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _run_connection(self) -> None:
        ip, port = split_address(self.address)
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                ip, port, local_addr=self._bind
            )
        try:
            while True:
                while self.waiting:
                    writer.write(frame.pack_frame(self.waiting.popleft()))
                async with asyncio.timeout(ACK_TIMEOUT_S):
                    await writer.drain()
                    if not await reader.read(_READ_BYTES):
                        return
                await self._wait_for_work(reader)
        finally:
            writer.close()

    async def _wait_for_work(self, reader: asyncio.StreamReader | None) -> None:
        while not self.waiting:
            if reader is not None and reader.at_eof():
                return
            self.wake.clear()
            await self.wake.wait()


class Peers:
    """All connections of one process."""

    def __init__(
        self,
        *,
        node: str,
        address: str,
        known: Mapping[str, str],
        deliver: Callable[[str, interface.Message], None],
        log: Warner,
        bind_ip: str = "",
    ) -> None:
        """Makes the connections of a process; `start` opens them.

        Args:
            node: Name of this process.
            address: `ip:port` on which it takes messages.
            known: Addresses by node, from the settings.
            deliver: Called with each message and its sender.
            log: Where trouble is told.
            bind_ip: IP number to listen on and to call from, if it is not
                that of the address.
        """
        self._bind_ip = bind_ip
        self._node = node
        self._address = address
        self._addresses = dict(known)
        self._fixed = frozenset(known)
        self._deliver = deliver
        self._log = log
        self._links: dict[str, _Link] = {}
        self._last_encoded: tuple[interface.Message | None, bytes] = (None, b"")
        self._server: asyncio.Server | None = None
        self._handlers: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts to take messages."""
        ip, port = split_address(self._address)
        self._server = await asyncio.start_server(
            self._serve, self._bind_ip or ip, port
        )

    async def close(self) -> None:
        """Closes all connections."""
        if self._server is not None:
            self._server.close()
        tasks = [link.task for link in self._links.values() if link.task]
        for task in [*tasks, *self._handlers]:
            task.cancel()
        await asyncio.gather(*tasks, *self._handlers, return_exceptions=True)

    def send(self, node: str, message: interface.Message) -> None:
        """Sends a message; it is dropped if the node's address is unknown."""
        if node == self._node:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._deliver, node, message)
            return
        address = self._addresses.get(node)
        if node.startswith("@"):
            # Its name is not known yet: a seed.
            address = node[1:]
        if address is None:
            return
        link = self._links.get(node)
        if link is None or link.address != address:
            if link is not None and link.task is not None:
                link.task.cancel()
            link = self._links[node] = _Link(address, self._bind_ip)
            link.task = asyncio.create_task(link.run())
        link.waiting.append(self._encode(message))
        link.wake.set()

    def _encode(self, message: interface.Message) -> bytes:
        """Returns the bytes of a message; one to many nodes is encoded once."""
        last, payload = self._last_encoded
        if last is not message:
            envelope = codec.Envelope(self._node, self._address, message)
            payload = codec.encode_envelope(envelope)
            self._last_encoded = (message, payload)
        return payload

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._handlers.add(task)
        frames = frame.FrameReader()
        try:
            while data := await reader.read(_READ_BYTES):
                for payload in frames.feed(data):
                    self._receive(payload)
                writer.write(_ACK)
                await writer.drain()
        except frame.FrameError as error:
            self._log.warn("bad frame", detail=str(error))
        except (OSError, asyncio.CancelledError):
            # The other side is gone, or this process ends.
            pass
        finally:
            self._handlers.discard(task)
            writer.close()

    def _receive(self, payload: bytes) -> None:
        match codec.decode_envelope(payload):
            case result.Success(envelope):
                if envelope.sender not in self._fixed:
                    self._addresses[envelope.sender] = envelope.address
                self._deliver(envelope.sender, envelope.message)
            case result.Failure(problem):
                self._log.warn("bad message", detail=problem)
