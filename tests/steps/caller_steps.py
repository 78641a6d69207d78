"""Steps about connections to callers."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from hickorylead.forwarding import events
from hickorylead.runtime import (
    http_connection,
    listener,
    response_writer,
    sockets,
)


class SlowConnection:
    """A connection that can become full, and the messages sent on it."""

    in_body = False

    def __init__(self):
        self.sent = []
        self.writable = asyncio.Event()
        self.writable.set()

    def can_write(self):
        """Returns whether the connection is writable."""
        return self.writable.is_set()

    def has_capacity(self):
        """Returns that more may wait."""
        return True

    def record_response(self, waiting_bytes):
        """Records nothing."""

    async def send(self, message):
        """Records a message once the connection is writable."""
        if not self.writable.is_set():
            await self.writable.wait()
        self.sent.append(message)


@given("a caller whose connection is full after the first chunk")
def _(context):
    context.chunks = [b"one", b"two", b"three"]


@when("two more chunks arrive, one before and one after it is writable again")
def _(context):
    async def run():
        connection = SlowConnection()
        scope = {
            "extensions": {
                http_connection.CONNECTION_KEY: {"protocol": connection}
            }
        }
        writer = response_writer.ResponseWriter(scope, connection.send, print)
        task = asyncio.ensure_future(writer.run())
        writer.write(events.StartResponse("r", 200, ()))
        writer.write(events.WriteChunk("r", context.chunks[0]))
        assert len(connection.sent) == 2, "the first is written at once"
        connection.writable.clear()
        writer.write(events.WriteChunk("r", context.chunks[1]))
        for _ in range(3):
            await asyncio.sleep(0)
        connection.writable.set()
        writer.write(events.WriteChunk("r", context.chunks[2]))
        writer.write(events.FinishResponse("r"))
        await task
        return connection.sent

    context.sent = asyncio.run(run())


@then("the caller receives all chunks in order")
def _(context):
    start, *bodies = context.sent
    assert start["type"] == "http.response.start"
    assert [b["body"] for b in bodies] == [*context.chunks, b""]
    assert [b["more_body"] for b in bodies] == [True, True, True, False]


@given("a caller whose connection refuses the head of a response")
def _(context):
    async def refuse(message):
        raise RuntimeError(f"invalid header in {message['type']}")

    context.refuse = refuse


@when("the response arrives")
def _(context):
    context.notes = []

    async def run():
        scope = {
            "extensions": {
                http_connection.CONNECTION_KEY: {"protocol": SlowConnection()}
            }
        }
        writer = response_writer.ResponseWriter(
            scope, context.refuse, context.notes.append
        )
        task = asyncio.ensure_future(writer.run())
        writer.write(events.StartResponse("r", 200, ((b"x", b"\x7f"),)))
        writer.write(events.WriteChunk("r", b"piece"))
        async with asyncio.timeout(5):
            context.result = await task
        context.writer = writer

    asyncio.run(run())


@then("nothing is raised, the response is aborted, and the reason is logged")
def _(context):
    assert context.writer.has_failed
    assert context.result is None
    assert [note.event for note in context.notes] == ["answer_not_sent"]
    assert "invalid header" in context.notes[0].fields["why"]


@given("a port that was opened before anything else")
def _(context):
    context.listening_socket = sockets.listen("127.0.0.1", 0)


async def respond(scope, receive, send):
    """ASGI application that responds "yes" to each request."""
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"yes"})


@when("a request is sent before the listener starts")
def _(context):
    ip, port = context.listening_socket.getsockname()

    async def run():
        reader, writer = await asyncio.open_connection(ip, port)
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await writer.drain()
        server = listener.Listener(
            respond,
            ip,
            port,
            listener.ListenerLimits(),
            listening_socket=context.listening_socket,
        )
        await server.start()
        async with asyncio.timeout(5):
            context.status_line = await reader.readline()
        writer.close()
        await server.close()

    asyncio.run(run())


@then("the response has status 200")
def _(context):
    assert context.status_line.split()[1] == b"200", context.status_line
