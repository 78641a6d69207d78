"""Responses that a replica cuts off at each byte, and who receives them."""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
import struct

import attrs

from hickorylead.runtime import upstream
from support import relay_path

OK = b"HTTP/1.1 200 OK\r\n"
GET = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
HEAD = b"HEAD / HTTP/1.1\r\nhost: x\r\n\r\n"
# Sent on each connection but the first of a replica.
WHOLE = OK + b"Content-Length: 5\r\nKeep-Alive: timeout=9\r\n\r\nwhole"
# A reset discards what the other end has not read yet.
ARRIVAL_S = 0.05
# Exchanges in progress at a time.
BATCH_SIZE = 60
# Longest wait for the end of an exchange, in seconds.
LIMIT_S = 5.0


@attrs.frozen
class Answer:
    """A response that is cut off.

    Attributes:
        data: All its bytes.
        body: Its whole body.
        complete_at: From how many bytes on it is complete.
        ends_with_close: Whether it has no length, so that a clean close after
            its head completes it with what has arrived of the body.
        request: The request.
        never: Whether it can never be complete.
    """

    data: bytes
    body: bytes
    complete_at: int
    ends_with_close: bool = False
    request: bytes = GET
    never: bool = False

    @property
    def ends_at(self) -> float:
        """Number of bytes after which it ends without a close."""
        return math.inf if self.ends_with_close else self.complete_at


def _frame(data: bytes, body: bytes, **extra) -> Answer:
    return Answer(data, body, len(data), **extra)


def _end_with_close(head: bytes, body: bytes) -> Answer:
    return Answer(head + body, body, len(head), ends_with_close=True)


_LENGTH = OK + b"Content-Length: 4\r\nKeep-Alive: timeout=9\r\n\r\nbody"
_CHUNKS = (
    OK + b"Transfer-Encoding: chunked\r\nTrailer: x\r\n\r\n"
    b"2;a=b\r\nbo\r\n2\r\ndy\r\n0\r\nx: 1\r\n\r\n"
)
_HEAD_ONLY = OK + b"Content-Length: 4\r\nKeep-Alive: timeout=9\r\n\r\n"
ANSWERS = {
    "a length": _frame(_LENGTH, b"body"),
    "a length of zero": _frame(OK + b"Content-Length: 0\r\n\r\n", b""),
    "chunks and a trailer": _frame(_CHUNKS, b"body"),
    "100 before the final head": _frame(
        b"HTTP/1.1 100 Continue\r\n\r\n" + _LENGTH, b"body"
    ),
    "103 before the final head": _frame(
        b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nContent-Length: 0\r\n\r\n"
        + _CHUNKS,
        b"body",
    ),
    "HTTP/1.0 and a length": _frame(
        b"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody", b"body"
    ),
    "HTTP/1.0 and no length": _end_with_close(
        b"HTTP/1.0 200 OK\r\nServer: x\r\n\r\n", b"body"
    ),
    "no length": _end_with_close(OK + b"Connection: close\r\n\r\n", b"body"),
    "status 204": _frame(b"HTTP/1.1 204 No Content\r\nServer: x\r\n\r\n", b""),
    "status 304 and a length": _frame(
        b"HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n", b""
    ),
    "a length, to HEAD": _frame(_HEAD_ONLY, b"", request=HEAD),
    "chunks, to HEAD": _frame(
        OK + b"Transfer-Encoding: chunked\r\n\r\n", b"", request=HEAD
    ),
    "no length, to HEAD": _frame(OK + b"Server: x\r\n\r\n", b"", request=HEAD),
    "a body, to HEAD": Answer(_LENGTH, b"", len(_HEAD_ONLY), request=HEAD),
    "an upgrade and a second head": Answer(
        b"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\n"
        b"Upgrade: x\r\n\r\n" + _LENGTH,
        b"",
        0,
        never=True,
    ),
    "101 without an upgrade and a second head": Answer(
        b"HTTP/1.1 101 Switching Protocols\r\n\r\n" + _LENGTH,
        b"",
        0,
        never=True,
    ),
    "a second response that nobody asked for": Answer(
        _LENGTH + WHOLE, b"body", len(_LENGTH)
    ),
}


class CutReplica:
    """A replica that cuts off its first response, and no later one."""

    def __init__(self, data: bytes, end: str) -> None:
        """Makes a replica; `start` opens its port.

        Args:
            data: What it sends on its first connection.
            end: How that connection ends: `close` or `reset`; `stay` if it
                stays open.
        """
        self._data = data
        self._end = end
        self.connection_count = 0
        # Requests that came on the first connection.
        self.first_count = 0
        self.first_writer: asyncio.StreamWriter | None = None
        self.may_end = asyncio.Event()

    async def start(self) -> str:
        """Opens a port; returns the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def _serve(self, reader, writer) -> None:
        self.connection_count += 1
        is_first = self.connection_count == 1
        try:
            while await reader.read(65536):
                if not is_first:
                    writer.write(WHOLE)
                    continue
                self.first_count += 1
                self.first_writer = writer
                writer.write(self._data)
                await self._end_first(writer)
        except (OSError, asyncio.CancelledError):
            # The other end has closed the connection, or the test has ended.
            pass
        finally:
            writer.close()

    async def _end_first(self, writer) -> None:
        if self._end == "stay":
            return
        if self._end == "reset":
            await asyncio.sleep(ARRIVAL_S)
            await self.may_end.wait()
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
            writer.transport.abort()
        else:
            writer.close()

    def close(self) -> None:
        """Closes the port and the first connection."""
        self._server.close()
        if self.first_writer is not None:
            self.first_writer.close()


class Recorder:
    """Records what an exchange delivers."""

    def __init__(self) -> None:
        self.done = asyncio.Event()
        self.result = "nothing"
        self.status = 0
        self.body = b""
        self.reason = ""

    def on_connected(self) -> None:
        """Does nothing."""

    def on_headers(self, status, headers) -> None:
        """Records the status."""
        assert not self.status, "a second head"
        self.status = status

    def on_body_chunk(self, data) -> None:
        """Records a chunk of the body."""
        assert self.result == "nothing", "a body after the end"
        self.body += data

    def on_complete(self) -> None:
        """Records that the response is complete."""
        self._end("complete")

    def on_failure(self, verdict, reason) -> None:
        """Records that the response is not complete."""
        self.reason = reason
        self._end(verdict.value)

    def _end(self, result: str) -> None:
        assert self.result == "nothing", "a second end"
        self.result = result
        self.done.set()

    async def wait(self) -> None:
        """Waits until the exchange ends, but not for ever."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.done.wait(), LIMIT_S)


