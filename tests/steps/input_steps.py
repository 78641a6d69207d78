"""Steps about how connections split their input, on loopback sockets."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random

from behave import then
from soak import callers as soak_callers
from steps import caller_connection_steps

from hickorylead.runtime import http_connection, listener

LIMIT_S = 30.0
MIB = 1024 * 1024


class Echo:
    """An application that records requests and responds with their number."""

    def __init__(self) -> None:
        self.handled: list[tuple[str, str, bytes]] = []
        self.was_left = asyncio.Event()

    async def __call__(self, scope, receive, send) -> None:
        """Handles one request."""
        body = bytearray()
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                self.was_left.set()
                return
            body += message["body"]
            if not message["more_body"]:
                break
        self.handled.append((scope["method"], scope["path"], bytes(body)))
        if scope["path"] == "/wait":
            while (await receive())["type"] != "http.disconnect":
                pass
            self.was_left.set()
            return
        content = b"%d" % len(self.handled)
        headers = [(b"content-length", b"%d" % len(content))]
        await send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )
        await send({"type": "http.response.body", "body": content})


def run(scenario) -> None:
    """Runs a coroutine function with a server and its application."""

    async def run_with_server():
        echo = Echo()
        opened = listener.Listener(
            echo, "127.0.0.1", 0, listener.ListenerLimits()
        )
        await opened.start()
        try:
            async with asyncio.timeout(LIMIT_S):
                await scenario(opened, echo)
        finally:
            await opened.close()

    asyncio.run(run_with_server())


def draw_request(rng: random.Random, number: int):
    """Returns what is sent, and the request as it must be handled."""
    path = f"/{number}"
    pieces = [
        rng.choice((b"\r\n\r\n", b"GET / HTTP/1.1\r\n\r\n", b"words", b"0\r\n"))
        * rng.choice((1, 1, 3, 3000))
        for _ in range(rng.randrange(5))
    ]
    body = b"".join(pieces)
    if not pieces:
        head = f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
        return head, ("GET", path, b"")
    head = f"POST {path} HTTP/1.1\r\nHost: x\r\n".encode()
    if rng.random() < 0.5:
        sent = head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    else:
        chunks = b"".join(
            b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces
        )
        trailer = rng.choice((b"", b"X: y\r\n"))
        sent = (
            head
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + chunks
            + b"0\r\n"
            + trailer
            + b"\r\n"
        )
    return sent, ("POST", path, body)


async def send_cut(writer, data: bytes, rng: random.Random) -> None:
    """Sends bytes in pieces of random sizes."""
    sizes = rng.choice(((1, 2, 3, 7), (1, 100, 5000), (70_000,)))
    if len(data) > 20_000:
        sizes = (100, 5000, 70_000)
    while data:
        size = rng.choice(sizes)
        writer.write(data[:size])
        data = data[size:]
        await asyncio.sleep(0)


async def run_series(seed: int) -> None:
    """Sends one random series of requests on one connection."""
    rng = random.Random(f"input {seed}")
    requests = [draw_request(rng, n) for n in range(rng.randint(1, 8))]
    echo = Echo()
    opened = listener.Listener(echo, "127.0.0.1", 0, listener.ListenerLimits())
    await opened.start()
    try:
        reader, writer = await asyncio.open_connection(*opened.get_address())
        sending = asyncio.ensure_future(
            send_cut(writer, b"".join(sent for sent, _ in requests), rng)
        )
        for number in range(1, len(requests) + 1):
            response = soak_callers._Response()
            head = await reader.readuntil(b"\r\n\r\n")
            response.parser.feed_data(head)
            length = int(response.headers["content-length"])
            assert await reader.readexactly(length) == b"%d" % number
        await sending
        writer.close()
    finally:
        await opened.close()
    assert echo.handled == [expected for _, expected in requests], seed


@then("{count:d} random series of requests are handled as they were sent")
def _(_, count):
    async def run_all():
        for seed in range(count):
            async with asyncio.timeout(LIMIT_S):
                await run_series(seed)

    asyncio.run(run_all())


@then("a body of {size:d} bytes in chunks of 1 byte is handled as it was sent")
def _(_, size):
    body = bytes(itertools.islice(itertools.cycle(b"\r\n0abc"), size))

    async def scenario(opened, echo):
        _, writer = await asyncio.open_connection(*opened.get_address())
        writer.write(
            b"POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        for byte in body:
            writer.write(b"1\r\n%c\r\n" % byte)
        writer.write(b"0\r\n\r\n")
        while not echo.handled:
            await asyncio.sleep(0.01)
        assert echo.handled == [("POST", "/x", body)]
        writer.close()

    run(scenario)


def make_large(what: str) -> list[bytes]:
    """Returns the pieces of a request that is as large as is allowed."""
    line = b"POST /x HTTP/1.1\r\n"
    if what.startswith("a head"):
        room = 16_384 - len(b"/x")
        if what.endswith("in one field"):
            fields = b"a: " + b"x" * (room - len(b"a: \r\n")) + b"\r\n"
        else:
            fields = b"a: b\r\n" * (room // len(b"a: b\r\n"))
        return [line + fields + b"\r\n"]
    size = 4 * MIB
    if what.endswith("with a length"):
        return [line + b"Content-Length: %d\r\n\r\n" % size, bytes(size)]
    if what.endswith("in small pieces"):
        head = line + b"Content-Length: %d\r\n\r\n" % size
        return [head, *itertools.repeat(bytes(1000), size // 1000), bytes(304)]
    head = line + b"Transfer-Encoding: chunked\r\n\r\n"
    chunk = b"20\r\n%b\r\n" % bytes(32)
    return [head, *itertools.repeat(chunk, size // 32), b"0\r\n\r\n"]


@then("a request with {what} is answered with status {status:d}")
def _(_, what, status):
    async def scenario(opened, _):
        reader, writer = await asyncio.open_connection(*opened.get_address())
        for piece in make_large(what):
            writer.write(piece)
            await writer.drain()
        line = await reader.readline()
        assert line.startswith(b"HTTP/1.1 %d " % status), line
        writer.close()

    run(scenario)


_CHUNKED = b"POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "a target": (b"GET /", b"x"),
    "a field name": (b"GET / HTTP/1.1\r\n", b"x"),
    "a field value": (b"GET / HTTP/1.1\r\nX: ", b"x"),
    "empty lines": (b"", b"\r\n"),
    "a chunk size": (_CHUNKED, b"0"),
    "an extension": (_CHUNKED + b"1;a=", b"x"),
    "a trailer": (_CHUNKED + b"1\r\nx\r\n0\r\nX: ", b"x"),
    "a method": (b"", b"X"),
}


@then(
    "{what} without end is answered with status {status:d} and takes no more"
    " than {size:d} KiB"
)
def _(_, what, status, size):
    begin, more = ENDLESS[what]

    async def scenario(opened, echo):
        reader, writer = await asyncio.open_connection(*opened.get_address())
        fed: list[int] = []
        feed = http_connection.HttpConnection._feed

        def count(self, data):
            fed.append(len(data))
            return feed(self, data)

        writer.write(begin)
        http_connection.HttpConnection._feed = count
        try:
            sending = asyncio.ensure_future(
                caller_connection_steps.send_until_closed(writer, more * 1000)
            )
            line = await reader.readline()
        finally:
            http_connection.HttpConnection._feed = feed
        sending.cancel()
        with contextlib.suppress(asyncio.CancelledError, OSError):
            await sending
        writer.close()
        assert line.startswith(b"HTTP/1.1 %d " % status), line
        assert sum(fed) <= size * 1024, sum(fed)
        assert not echo.handled

    run(scenario)


UPGRADE = (
    b"POST /1 HTTP/1.1\r\nHost: x\r\nConnection: upgrade\r\nUpgrade: x\r\n"
)
SMUGGLED = b"GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n"
UPGRADES = {
    "no body": b"\r\n",
    "a body of 0 bytes": b"Content-Length: 0\r\n\r\n",
    "a body that looks like one": b"Content-Length: %d\r\n\r\n%b"
    % (len(SMUGGLED), SMUGGLED),
    "chunks that look like one": b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b"
    b"\r\n0\r\n\r\n" % (len(SMUGGLED), SMUGGLED),
}


@then("a head that asks for an upgrade, with {body}, gets status {status:d}")
def _(_, body, status):
    async def scenario(opened, echo):
        reader, writer = await asyncio.open_connection(*opened.get_address())
        writer.write(UPGRADE + UPGRADES[body])
        line = await reader.readline()
        assert line.startswith(b"HTTP/1.1 %d " % status), line
        writer.close()
        await asyncio.sleep(0.05)
        paths = [path for _, path, _ in echo.handled]
        assert paths == (["/1"] if status == 200 else []), paths

    run(scenario)


@then("a caller that sends two requests and leaves ends the first one")
def _(_):
    async def scenario(opened, echo):
        _, writer = await asyncio.open_connection(*opened.get_address())
        writer.write(b"GET /wait HTTP/1.1\r\nHost: x\r\n\r\n" * 2)
        while not echo.handled:
            await asyncio.sleep(0.01)
        writer.close()
        await echo.was_left.wait()

    run(scenario)
