"""An event loop in simulated time, whose connections need no sockets."""

from __future__ import annotations

import asyncio
import collections
import contextlib
from typing import TYPE_CHECKING, Any
from unittest import mock

from hickorylead.runtime import clock

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

LATENCY_S = 0.001
# Bytes that the kernels of both sides hold for a reader.
KERNEL_BYTES = 64 * 1024
HIGH_WATER_BYTES = 64 * 1024
LOW_WATER_BYTES = 16 * 1024


class _Reset:
    """A reset on its way."""


class Socket:
    """What is asked of a listening socket."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address

    def getsockname(self) -> tuple[str, int]:
        """Returns the address."""
        return self._address

    def dup(self) -> Socket:
        """Returns itself: nothing has to be closed."""
        return self

    def setsockopt(self, *_: int) -> None:
        """Sets nothing."""

    def listen(self, _: int) -> None:
        """Listens already."""

    def close(self) -> None:
        """Closes nothing."""


class Server:
    """A listening port."""

    def __init__(
        self, loop: Loop, factory: Callable[[], Any], address: tuple[str, int]
    ) -> None:
        self._loop = loop
        self.factory = factory
        self.address = address
        self.sockets = (Socket(address),)

    def close(self) -> None:
        """Stops listening."""
        if self._loop.servers.get(self.address) is self:
            del self._loop.servers[self.address]

    async def wait_closed(self) -> None:
        """Returns at once."""

    def is_serving(self) -> bool:
        """Returns whether it listens."""
        return self._loop.servers.get(self.address) is self


class Transport(asyncio.Transport):
    """One end of a connection: a buffer of its process, and a kernel."""

    def __init__(self, loop: Loop, address: tuple[str, int]) -> None:
        super().__init__()
        self._loop = loop
        self._address = address
        self.protocol: Any = None
        self.other: Transport = self
        self._buffer = bytearray()
        # Bytes on the way to the other end or in its kernel.
        self._sent_bytes = 0
        # What arrives, in order: bytes, None for the end, or a reset.
        self._arriving: collections.deque[bytes | None | _Reset] = (
            collections.deque()
        )
        self._unread: collections.deque[bytes | None] = collections.deque()
        self._is_reading = True
        self._is_closing = False
        self._has_eof = False
        self._is_eof_sent = False
        self._is_paused = False
        self.is_lost = False
        # Number of bytes that were read, and when.
        self.read_bytes = 0
        self.reads: list[tuple[int, float]] = []

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Returns the address of the other end."""
        return self._address if name in ("peername", "sockname") else default

    # What the process does.

    def write(self, data: bytes) -> None:
        """Sends bytes."""
        if self._has_eof:
            raise RuntimeError("Cannot call write() after write_eof()")
        if self._is_closing or not data:
            return
        self._buffer += data
        self._push()
        if len(self._buffer) > HIGH_WATER_BYTES and not self._is_paused:
            self._is_paused = True
            self.protocol.pause_writing()

    def write_eof(self) -> None:
        """Ends what is sent."""
        if not self._has_eof and not self._is_closing:
            self._has_eof = True
            self._push()

    def can_write_eof(self) -> bool:
        """Returns whether it can."""
        return True

    def get_write_buffer_size(self) -> int:
        """Returns the number of bytes that the kernel has not taken."""
        return len(self._buffer)

    def is_closing(self) -> bool:
        """Returns whether it is closing or closed."""
        return self._is_closing

    def pause_reading(self) -> None:
        """Reads nothing more."""
        self._is_reading = False

    def resume_reading(self) -> None:
        """Reads again."""
        if not self._is_reading and not self._is_closing:
            self._is_reading = True
            self._loop.call_soon(self._read)

    def close(self) -> None:
        """Closes the connection once the kernel has taken all bytes."""
        if not self._is_closing:
            self._is_closing = True
            if not self._buffer:
                self._loop.call_soon(self._lose, None)

    def abort(self) -> None:
        """Closes the connection at once."""
        if not self.is_lost:
            self._is_closing = True
            self._buffer.clear()
            self._loop.call_soon(self._lose, None)

    # What the kernels do.

    def end_process(self) -> None:
        """Closes the connection without the process, which has ended."""
        self._buffer.clear()
        self._is_closing = True
        if not self.is_lost:
            self._close_socket()

    def _push(self) -> None:
        size = min(len(self._buffer), KERNEL_BYTES - self._sent_bytes)
        if size > 0:
            data = bytes(self._buffer[:size])
            del self._buffer[:size]
            self._sent_bytes += size
            self.other._transfer(data)
        if self._is_paused and len(self._buffer) <= LOW_WATER_BYTES:
            self._is_paused = False
            self.protocol.resume_writing()
        if self._buffer:
            return
        if self._is_closing and not self.is_lost:
            self._loop.call_soon(self._lose, None)
        elif self._has_eof and not self._is_eof_sent:
            self._is_eof_sent = True
            self.other._transfer(None)

    def _transfer(self, data: bytes | None | _Reset) -> None:
        self._arriving.append(data)
        self._loop.call_later(LATENCY_S, self._arrive)

    def _arrive(self) -> None:
        data = self._arriving.popleft()
        if isinstance(data, _Reset):
            self._reset()
            return
        if self.is_lost:
            if data is not None:
                # The end that reads no more resets the connection.
                self.other._transfer(_Reset())
            return
        self._unread.append(data)
        self._read()

    def _read(self) -> None:
        while self._unread and self._is_reading and not self._is_closing:
            data = self._unread.popleft()
            if data is None:
                if not self.protocol.eof_received():
                    self.close()
                return
            self.other._sent_bytes -= len(data)
            self.read_bytes += len(data)
            self.reads.append((self.read_bytes, self._loop.time()))
            self.protocol.data_received(data)
            if self.other._buffer:
                self._loop.call_soon(self.other._push)

    def _reset(self) -> None:
        if self.is_lost:
            return
        self._unread.clear()
        self._buffer.clear()
        self._is_closing = True
        self._lose(ConnectionResetError("reset"))

    def _lose(self, error: Exception | None) -> None:
        if self.is_lost:
            return
        self._close_socket()
        self.protocol.connection_lost(error)

    def _close_socket(self) -> None:
        self.is_lost = True
        self._loop.transports.discard(self)
        if any(data is not None for data in self._unread):
            # A socket that is closed with unread bytes resets.
            self.other._transfer(_Reset())
        elif not self._is_eof_sent:
            self._is_eof_sent = True
            self.other._transfer(None)


