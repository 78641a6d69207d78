"""Steps about timeouts, in an event loop whose time is set by the test."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time

from behave import then, when

from hickorylead.fleet import server_codec
from hickorylead.runtime import calls, timeouts, upstream


class _PausedLoop(asyncio.SelectorEventLoop):
    """An event loop whose process seems to be paused at times."""

    def __init__(self) -> None:
        super().__init__()
        self.paused_s = 0.0

    def time(self) -> float:
        return time.monotonic() + self.paused_s


async def call(loop, pause_s, limit_s, *, responds):
    """Returns what a server sent within a limit; raises TimeoutError."""
    sent = asyncio.Event()

    async def serve(reader, writer):
        await reader.read(1)
        # The callback that takes the time of the pause precedes the reading of
        # the response, which arrives meanwhile.
        if responds:
            writer.write(b"response")
        loop.paused_s += pause_s
        sent.set()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = server.sockets[0].getsockname()
    try:
        async with timeouts.limit_time(limit_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"?")
            return await reader.read(100)
    finally:
        assert sent.is_set()
        server.close()


@when("a server responds while the process is paused for {seconds:g} seconds")
def _(context, seconds):
    context.pause_s, context.responds = seconds, True


@when(
    "a server does not respond, and the process is paused for {seconds:g}"
    " seconds"
)
def _(context, seconds):
    context.pause_s, context.responds = seconds, False


def run(context, limit_s):
    """Runs the call; returns the response."""
    loop = _PausedLoop()
    try:
        return loop.run_until_complete(
            call(loop, context.pause_s, limit_s, responds=context.responds)
        )
    finally:
        loop.close()


@then("its response arrives within a timeout of {limit:g} seconds")
def _(context, limit):
    assert run(context, limit) == b"response"


@then("the call ends by its timeout of {limit:g} seconds")
def _(context, limit):
    try:
        run(context, limit)
    except TimeoutError:
        return
    raise AssertionError("the call did not end")


class _PromptServer:
    """A server whose responses are in the socket by the caller's next turn."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.setblocking(False)
        self._connection: socket.socket | None = None
        ip, port = self._listener.getsockname()
        self.address = f"{ip}:{port}"

    def respond(self) -> None:
        """Accepts a connection, or responds to a request, if there is one."""
        with contextlib.suppress(BlockingIOError):
            if self._connection is None:
                self._connection, _ = self._listener.accept()
                self._connection.setblocking(False)
            if self._connection.recv(4096):
                self._connection.sendall(
                    b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"
                )

    def close(self) -> None:
        """Closes the sockets."""
        self._listener.close()
        if self._connection is not None:
            self._connection.close()


class _SlowLoop(asyncio.SelectorEventLoop):
    """An event loop each of whose turns takes a set time."""

    def __init__(self, turn_s: float) -> None:
        self.turns = 0
        self.turn_s = turn_s
        self.ended_s = 0.0
        super().__init__()

    def time(self) -> float:
        return self.ended_s

    def run_turns(self, work) -> None:
        """Begins to take time for turns, with some work in each."""
        self.turns += 1
        self.ended_s += self.turn_s
        work()
        self.call_soon(self.run_turns, work)


@contextlib.contextmanager
def run_slow_loop(turn_s, work=lambda: None):
    """Returns a loop with slow turns, and closes it."""
    loop = _SlowLoop(turn_s)
    loop.call_soon(loop.run_turns, work)
    try:
        yield loop
    finally:
        loop.close()


async def wait_for_silent_server(limit_s):
    """Waits until a limit ends; returns its turns and its time."""
    loop = asyncio.get_running_loop()
    turns, began = loop.turns, loop.time()
    with contextlib.suppress(TimeoutError):
        async with timeouts.limit_time(limit_s):
            await asyncio.Event().wait()
    return loop.turns - turns, loop.time() - began


@when("every turn of the process takes {turn:g} seconds")
def _(context, turn):
    context.turn_s = turn


@when(
    "every turn of the process takes {turn:g} seconds and a server responds at"
    " once"
)
def _(context, turn):
    context.turn_s = turn
    context.server = _PromptServer()
    context.add_cleanup(context.server.close)


@then("the response to a call arrives within a timeout of {limit:g} seconds")
def _(context, limit):
    async def make_call():
        pool = upstream.Pool()
        call = server_codec.HttpCall("GET", "/report", None)
        response = await calls.make_call(
            pool, context.server.address, call, limit
        )
        pool.close()
        return response

    with run_slow_loop(context.turn_s, context.server.respond) as loop:
        response = loop.run_until_complete(make_call())
    assert isinstance(response, calls.Response), response
    assert response.status == 200, response


@then("a wait with a timeout of {limit:g} seconds ends within {turns:d} turns")
def _(context, limit, turns):
    with run_slow_loop(context.turn_s) as loop:
        found, _ = loop.run_until_complete(wait_for_silent_server(limit))
    assert found <= turns, found


@then(
    "a wait with a timeout of {limit:g} seconds ends after {least:g} to"
    " {most:g} seconds"
)
def _(context, limit, least, most):
    with run_slow_loop(context.turn_s) as loop:
        _, found = loop.run_until_complete(wait_for_silent_server(limit))
    assert least - 0.001 <= found <= most + 0.001, found


@when("a limit is in force while a turn takes {turn:g} seconds")
def _(context, turn):
    context.late_turn_s = turn


@then(
    "a later wait with a timeout of {limit:g} seconds ends after {least:g} to"
    " {most:g} seconds"
)
def _(context, limit, least, most):
    async def wait_after_late_turn():
        loop = asyncio.get_running_loop()
        async with timeouts.limit_time(60.0):
            loop.ended_s += context.late_turn_s
            # The task that waits begins before the loop's timers are called.
            return await asyncio.create_task(wait_for_silent_server(limit))

    with run_slow_loop(0.01) as loop:
        _, found = loop.run_until_complete(wait_after_late_turn())
    assert least - 0.001 <= found <= most + 0.001, found


@when("a call is cancelled before its server is connected")
def _(context):
    async def run_call():
        received = []

        async def serve(reader, writer):
            received.append(await reader.read(100))
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        ip, port = server.sockets[0].getsockname()
        pool = upstream.Pool()
        connect, connecting = pool.try_connect, asyncio.Event()
        cancelled, connected = asyncio.Event(), asyncio.Event()

        async def connect_late(address):
            connecting.set()
            try:
                await cancelled.wait()
                return await connect(address)
            finally:
                connected.set()

        pool.try_connect = connect_late
        task = asyncio.ensure_future(
            calls.make_call(
                pool, f"{ip}:{port}", server_codec.HttpCall("POST", "/"), 5.0
            )
        )
        await connecting.wait()
        task.cancel()
        await asyncio.wait([task])
        cancelled.set()
        async with asyncio.timeout(5):
            await connected.wait()
        # A connection that was opened after all delivers before this one.
        _, writer = await asyncio.open_connection(ip, port)
        writer.write(b"last")
        while b"last" not in received:
            await asyncio.sleep(0.005)
        writer.close()
        server.close()
        return received

    context.received = asyncio.run(run_call())


@then("the server receives nothing")
def _(context):
    assert context.received == [b"last"], context.received
