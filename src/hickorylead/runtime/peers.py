"""Connections to the other processes of the system.

Each process connects to the processes that it sends messages to. The receiver
acknowledges what it has read. The sender thus detects and replaces a connection
that a middlebox has dropped silently, instead of losing all further messages.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import traceback
from typing import TYPE_CHECKING

from returns import result

from hickorylead.roles import urgency
from hickorylead.runtime import clock, shared_buffer, tasks, timeouts
from hickorylead.turns import work_queue
from hickorylead.wire import codec, frame

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from hickorylead.roles import interface
    from hickorylead.runtime import turns as turns_module
    from hickorylead.telemetry import turn_costs

CONNECT_TIMEOUT_S = 1.0
ACK_TIMEOUT_S = 2.0
# Delay before a failed connection is replaced, in seconds. It is short, so that
# a process that starts just after this one is soon connected.
RECONNECT_DELAY_S = 0.1
# Limits of the queue for one node, which bound the memory used for a node that
# is unreachable or slow. The protocols above resend messages that are dropped.
MAX_QUEUED_MESSAGES = 2000
MAX_QUEUED_BYTES = 2 * frame.MAX_FRAME_BYTES
# Age above which a message is outdated and is not sent any more, in seconds.
MAX_QUEUE_AGE_S = 2.0
# Messages whose encoded form is kept for further recipients, and their bytes,
# unless a single one is larger.
MAX_ENCODED_MESSAGES = 4
MAX_ENCODED_BYTES = 1024 * 1024
# Size from which messages use a connection of their own, in bytes, so that
# heartbeats and votes do not wait behind them.
BULK_BYTES = 256 * 1024
# Part of a message that is written at once, in bytes. The rest waits until the
# receiver has taken it, so that no connection buffers a whole large message.
WRITE_BYTES = 256 * 1024
_READ_BYTES = 256 * 1024
# Received bytes of one connection that may wait to be handled; beyond that the
# connection is not read, so that its sender waits.
MAX_WAITING_BYTES = 512 * 1024
_ACK = b"\1"


def split_address(address: str) -> tuple[str, int]:
    """Returns IP address and port of `ip:port`."""
    ip, _, port = address.rpartition(":")
    return ip.strip("[]"), int(port)


class MessageQueue:
    """Messages for one node, limited in number, bytes and age."""

    def __init__(self) -> None:
        """Makes an empty queue."""
        self._messages: collections.deque[tuple[float, bytes]] = (
            collections.deque()
        )
        self.size_bytes = 0

    def __len__(self) -> int:
        """Returns the number of messages."""
        return len(self._messages)

    def append(self, payload: bytes, now: float) -> None:
        """Adds a message; the oldest ones are dropped beyond a limit."""
        self._messages.append((now, payload))
        self.size_bytes += len(payload)
        while (
            len(self._messages) > MAX_QUEUED_MESSAGES
            or self.size_bytes > MAX_QUEUED_BYTES
        ):
            self._remove_oldest()

    def drop_outdated(self, now: float) -> None:
        """Drops the messages that are too old to be sent."""
        while self._messages and now - self._messages[0][0] > MAX_QUEUE_AGE_S:
            self._remove_oldest()

    def take(self) -> bytes:
        """Removes the oldest message and returns it."""
        return self._remove_oldest()

    def _remove_oldest(self) -> bytes:
        _, payload = self._messages.popleft()
        self.size_bytes -= len(payload)
        return payload


class _Link:
    """Outgoing connection to one node, replaced when it fails."""

    def __init__(self, address: str, bind_ip: str) -> None:
        self.address = address
        self._bind = (bind_ip, 0) if bind_ip else None
        self.queue = MessageQueue()
        self.wake = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Sends the queued messages, over one connection after another."""
        loop = asyncio.get_running_loop()
        while True:
            await self._wait_for_messages(None)
            with contextlib.suppress(OSError, TimeoutError):
                await self._run_connection()
            await asyncio.sleep(RECONNECT_DELAY_S)
            self.queue.drop_outdated(loop.time())

    async def _run_connection(self) -> None:
        ip, port = split_address(self.address)
        async with timeouts.limit_time(CONNECT_TIMEOUT_S):
            reader, writer = await shared_buffer.open_connection(
                ip, port, local_addr=self._bind
            )
        try:
            while True:
                while self.queue:
                    await self._write(writer, self.queue.take())
                async with timeouts.limit_time(ACK_TIMEOUT_S):
                    await writer.drain()
                    if not await reader.read(_READ_BYTES):
                        return
                await self._wait_for_messages(reader)
        finally:
            writer.close()

    async def _write(
        self, writer: asyncio.StreamWriter, payload: bytes
    ) -> None:
        writer.write(frame.pack_header(payload))
        if len(payload) <= WRITE_BYTES:
            writer.write(payload)
            return
        view = memoryview(payload)
        for start in range(0, len(payload), WRITE_BYTES):
            writer.write(view[start : start + WRITE_BYTES])
            async with timeouts.limit_time(ACK_TIMEOUT_S):
                await writer.drain()

    async def _wait_for_messages(
        self, reader: asyncio.StreamReader | None
    ) -> None:
        while not self.queue:
            if reader is not None and reader.at_eof():
                return
            self.wake.clear()
            await self.wake.wait()


