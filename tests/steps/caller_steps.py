"""Steps about the way to one caller."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from hickorylead.forwarding import events
from hickorylead.runtime import forwarding, listener, sockets


class SlowConnection:
    """A connection that can stop taking bytes, and what was sent on it."""

    def __init__(self):
        self.sent = []
        self.free = asyncio.Event()
        self.free.set()

    def can_write(self):
        """Says whether it takes bytes."""
        return self.free.is_set()

    async def send(self, message):
        """Takes a message, once it takes bytes."""
        if not self.free.is_set():
            await self.free.wait()
        self.sent.append(message)


@given("a caller whose connection takes nothing after the first piece")
def _(context):
    context.pieces = [b"one", b"two", b"three"]


@when("two more pieces come, one before and one after it takes bytes again")
def _(context):
    async def play():
        connection = SlowConnection()
        scope = {
            "extensions": {listener.CONNECTION_KEY: {"protocol": connection}}
        }
        caller = forwarding.ResponseWriter(scope, connection.send, print)
        task = asyncio.ensure_future(caller.run())
        caller.write(events.StartResponse("r", 200, ()))
        caller.write(events.WriteChunk("r", context.pieces[0]))
        assert len(connection.sent) == 2, "the first is written at once"
        connection.free.clear()
        caller.write(events.WriteChunk("r", context.pieces[1]))
        for _ in range(3):
            await asyncio.sleep(0)
        connection.free.set()
        caller.write(events.WriteChunk("r", context.pieces[2]))
        caller.write(events.FinishResponse("r"))
        await task
        return connection.sent

    context.sent = asyncio.run(play())


@then("the caller gets all pieces in order")
def _(context):
    start, *bodies = context.sent
    assert start["type"] == "http.response.start"
    assert [b["body"] for b in bodies] == [*context.pieces, b""]
    assert [b["more_body"] for b in bodies] == [True, True, True, False]


@given("a caller whose connection refuses the head of an answer")
def _(context):
    async def refuse(message):
        raise RuntimeError(f"invalid header in {message['type']}")

    context.refuse = refuse


@when("the answer comes")
def _(context):
    context.lines = []

    async def play():
        scope = {
            "extensions": {
                listener.CONNECTION_KEY: {"protocol": SlowConnection()}
            }
        }
        caller = forwarding.ResponseWriter(
            scope, context.refuse, context.lines.append
        )
        task = asyncio.ensure_future(caller.run())
        caller.write(events.StartResponse("r", 200, ((b"x", b"\x7f"),)))
        caller.write(events.WriteChunk("r", b"piece"))
        async with asyncio.timeout(5):
            context.refusal = await task
        context.caller = caller

    asyncio.run(play())


@then("nothing is raised, the answer ends broken, and the log tells why")
def _(context):
    assert context.caller.has_failed
    assert context.refusal is None
    assert [line.event for line in context.lines] == ["answer_not_sent"]
    assert "invalid header" in context.lines[0].fields["why"]


@given("a port that was opened before anything else")
def _(context):
    context.opened = sockets.listen("127.0.0.1", 0)


async def answer(scope, receive, send):
    """An application that says yes."""
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"yes"})


@when("a request comes and the listener starts after it")
def _(context):
    ip, port = context.opened.getsockname()

    async def play():
        reader, writer = await asyncio.open_connection(ip, port)
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await writer.drain()
        subject = listener.Listener(
            answer,
            ip,
            port,
            listener.ListenerLimits(),
            listening_socket=context.opened,
        )
        await subject.start()
        async with asyncio.timeout(5):
            context.line = await reader.readline()
        writer.close()
        await subject.close()

    asyncio.run(play())


@then("it is answered with status 200")
def _(context):
    assert context.line.split()[1] == b"200", context.line
