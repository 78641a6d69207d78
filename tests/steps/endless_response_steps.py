"""Steps about replicas that send bytes without end."""

from __future__ import annotations

import asyncio
import tracemalloc

from behave import given, then, when

from hickorylead.fleet import server_codec
from hickorylead.runtime import calls, upstream

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# What a replica sends once, then what it sends again and again.
PARTS = {
    "a status line": (b"HTTP/1.1 200 O", b"K" * 1000),
    "a header": (HEAD + b"X-Long: ", b"x" * 1000),
    "headers": (HEAD, b"X-Long: " + b"x" * 990 + b"\r\n"),
    "interim responses": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 40),
    "a chunk extension": (CHUNKED + b"5;x=", b"x" * 1000),
    "a trailer": (CHUNKED + b"0\r\nX-Long: ", b"x" * 1000),
    "bytes of a body": (HEAD + b"\r\n", b"x" * 1000),
    "chunks of a body": (CHUNKED, b"3e8\r\n" + b"x" * 1000 + b"\r\n"),
    "a body with length": (
        HEAD + b"Content-Length: 999999999999\r\n\r\n",
        b"x" * 1000,
    ),
    "bytes after its response": (
        HEAD + b"Content-Length: 2\r\n\r\nok",
        b"x" * 1000,
    ),
}
# Pieces that are sent at once, and the pause after them in seconds.
PACES = {"fast": (64, 0.0), "slow": (4, 0.005)}
LIMIT_S = 20.0
MAX_PEAK_BYTES = 8 * 1024 * 1024


class EndlessReplica:
    """A replica that sends until its connection is closed."""

    def __init__(self, part: str, pace: str) -> None:
        self.first, piece = PARTS[part]
        count, self.pause_s = PACES[pace]
        self.piece = piece * count
        self.is_closed = asyncio.Event()

    async def serve(self, reader, writer):
        await reader.read(65536)
        try:
            writer.write(self.first)
            while True:
                writer.write(self.piece)
                await writer.drain()
                await asyncio.sleep(self.pause_s)
        except OSError:
            self.is_closed.set()


@given("a replica that sends {part} without end, {pace}")
def _(context, part, pace):
    context.part, context.pace = part, pace


@when("a request is sent to the endless replica")
def _(context):
    async def run():
        replica = EndlessReplica(context.part, context.pace)
        server = await asyncio.start_server(replica.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        pool = upstream.Pool()
        tracemalloc.start()
        try:
            context.response = await calls.make_call(
                pool,
                f"127.0.0.1:{port}",
                server_codec.HttpCall("GET", "/report"),
                LIMIT_S,
            )
            async with asyncio.timeout(LIMIT_S):
                await replica.is_closed.wait()
            context.peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        pool.close()
        server.close()

    asyncio.run(run())


@then("it fails as {reason} and its connection is closed")
def _(context, reason):
    assert context.response == calls.NoResponse(reason), context.response


@then("the request is complete and its connection is closed")
def _(context):
    assert context.response.body == b"ok", context.response


@then("memory stayed flat")
def _(context):
    assert context.peak < MAX_PEAK_BYTES, context.peak
