"""Steps about callers' connections to a real listener, on loopback sockets."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from behave import then
from soak import callers as soak_callers

from hickorylead.draining import drain as drain_module
from hickorylead.runtime import clock, drainer, http_connection, listener

HEAD_TIMEOUT_S = 0.4
IDLE_TIMEOUT_S = 0.4
GRACE_S = 1.0
PIECE = b"piece of a response\n" * 50
# More than the sockets on loopback take while the caller does not read.
LARGE = b"0123456789abcdef" * 2**18
GET = b"GET /%b HTTP/1.1\r\nHost: x\r\n\r\n"


class Service:
    """An application whose requests end when the test says so."""

    def __init__(self) -> None:
        self.paths: list[str] = []
        self.may_end = asyncio.Event()

    async def __call__(self, scope, receive, send) -> None:
        """Responds as the path says."""
        path = scope["path"].strip("/")
        self.paths.append(path)
        headers = []
        if path == "length":
            headers = [(b"content-length", b"%d" % (2 * len(PIECE)))]
        body = LARGE if path == "large" else PIECE
        await send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )
        if path != "large":
            await self.may_end.wait()
        for more in (True, False):
            await send(
                {"type": "http.response.body", "body": body, "more_body": more}
            )


class Server:
    """A listener, and one caller of it."""

    def __init__(self) -> None:
        self.service = Service()
        self.writers: list[asyncio.StreamWriter] = []
        self.limits = listener.ListenerLimits(
            max_header_bytes=2000,
            header_timeout_s=HEAD_TIMEOUT_S,
            idle_timeout_s=IDLE_TIMEOUT_S,
        )
        self.listener = listener.Listener(
            self.service, "127.0.0.1", 0, self.limits
        )

    async def connect(self, receive_bytes: int = 0):
        """Opens a connection; returns its reader and writer."""
        connecting = socket.socket()
        if receive_bytes:
            connecting.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
            )
        connecting.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connecting, self.listener.get_address())
        reader, writer = await asyncio.open_connection(sock=connecting)
        self.writers.append(writer)
        return reader, writer

    async def wait_for_path(self, path: str) -> None:
        """Waits until a request is being handled."""
        while path not in self.service.paths:
            await asyncio.sleep(0.005)


async def receive(reader) -> tuple[soak_callers._Response, bytes]:
    """Receives until the connection ends; returns it and bytes behind it."""
    response = soak_callers._Response()
    data = b""
    with contextlib.suppress(ConnectionResetError):
        while piece := await reader.read(65536):
            data += piece
            if not response.is_complete:
                response.parser.feed_data(piece)
    _, _, behind = data.partition(b"0\r\n\r\n")
    return response, behind


def run(scenario) -> None:
    """Runs a coroutine function with a server."""

    async def run_with_server():
        server = Server()
        await server.listener.start()
        try:
            async with asyncio.timeout(20):
                await scenario(server)
        finally:
            for writer in server.writers:
                writer.close()
            await server.listener.close()

    asyncio.run(run_with_server())


@then("a response with {framing} that is stopped behind its head is not whole")
def _(_, framing):
    async def scenario(server):
        reader, writer = await server.connect()
        writer.write(GET % framing.encode())
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200"), head
        stop = drain_module.Drain(
            grace_s=GRACE_S, detection_s=0.1, now=clock.read_boottime()
        )
        notes: list = []
        await drainer.Drainer(
            server.listener, stop, write_log=notes.append
        ).run()
        response = soak_callers._Response()
        response.parser.feed_data(head)
        rest = b""
        with contextlib.suppress(ConnectionResetError):
            rest = await reader.read()
        if rest:
            response.parser.feed_data(rest)
        assert response.status == 200
        assert not response.is_complete, (head, rest)
        assert "connection_aborted" in [note.event for note in notes], notes

    run(scenario)


BAD_HEADS = {
    "malformed": b"this is no request\r\n\r\n",
    "too long": GET[:-2] % b"next" + b"x: " + b"y" * 3000 + b"\r\n\r\n",
}


@then("a head that is {problem} behind a request leaves its response whole")
def _(_, problem):
    async def scenario(server):
        reader, writer = await server.connect()
        writer.write(GET % b"chunks")
        await server.wait_for_path("chunks")
        writer.write(BAD_HEADS[problem])
        await asyncio.sleep(0.05)
        server.service.may_end.set()
        response, behind = await receive(reader)
        assert response.is_complete, bytes(response.body)[:100]
        assert bytes(response.body) == 2 * PIECE, bytes(response.body)[:100]
        assert behind == b"", behind
        assert server.service.paths == ["chunks"], server.service.paths

    run(scenario)


async def send_until_closed(writer, data: bytes = b"z" * 1000) -> None:
    """Sends the same bytes until the connection ends."""
    with contextlib.suppress(OSError):
        while not writer.is_closing():
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(0.001)


@then("a caller that keeps sending {what} receives its whole response")
def _(_, what):
    async def scenario(server):
        reader, writer = await server.connect(receive_bytes=65536)
        if what == "a body":
            writer.write(
                b"POST /large HTTP/1.1\r\nHost: x\r\n"
                b"Content-Length: 100000000\r\n\r\n"
            )
        else:
            writer.write(GET % b"large")
            await server.wait_for_path("large")
            writer.write(BAD_HEADS[what.removeprefix("a head that is ")])
        sending = asyncio.ensure_future(send_until_closed(writer))
        # The response is complete for the listener, and not yet read.
        await asyncio.sleep(0.2)
        response, _ = await receive(reader)
        sending.cancel()
        assert response.is_complete, len(response.body)
        assert bytes(response.body) == 2 * LARGE

    run(scenario)


@then("a caller with requests in the queue receives the response that closes")
def _(_):
    async def scenario(server):
        reader, writer = await server.connect(receive_bytes=65536)
        server.listener.announce_close()
        writer.write(GET % b"large")
        await server.wait_for_path("large")
        for _ in range(40):
            writer.write(GET % b"next")
            await asyncio.sleep(0.005)
        response, _ = await receive(reader)
        assert response.headers["connection"] == "close", response.headers
        assert response.is_complete, len(response.body)
        assert bytes(response.body) == 2 * LARGE
        assert server.service.paths == ["large"], server.service.paths

    run(scenario)


async def read_slowly(reader) -> soak_callers._Response:
    """Receives a response over more than the time to read on."""
    response = soak_callers._Response()
    with contextlib.suppress(ConnectionResetError):
        while piece := await reader.read(65536):
            response.parser.feed_data(piece)
            await asyncio.sleep(2.5 * http_connection.LINGER_S / 128)
    return response


@then("a caller that reads slowly receives its whole response behind {what}")
def _(_, what):
    async def scenario(server):
        reader, writer = await server.connect(receive_bytes=65536)
        if what == "a body that is not read":
            writer.write(
                b"POST /large HTTP/1.1\r\nHost: x\r\n"
                b"Content-Length: 100000000\r\n\r\n"
            )
        else:
            server.listener.announce_close()
            writer.write(GET % b"large")
            await server.wait_for_path("large")
            writer.write(GET % b"next")
        response = await read_slowly(reader)
        assert response.is_complete, len(response.body)
        assert bytes(response.body) == 2 * LARGE

    run(scenario)


@then("a request whose head takes longer than the idle time is served")
def _(_):
    async def scenario(server):
        server.limits.header_timeout_s = 5.0
        server.service.may_end.set()
        reader, writer = await server.connect()
        for piece in (b"GET /a HTTP/1.1\r\n", b"Host: x\r\n", b"\r\n"):
            await asyncio.sleep(0.7 * IDLE_TIMEOUT_S)
            writer.write(piece)
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")
        await reader.readuntil(b"0\r\n\r\n")
        # Again, on the kept connection.
        for piece in (b"GET /b HTTP/1.1\r\n", b"Host: x\r\n", b"\r\n"):
            await asyncio.sleep(0.7 * IDLE_TIMEOUT_S)
            writer.write(piece)
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")
        assert server.service.paths == ["a", "b"]

    run(scenario)


@then("a part of a head behind a response that takes long does not end it")
def _(_):
    async def scenario(server):
        reader, writer = await server.connect()
        writer.write(GET % b"first" + b"GET /second HTTP/1.1\r\n")
        await server.wait_for_path("first")
        await asyncio.sleep(2 * HEAD_TIMEOUT_S)
        server.service.may_end.set()
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")
        await reader.readuntil(b"0\r\n\r\n")
        await asyncio.sleep(0.5 * HEAD_TIMEOUT_S)
        writer.write(b"Host: x\r\n\r\n")
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")
        assert server.service.paths == ["first", "second"]

    run(scenario)


@then("a head that does not end behind a whole response gets status 408 alone")
def _(_):
    async def scenario(server):
        server.service.may_end.set()
        reader, writer = await server.connect()
        writer.write(GET % b"first" + b"GET /second HTTP/1.1\r\n")
        await reader.readuntil(b"0\r\n\r\n")
        rest = await reader.read()
        assert rest.startswith(b"HTTP/1.1 408 "), rest
        assert rest.count(b"HTTP/1.1") == 1, rest
        assert server.service.paths == ["first"]
        assert b"connection: close" in rest, rest

    run(scenario)