def _choose_kind(
    message: interface.Message, payload: bytes
) -> tuple[work_queue.Lane, bool]:
    """Returns which of a node's connections a message uses."""
    return urgency.find_lane(message), len(payload) >= BULK_BYTES


class _Inbox:
    """Messages of one incoming connection that wait for their turn.

    A sender uses one connection for each kind of message, so the first message
    tells the lane of all.
    """

    def __init__(
        self,
        turns: turns_module.Turns | None,
        handle: Callable[[bytes], None],
    ) -> None:
        self._turns = turns
        self._handle = handle
        self._lane: work_queue.Lane | None = None
        self._waiting_bytes = 0
        self._has_space = asyncio.Event()
        self._has_space.set()

    def add(self, payload: bytes) -> None:
        if self._turns is None:
            self._handle(payload)
            return
        if self._lane is None:
            self._lane = _find_lane(payload)
        self._waiting_bytes += len(payload)
        if self._waiting_bytes > MAX_WAITING_BYTES:
            self._has_space.clear()
        self._turns.add(self._lane, lambda: self._handle_next(payload))

    async def wait_for_space(self) -> None:
        """Waits until another part of the connection may be read."""
        await self._has_space.wait()

    def _handle_next(self, payload: bytes) -> None:
        try:
            self._handle(payload)
        finally:
            self._waiting_bytes -= len(payload)
            if self._waiting_bytes <= MAX_WAITING_BYTES:
                self._has_space.set()


def _find_lane(payload: bytes) -> work_queue.Lane:
    match codec.decode_envelope(payload):
        case result.Success(envelope):
            return urgency.find_lane(envelope.message)
    return work_queue.Lane.ORDINARY


