"""Steps about ends of connections that cross what their callers do."""

from __future__ import annotations

import asyncio
import socket

from behave import then
from soak import stop_callers
from support import platform_cluster

from hickorylead.draining import drain as drain_module
from hickorylead.runtime import clock, drainer, listener, operator_calls, server

RESPONSE_S = 0.2
GRACE_S = 4.0
REQUEST = b"GET /first HTTP/1.1\r\nHost: a.example\r\n\r\n"


class App:
    """An application that responds after a while."""

    def __init__(self) -> None:
        self.count = 0
        self.headers = []

    async def __call__(self, scope, receive, send) -> None:
        """Handles one request."""
        self.count += 1
        self.headers = scope["headers"]
        await asyncio.sleep(RESPONSE_S)
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [(b"content-length", b"5")],
            }
        )
        await send({"type": "http.response.body", "body": b"first"})


async def start(app, limits=None):
    """Starts a server; returns it and a function that connects to it."""
    opened = listener.Listener(
        app,
        f"{platform_cluster.NET}.1",
        0,
        limits or listener.ListenerLimits(),
    )
    await opened.start()
    return opened


def connect(opened) -> socket.socket:
    """Opens a connection, without a turn of the event loop."""
    return socket.create_connection(opened.get_address())


async def receive(opened, data: bytes) -> list[int]:
    """Sends bytes; returns the statuses of the complete responses."""
    caller = connect(opened)
    caller.sendall(data)
    return await receive_all(caller)


async def receive_all(caller: socket.socket) -> list[int]:
    """Returns the statuses of the complete responses of a connection."""
    responses = stop_callers.Responses()
    caller.setblocking(False)
    reader, writer = await asyncio.open_connection(sock=caller)
    try:
        async with asyncio.timeout(3 * RESPONSE_S):
            while data := await reader.read(65536):
                responses.parser.feed_data(data)
    except (OSError, TimeoutError):
        # What has arrived is what was seen.
        pass
    writer.close()
    return [r.status for r in responses.found if r.is_complete]


def make_drainer(opened: server.HttpServer, elapsed_s: float):
    """Returns a drainer whose stop began a while ago."""
    now = clock.read_boottime()
    drain = drain_module.Drain(
        grace_s=GRACE_S, detection_s=0.0, now=now - elapsed_s
    )
    return drainer.Drainer(opened, drain, write_log=lambda _: None)


async def run_half_head():
    opened = await start(App())
    caller = connect(opened)
    caller.sendall(b"GET /first HT")
    await asyncio.sleep(0.05)
    assert opened.list_owed()
    caller.close()
    await make_drainer(opened, 0.9 * GRACE_S).run()
    await opened.close()


async def run_failing_end():
    """Returns the lines of a stop, and the statuses that callers received."""
    opened = await start(App())
    failing, other = connect(opened), connect(opened)
    failing.sendall(b"GET /first HT")
    await asyncio.sleep(0.05)
    failing_number = opened.list_owed()[0].connection
    other.sendall(b"GET /first HT")
    await asyncio.sleep(0.05)
    lines = []

    def end(owed):
        if owed.connection == failing_number:
            raise ValueError("failed")
        drainer.refuse(opened, owed, lines.append)

    receiving = [
        asyncio.ensure_future(receive_all(caller))
        for caller in (failing, other)
    ]
    now = clock.read_boottime()
    drain = drain_module.Drain(
        grace_s=GRACE_S, detection_s=0.0, now=now - 0.9 * GRACE_S
    )
    await drainer.Drainer(opened, drain, end=end, write_log=lines.append).run()
    await opened.close()
    return lines, await asyncio.gather(*receiving)


async def run_late_connection(turns: int):
    """Returns how many requests were handled and which were answered."""
    app = App()
    opened = await start(app)
    caller = connect(opened)
    caller.sendall(REQUEST)
    for _ in range(turns):
        await asyncio.sleep(0)
    receiving = asyncio.ensure_future(receive_all(caller))
    await make_drainer(opened, 0.0).run()
    await opened.close()
    return app.count, await receiving


async def run_malformed(data: bytes, limits=None):
    opened = await start(App(), limits)
    found = await receive(opened, REQUEST + data)
    await opened.close()
    return found


@then("a stop refuses a half head whose caller has just closed its connection")
def _(_):
    asyncio.run(run_half_head())


@then(
    "a request that is sent 0 to {count:d} turns before the last step is not"
    " cut"
)
def _(_, count):
    seen = [asyncio.run(run_late_connection(n)) for n in range(count + 1)]
    cut = [(n, s) for n, s in enumerate(seen) if s[0] != len(s[1])]
    assert not cut, cut


@then("a request with a malformed target behind another one is rejected second")
def _(_):
    data = b"GET http://a:99999999/ HTTP/1.1\r\nHost: a.example\r\n\r\n"
    found = asyncio.run(run_malformed(data))
    assert found == [200], found


@then("too long trailers behind another request leave its response complete")
def _(_):
    data = (
        b"POST /second HTTP/1.1\r\nHost: a.example\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"
        + b"x: %b\r\n\r\n"
        % (b"y" * 500)
    )
    limits = listener.ListenerLimits(max_header_bytes=200)
    found = asyncio.run(run_malformed(data, limits))
    assert found == [200, 431], found


@then("a stop that fails to end one of two requests refuses the other one")
def _(_):
    lines, statuses = asyncio.run(run_failing_end())
    assert statuses == [[], [503]], statuses
    failed = [line for line in lines if line.event == "stop_step_failed"]
    assert [line.fields["step"] for line in failed] == ["End"], lines


async def run_trailers():
    """Returns the names of a request's headers, and its response."""
    app = App()
    opened = await start(app)
    found = await receive(
        opened,
        b"POST /first HTTP/1.1\r\nHost: a.example\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"
        b"Model: other\r\n\r\n",
    )
    await opened.close()
    return [name for name, _ in app.headers], found


@then(
    "a request that arrives at once with its trailers has the headers of its"
    " head"
)
def _(_):
    names, found = asyncio.run(run_trailers())
    assert names == [b"host", b"transfer-encoding"], names
    assert found == [200], found


class Log:
    """A log that keeps its lines."""

    def __init__(self) -> None:
        self.lines = []

    def write(self, line) -> None:
        """Writes a line."""
        self.lines.append(line)


async def run_call(log):
    """Returns a call's outcome, and if it was pending before and after it."""
    calls = operator_calls.OperatorCalls(log)
    handler = asyncio.ensure_future(calls.wait("call-1", lambda: None))
    await asyncio.sleep(0)
    calls.complete("call-1", True)
    before = calls.is_pending("call-1")
    calls.end(drainer.STOPPING)
    return before, await handler, calls.is_pending("call-1")


@then("a call is pending until its handler has its outcome")
def _(_):
    log = Log()
    assert asyncio.run(run_call(log)) == (True, True, False)
    assert not log.lines, log.lines