class DirectPath:
    """Connections of a gateway to a replica."""

    def __init__(self) -> None:
        self.pool = upstream.Pool()

    async def start(self) -> None:
        """Does nothing."""

    def send(self, address, data, receiver) -> upstream.Exchange:
        """Sends a request."""
        return self.pool.send_request(address, data, receiver)

    def close(self) -> None:
        """Closes all connections."""
        self.pool.close()


PATHS = {"directly": DirectPath, "through a relay": relay_path.RelayPath}


@attrs.frozen
class Seen:
    """What came of a response that was cut off, and of the next request.

    Attributes:
        cut: Number of bytes that were sent.
        result: `complete`, or the verdict of the failure.
        status: Status that was delivered; 0 if none.
        body: Body that was delivered.
        reason: Reason of the failure.
        next_result: Result of the next request.
        next_body: Body of its response.
        reused_count: Requests on the first connection beyond the first one.
    """

    cut: int
    result: str
    status: int
    body: bytes
    reason: str
    next_result: str
    next_body: bytes
    reused_count: int


async def run_cut(path_name: str, answer: Answer, cut: int, end: str) -> Seen:
    """Runs an exchange whose response is cut off, then another one."""
    replica = CutReplica(answer.data[:cut], end)
    path = PATHS[path_name]()
    await path.start()
    address = await replica.start()
    first, second = Recorder(), Recorder()
    path.send(address, answer.request, first)
    if cut < answer.ends_at or answer.never:
        replica.may_end.set()
    await first.wait()
    replica.may_end.set()
    # A connection whose response was whole may be used until it ends.
    await asyncio.sleep(2 * ARRIVAL_S if end == "reset" else 0.01)
    path.send(address, GET, second)
    await second.wait()
    path.close()
    replica.close()
    return Seen(
        cut,
        first.result,
        first.status,
        first.body,
        first.reason,
        second.result,
        second.body,
        max(0, replica.first_count - 1),
    )


async def run_all_cuts(path_name: str, answer: Answer, end: str) -> list[Seen]:
    """Runs exchanges with a response that is cut off at each byte."""
    cuts = list(range(len(answer.data) + 1))
    seen: list[Seen] = []
    for start in range(0, len(cuts), BATCH_SIZE):
        seen += await asyncio.gather(
            *(
                run_cut(path_name, answer, cut, end)
                for cut in cuts[start : start + BATCH_SIZE]
            )
        )
    return seen


def find_problem(answer: Answer, end: str, seen: Seen) -> str:
    """Returns what is wrong with what came of a cut; empty if nothing is."""
    is_whole = not answer.never and seen.cut >= answer.complete_at
    if answer.ends_with_close and end == "reset":
        is_whole = False
    if is_whole != (seen.result == "complete"):
        return f"{seen.result}, though whole is {is_whole}"
    if is_whole and not answer.ends_with_close and seen.body != answer.body:
        return "another body"
    if not answer.body.startswith(seen.body):
        return "a body of another response"
    if seen.result not in ("complete", "may_have_run"):
        return "a request that was sent counts as not run"
    if (seen.next_result, seen.next_body) != ("complete", b"whole"):
        return "the next request failed"
    if seen.reused_count:
        return "the connection was used again"
    return ""


async def run_two_heads(path_name: str) -> CutReplica:
    """Sends two HEAD requests; returns the replica, which stays connected."""
    answer = ANSWERS["a length, to HEAD"]
    replica = CutReplica(answer.data, "stay")
    path = PATHS[path_name]()
    await path.start()
    address = await replica.start()
    for _ in range(2):
        recorder = Recorder()
        path.send(address, answer.request, recorder)
        await recorder.wait()
        assert (recorder.result, recorder.body) == ("complete", b"")
        await asyncio.sleep(0.02)
    path.close()
    replica.close()
    return replica


async def run_late_head(path_name: str, cut: int) -> Seen:
    """Sends a part of a second head, unasked, behind a whole response."""
    replica = CutReplica(_LENGTH, "stay")
    path = PATHS[path_name]()
    await path.start()
    address = await replica.start()
    first, second = Recorder(), Recorder()
    path.send(address, GET, first)
    await first.wait()
    await asyncio.sleep(0.02)
    assert replica.first_writer is not None
    replica.first_writer.write(_LENGTH[:cut])
    await asyncio.sleep(0.05)
    path.send(address, GET, second)
    await second.wait()
    path.close()
    replica.close()
    return Seen(
        cut,
        first.result,
        first.status,
        first.body,
        first.reason,
        second.result,
        second.body,
        replica.first_count - 1,
    )


async def run_late_heads(path_name: str) -> list[Seen]:
    """Sends a second head, unasked and cut off at each byte."""
    return await asyncio.gather(
        *(run_late_head(path_name, cut) for cut in range(1, len(_LENGTH)))
    )
