"""Steps about evicted connections, on loopback sockets."""

from __future__ import annotations

import asyncio
import socket
import struct
from unittest import mock

from behave import given, then, when
from soak import callers as soak_callers
from steps import input_steps

from hickorylead.intake import account, usage
from hickorylead.runtime import client_connection, intake, listener

MIB = 1024 * 1024
LIMIT_S = 30.0
# Memory of the process and of its clients, in MiB, for the least of limits.
MEMORY_MB = 64
POST = b"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"


@given("a listener whose clients may use {size:d} MiB")
def _(context, size):
    context.make_intake = lambda: intake.Intake(MEMORY_MB, 1000)
    assert context.make_intake().limits.max_bytes == size * MIB


async def start(context, app) -> tuple[listener.Listener, intake.Intake]:
    """Starts a listener with an account of its own."""
    process_intake = context.make_intake()
    opened = listener.Listener(
        app, "127.0.0.1", 0, listener.ListenerLimits(), intake=process_intake
    )
    await opened.start()
    return opened, process_intake


@when("a body that has stalled is evicted for one that makes progress")
def _(context):
    async def scenario():
        echo = input_steps.Echo()
        opened, _ = await start(context, echo)
        size = 4 * MIB
        stalled_reader, stalled = await asyncio.open_connection(
            *opened.get_address()
        )
        stalled.write(POST % size + bytes(size - 1))
        await stalled.drain()
        await asyncio.sleep(account.STALLED_S + 0.2)
        reader, other = await asyncio.open_connection(*opened.get_address())
        other.write(POST % size + bytes(size))
        context.refusal = soak_callers._Response()
        context.refusal.parser.feed_data(await stalled_reader.read())
        context.answer = await reader.readline()
        context.handled = echo.handled
        stalled.close()
        other.close()
        await opened.close()

    asyncio.run(asyncio.wait_for(scenario(), LIMIT_S))


@then(
    "its caller reads a whole response with status {status:d}, Retry-After and"
    " a close"
)
def _(context, status):
    refusal = context.refusal
    assert refusal.is_complete
    assert refusal.status == status, refusal.status
    assert float(refusal.headers["retry-after"]) > 0, refusal.headers
    assert refusal.headers["connection"] == "close", refusal.headers


@then("the other body is handled")
def _(context):
    assert context.answer.startswith(b"HTTP/1.1 200 "), context.answer
    assert [len(body) for _, _, body in context.handled] == [4 * MIB]


def reset(writer) -> None:
    """Resets a connection."""
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.close()


ENDS = {
    "closed within a head": b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 2000,
    "closed within a body": POST % (2 * MIB) + bytes(MIB),
    "reset within a body": POST % (2 * MIB) + bytes(MIB),
    "closed behind a queued request": (
        b"GET /wait HTTP/1.1\r\n\r\n" + b"GET /next HTTP/1.1\r\n\r\n" * 300
    ),
    "sent a malformed head": b"a: b\r\n" * 2000,
    "sent a head that is too long": b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 9000,
    "got its response and closed": POST % MIB + bytes(MIB),
    "had a handler that failed": b"POST /fail HTTP/1.1\r\n"
    b"Content-Length: %d\r\n\r\n" % MIB + bytes(MIB),
}


async def leave(context, ended) -> intake.Intake:
    """Ends a connection in a way; returns the account."""
    echo = input_steps.Echo()

    async def app(scope, receive, send):
        if scope["path"] == "/fail":
            raise ValueError("broken")
        await echo(scope, receive, send)

    opened, process_intake = await start(context, app)
    reader, writer = await asyncio.open_connection(*opened.get_address())
    writer.write(ENDS[ended])
    await asyncio.sleep(0.2)
    assert process_intake.collect_gauges()["client_connections"] == 1
    if ended.startswith("reset"):
        reset(writer)
    else:
        writer.close()
    while opened.connections:
        await asyncio.sleep(0.01)
    del reader
    await opened.close()
    return process_intake


@then("it uses nothing after a caller has <ended>")
def _(context):
    for row in context.table:
        process_intake = asyncio.run(
            asyncio.wait_for(leave(context, row["ended"]), LIMIT_S)
        )
        gauges = process_intake.collect_gauges()
        used = (gauges["client_connections"], gauges["client_held_bytes"])
        assert used == (0, 0), (row["ended"], used)


@then(
    "an evicted connection with unsent bytes is closed after the time to read"
    " on"
)
def _(_):
    connection = object.__new__(client_connection.ClientConnection)
    connection.transport = mock.Mock()
    connection.loop = mock.Mock()
    connection.transport.get_write_buffer_size.return_value = 1
    connection._usage = usage.ConnectionUsage(1, "clients", is_evicted=True)
    connection._end_linger(1)
    connection.transport.abort.assert_called_once()