class Peers:
    """All connections of one process."""

    def __init__(
        self,
        *,
        node: str,
        address: str,
        addresses: Mapping[str, str],
        deliver: Callable[[str, interface.Message], None],
        log: tasks.WarningLog,
        bind_ip: str = "",
        costs: turn_costs.TurnCosts | None = None,
        turns: turns_module.Turns | None = None,
    ) -> None:
        """Makes the connections of a process; `start` opens them.

        Args:
            node: Name of this process.
            address: `ip:port` on which it receives messages.
            addresses: Addresses by node, from the settings.
            deliver: Called with each message and its sender.
            log: Log for malformed input.
            bind_ip: IP address to listen on and to connect from, if it is not
                that of the address.
            costs: Account of the time that decoding takes, if there is one.
            turns: Order in which received messages are handled; None to handle
                each message at once.
        """
        self._turns = turns
        self._costs = costs
        self._bind_ip = bind_ip
        self._node = node
        self._address = address
        self._addresses = dict(addresses)
        self._configured_nodes = frozenset(addresses)
        self._deliver = deliver
        self._log = log
        # By node, lane, and whether the connection is for large messages.
        self._links: dict[tuple[str, tuple[work_queue.Lane, bool]], _Link] = {}
        # The last messages, by identity, with their encoded form.
        self._encoded: collections.OrderedDict[
            int, tuple[interface.Message, bytes]
        ] = collections.OrderedDict()
        self._server: asyncio.Server | None = None
        self._tasks = tasks.TaskSet(log)
        self._handlers: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts to receive messages."""
        ip, port = split_address(self._address)
        self._server = await shared_buffer.start_server(
            self._serve, self._bind_ip or ip, port, limit=_READ_BYTES
        )

    async def close(self) -> None:
        """Closes all connections."""
        if self._server is not None:
            self._server.close()
        await self._tasks.close()
        for task in self._handlers:
            task.cancel()
        await asyncio.gather(*self._handlers, return_exceptions=True)

    def send(self, node: str, message: interface.Message) -> None:
        """Sends a message; it is dropped if the node's address is unknown."""
        if node == self._node:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._deliver, node, message)
            return
        address = self._addresses.get(node)
        if node.startswith("@"):
            # The node is a seed, given by its address; its name is not known
            # yet.
            address = node[1:]
        if address is None:
            return
        payload = self._encode(message)
        if len(payload) > frame.MAX_FRAME_BYTES:
            self._log.warn(
                "message too large",
                node=node,
                kind=type(message).__name__,
                bytes=len(payload),
            )
            return
        link = self._find_link(node, address, _choose_kind(message, payload))
        link.queue.append(payload, asyncio.get_running_loop().time())
        link.wake.set()

    def _find_link(
        self, node: str, address: str, kind: tuple[work_queue.Lane, bool]
    ) -> _Link:
        link = self._links.get((node, kind))
        if link is None or link.address != address:
            if link is not None and link.task is not None:
                link.task.cancel()
            link = self._links[node, kind] = _Link(address, self._bind_ip)
            link.task = self._tasks.keep_running(f"link to {node}", link.run)
        return link

    def _encode(self, message: interface.Message) -> bytes:
        """Encodes a message, once even if it goes to several nodes."""
        key = id(message)
        if key not in self._encoded:
            envelope = codec.Envelope(self._node, self._address, message)
            payload = codec.encode_envelope(envelope)
            # The message is kept as well, so that its identity stays its own.
            self._encoded[key] = message, payload
            while len(self._encoded) > 1 and (
                len(self._encoded) > MAX_ENCODED_MESSAGES
                or sum(len(kept) for _, kept in self._encoded.values())
                > MAX_ENCODED_BYTES
            ):
                self._encoded.popitem(last=False)
        self._encoded.move_to_end(key)
        return self._encoded[key][1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._handlers.add(task)
        frames = frame.FrameReader()
        inbox = _Inbox(self._turns, self._receive)
        try:
            while data := await reader.read(_READ_BYTES):
                for payload in frames.feed(data):
                    inbox.add(payload)
                writer.write(_ACK)
                await writer.drain()
                await inbox.wait_for_space()
        except frame.FrameError as error:
            self._log.warn("bad frame", detail=str(error))
        except (OSError, asyncio.CancelledError):
            # The peer has closed the connection, or this process ends.
            pass
        finally:
            self._handlers.discard(task)
            writer.close()

    def _receive(self, payload: bytes) -> None:
        began = clock.read_monotonic()
        decoded = codec.decode_envelope(payload)
        if self._costs is not None:
            self._costs.record("decode", clock.read_monotonic() - began)
        match decoded:
            case result.Success(envelope):
                if envelope.sender not in self._configured_nodes:
                    self._addresses[envelope.sender] = envelope.address
                try:
                    self._deliver(envelope.sender, envelope.message)
                except Exception as error:  # noqa: BLE001 - logged
                    # The messages behind it on this connection are delivered.
                    self._log.warn(
                        "message failed",
                        sender=envelope.sender,
                        kind=type(envelope.message).__name__,
                        why=repr(error),
                        place="".join(
                            traceback.format_exception(error, limit=-4)
                        ),
                    )
            case result.Failure(problem):
                self._log.warn("bad message", detail=problem)