class Loop(asyncio.BaseEventLoop):
    """An event loop that waits in no time.

    Attributes:
        servers: The listening ports by address.
        handlers: The handlers of signals.
        transports: The open ends of connections of the process under test.
        unreachable: Addresses to which that process cannot connect.
    """

    def __init__(self, now: float) -> None:
        """Makes a loop whose clock shows a time, in seconds."""
        super().__init__()
        self._now = now
        self._selector = self
        self.servers: dict[tuple[str, int], Server] = {}
        self.handlers: dict[int, Callable[[], None]] = {}
        self.transports: set[Transport] = set()
        self.unreachable: set[str] = set()

    def time(self) -> float:
        """Returns the simulated time, in seconds."""
        return self._now

    def select(self, timeout: float | None) -> list[Any]:
        """Advances the time to that of the next timer."""
        if timeout is None:
            raise RuntimeError("all tasks wait for something that never comes")
        self._now += timeout
        return []

    def _process_events(self, event_list: list[Any]) -> None:
        assert not event_list

    def add_signal_handler(
        self, sig: int, callback: Callable[..., Any], *args: Any
    ) -> None:
        """Records the handler of a signal."""
        self.handlers[sig] = lambda: callback(*args)

    async def create_server(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], Any],
        host: str = "",
        port: int = 0,
        **_: Any,
    ) -> Server:
        """Opens a port."""
        server = Server(self, protocol_factory, (host, port))
        self.servers[host, port] = server
        return server

    async def create_connection(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], Any],
        host: str = "",
        port: int = 0,
        *,
        local_addr: tuple[str, int] | None = None,
        **_: Any,
    ) -> tuple[Transport, Any]:
        """Connects to a port; only the process under test has an address."""
        await asyncio.sleep(LATENCY_S)
        server = self.servers.get((host, port))
        is_cut = local_addr is not None and host in self.unreachable
        if server is None or is_cut:
            raise ConnectionRefusedError(f"{host}:{port}")
        near, far = (Transport(self, (host, port)) for _ in range(2))
        near.other, far.other = far, near
        near.protocol, far.protocol = protocol_factory(), server.factory()
        for end, is_own in ((near, local_addr), (far, port < 1000)):
            if is_own:
                self.transports.add(end)
        far.protocol.connection_made(far)
        near.protocol.connection_made(near)
        return near, near.protocol

    def end_process(self) -> None:
        """Closes what the process under test has left open."""
        for server in list(self.servers.values()):
            if server.address[1] < 1000:
                server.close()
        for transport in list(self.transports):
            transport.end_process()


@contextlib.contextmanager
def simulate(now: float) -> Iterator[Loop]:
    """Yields a loop; all clocks show its time meanwhile."""
    loop = Loop(now)
    with (
        mock.patch.object(clock, "read_boottime", loop.time),
        mock.patch.object(clock, "read_monotonic", loop.time),
        mock.patch.object(clock, "read_wall", loop.time),
    ):
        try:
            yield loop
        finally:
            loop.close()
