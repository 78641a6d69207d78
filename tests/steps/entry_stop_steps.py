"""Steps about planned stops of real entries and control processes."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
from unittest import mock

from aiohttp import web
from behave import then, when
import orjson
from support import platform_cluster, stopped_servers

from hickorylead.configuration import messages as config_messages, model
from hickorylead.routing import messages as routing_messages
from hickorylead.runtime import clock, control, entry
from hickorylead.settings import options, roles

GRACE_S = 2.0
ENTRY_IP, BACKEND_IP = f"{platform_cluster.NET}.9", f"{platform_cluster.NET}.30"
PORT, BACKEND_PORT = 7701, 7702
ADDRESS = f"{ENTRY_IP}:{PORT}"
CONTROLS = ("z/vm1/control", "z/vm2/control")
FLAGS = {
    "vm": "vm1",
    "zone": "z",
    "address": ENTRY_IP,
    "peer_port": "7703",
    "controls": f"z/vm1={ENTRY_IP}:7704,z/vm2={ENTRY_IP}:7705",
}
ENTRY_FLAGS = {
    **FLAGS,
    "caller_port": str(PORT),
    "tokens": "token-kahikatea=crew",
    "operator_token": "token-operators",
    "drain_s": str(GRACE_S),
}
CONTROL_FLAGS = {**FLAGS, "http_port": str(PORT)}
STREAM_EVENTS = 30
LONG_RESPONSE = b"x" * (12 << 20)
METRICS = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
CHANGE = {
    "change_id": "change-01",
    "expected_version": 1,
    "operation": {"kind": "drain_vm", "vm": "vm9", "drained": True},
}


def render_call(
    path: str, body: bytes, token: str = "token-kahikatea", **extra: str
) -> bytes:
    """Returns a POST of a caller on a connection that it may keep."""
    fields = {
        "Host": "x",
        "Authorization": f"Bearer {token}",
        "Content-Length": str(len(body)),
        **extra,
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"POST {path} HTTP/1.1\r\n{lines}\r\n".encode() + body


def render_last_call(path: str, body: bytes) -> bytes:
    """Returns a POST after whose response the connection ends."""
    return render_call(path, body, Connection="close")


def render_stream() -> bytes:
    """Returns a request of a stream."""
    chat = {
        "model": "assistant",
        "stream": True,
        "messages": [{"role": "user", "content": "Is our line lead?"}],
    }
    return render_call("/v1/chat/completions", orjson.dumps(chat))


class Backend:
    """A plain service and a model on one address."""

    def __init__(self) -> None:
        """Makes a backend that has received nothing."""
        self.delay_s = 0.0
        self.response = b"done"
        self.cancelled = 0

    async def start(self) -> web.AppRunner:
        """Opens its port."""
        app = web.Application()
        app.router.add_post("/v1/run", self.run)
        app.router.add_post("/{path:.*}", self.call)
        runner = web.AppRunner(app, handler_cancellation=True)
        await runner.setup()
        await web.TCPSite(runner, BACKEND_IP, BACKEND_PORT).start()
        return runner

    async def call(self, request: web.Request) -> web.Response:
        """Handles a call of the plain service."""
        await request.read()
        try:
            await asyncio.sleep(self.delay_s)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return web.Response(
            body=self.response,
            headers={"Request-Id": request.headers["Request-Id"]},
        )

    async def run(self, request: web.Request) -> web.StreamResponse:
        """Handles a request of a stream."""
        request_id = (await request.json())["request_id"]
        response = web.StreamResponse()
        await response.prepare(request)
        for position in range(STREAM_EVENTS):
            await asyncio.sleep(0.02)
            frame = {
                "request_id": request_id,
                "position": position,
                "tokens": 1,
                "text": f"t{position} ",
            }
            if position == STREAM_EVENTS - 1:
                frame["finish_reason"] = "stop"
            await response.write(orjson.dumps(frame) + b"\n")
        return response


class Stop:
    """A stop of an entry or control process, and what callers saw."""

    def __init__(self, process) -> None:
        """Makes the stop of a process that runs."""
        self.process = process
        self.backend = Backend()
        self.task = asyncio.ensure_future(process.run())
        self.ended_s = 0.0
        self.answers: list[stopped_servers.Answer] = []

    def configure(self) -> None:
        """Tells the entry its configuration and its replicas."""
        services = (
            model.Service("desk", kind=model.KIND_PLAIN),
            model.Service("assistant"),
        )
        replicas = tuple(
            routing_messages.Replica(
                group=f"g-{service.name}",
                service=service.name,
                zone="z",
                generation=1,
                vm="b1",
                address=f"{BACKEND_IP}:{BACKEND_PORT}",
                slots=8,
                keepalive_s=keepalive_s,
            )
            for service, keepalive_s in zip(services, (0.0, 1.0), strict=True)
        )
        for message in (
            config_messages.ConfigurationUpdate(
                CONTROLS[0],
                ready=True,
                from_leader=True,
                leader=CONTROLS[0],
                version=1,
                configuration=model.Configuration(version=1, services=services),
            ),
            routing_messages.TableUpdate(
                "z", 1, 1, full=True, added=replicas, loads=bytes(2)
            ),
        ):
            self.process._receive(CONTROLS[0], message)

    async def call(self, request: bytes) -> asyncio.Future:
        """Sends a request on a new connection; returns its answer to come."""
        caller = await stopped_servers.Caller(ADDRESS).connect()
        caller.send(request)
        return asyncio.ensure_future(caller.receive())

    async def run(self) -> None:
        """Sends SIGTERM and waits for the end of the process."""
        began = clock.read_boottime()
        os.kill(os.getpid(), signal.SIGTERM)
        await stopped_servers.wait_for_end(self.task)
        self.ended_s = clock.read_boottime() - began


def run_stop(context, session):
    """Runs a session with an entry that has one backend."""

    async def run():
        settings = options.read_settings(roles.ENTRY_OPTIONS, ENTRY_FLAGS, {})
        process = entry.EntryProcess(settings)
        process._peers = context.peers = mock.Mock()
        process._peers.start = process._peers.close = mock.AsyncMock()
        process.log = context.log = mock.Mock()
        stop = context.stop = Stop(process)
        runner = await stop.backend.start()
        while not stopped_servers.RecordedServer.opened or not (
            stopped_servers.RecordedServer.opened[0]._server.started
        ):
            await asyncio.sleep(0.01)
        stop.configure()
        try:
            stop.answers = await session(stop)
        finally:
            await runner.cleanup()

    with stopped_servers.record():
        asyncio.run(run())


async def stop_within_body(stop, pause_s, signals=1, is_known=True):
    """Stops the entry while the body of a call still comes.

    Args:
        stop: The stop.
        pause_s: When the rest of the body comes, in seconds after it.
        signals: Number of signals.
        is_known: Whether the entry has seen how long such calls take.
    """
    if is_known:
        await (await stop.call(render_last_call("/services/desk/a", b"x")))
    caller = await stopped_servers.Caller(ADDRESS).connect()
    request = render_last_call("/services/desk/a", b"tree" * 10)
    caller.send(request[:-8])
    receiving = asyncio.ensure_future(caller.receive())
    await asyncio.sleep(0.1)
    stopping = asyncio.ensure_future(stop.run())
    for _ in range(signals - 1):
        await asyncio.sleep(0.1)
        os.kill(os.getpid(), signal.SIGTERM)
    await asyncio.sleep(pause_s)
    caller.send(request[-8:])
    await stopping
    return [await receiving]


@when("an entry stops while the body of a call still comes")
def _(context):
    run_stop(context, lambda s: stop_within_body(s, 0.5))


@when("an entry stops while the body of a call of unknown length still comes")
def _(context):
    run_stop(context, lambda s: stop_within_body(s, 0.5, is_known=False))


@when("an entry stops while the body of a call stands still")
def _(context):
    run_stop(context, lambda s: stop_within_body(s, GRACE_S))


@when("an entry gets SIGTERM twice while the body of a call still comes")
def _(context):
    run_stop(context, lambda s: stop_within_body(s, 0.5, signals=2))


@when("a caller goes on sending its body until it is refused by a stop")
def _(context):
    async def session(stop):
        caller = await stopped_servers.Caller(ADDRESS).connect()
        request = render_last_call("/services/desk/a", bytes(1 << 19))
        caller.send(request[: -(1 << 19)])
        await asyncio.sleep(0.1)
        stopping = asyncio.ensure_future(stop.run())
        receiving = asyncio.ensure_future(caller.reader.readuntil(b"}"))
        late = 0
        while late < 10:
            caller.send(b"x")
            await asyncio.sleep(0.005)
            late += receiving.done()
        try:
            caller.answer.raw = await receiving
        except (asyncio.IncompleteReadError, OSError):
            # The connection has ended without a response.
            caller.answer.raw = b""
        caller.answer.was_reset = caller.writer.transport.is_closing()
        caller.writer.close()
        await stopping
        return [caller.answer]

    run_stop(context, session)


@when("an entry stops while callers stream on kept connections")
def _(context):
    async def keep_streaming(caller):
        await caller.connect()
        receiving = asyncio.ensure_future(caller.receive())
        sent = 0
        while not receiving.done():
            if caller.answer.raw.count(b"data: [DONE]") == sent:
                caller.send(render_stream())
                sent += 1
            await asyncio.sleep(0.01)
        return await receiving

    async def session(stop):
        callers = [stopped_servers.Caller(ADDRESS) for _ in range(3)]
        streams = [asyncio.ensure_future(keep_streaming(c)) for c in callers]
        await asyncio.sleep(0.9)
        await stop.run()
        return await asyncio.gather(*streams)

    run_stop(context, session)


@when("a request comes on a kept connection of an entry that is stopping")
def _(context):
    async def session(stop):
        kept = await stopped_servers.Caller(ADDRESS).connect()
        stop.backend.delay_s = 0.6
        pending = await stop.call(render_last_call("/services/desk/a", b"x"))
        await asyncio.sleep(0.1)
        stopping = asyncio.ensure_future(stop.run())
        await asyncio.sleep(0.1)
        kept.send(render_call("/services/desk/a", b"y"))
        answers = [await kept.receive(), await pending]
        await stopping
        return answers

    run_stop(context, session)


@when("an entry stops while a caller reads a long response late")
def _(context):
    async def session(stop):
        stop.backend.response = LONG_RESPONSE
        caller = stopped_servers.Caller(ADDRESS)
        await caller.connect()
        small = caller.writer.get_extra_info("socket")
        small.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 18)
        caller.send(render_last_call("/services/desk/a", b"x"))
        await asyncio.sleep(0.5)
        assert not stop.process.role.dispatcher.count_pending()
        stopping = asyncio.ensure_future(stop.run())
        await asyncio.sleep(0.5)
        answer = await caller.receive()
        await stopping
        return [answer]

    run_stop(context, session)


@when("an entry stops while a call takes longer than its grace time")
def _(context):
    async def session(stop):
        stop.backend.delay_s = 2 * GRACE_S
        pending = await stop.call(render_last_call("/services/desk/a", b"x"))
        await asyncio.sleep(0.1)
        await stop.run()
        return [await pending]

    run_stop(context, session)


@when("an entry stops while a change waits for control processes")
def _(context):
    async def session(stop):
        request = render_call(
            "/admin/changes",
            orjson.dumps(CHANGE),
            "token-operators",
            Connection="close",
        )
        pending = await stop.call(request)
        await asyncio.sleep(0.1)
        await stop.run()
        return [await pending]

    run_stop(context, session)


async def stop_beside_metrics(stop):
    """Stops a process while a caller does not read its metrics."""
    caller = await stopped_servers.Caller(ADDRESS).connect()
    caller.send(METRICS * 5000)
    await asyncio.sleep(0.3)
    await stop.run()
    return [await caller.receive()]


@when("an entry stops while a caller of its metrics does not read")
def _(context):
    run_stop(context, stop_beside_metrics)


@when("a control process stops while a caller of its metrics does not read")
def _(context):
    async def run():
        settings = options.read_settings(
            roles.CONTROL_OPTIONS, CONTROL_FLAGS, {}
        )
        process = control.ControlProcess(settings)
        process._peers = mock.Mock()
        process._peers.start = process._peers.close = mock.AsyncMock()
        context.stop = Stop(process)
        await asyncio.sleep(0.3)
        await stop_beside_metrics(context.stop)

    with stopped_servers.record():
        asyncio.run(run())


@then("the call gets its whole response with status 200")
def _(context):
    answer = context.stop.answers[-1]
    assert answer.status == 200 and answer.is_complete, (
        answer.raw[:300],
        len(answer.raw),
        context.stop.ended_s,
    )


@then("the call is refused as entry_stopping with 503 and Retry-After")
def _(context):
    answer = context.stop.answers[0]
    assert answer.status == 503 and answer.is_complete, answer
    assert float(answer.read_header("retry-after")) > 0, answer
    problem = orjson.loads(answer.body)
    assert problem["code"] == "entry_stopping", problem
    assert problem["verdict"] == "not_run", problem


@then("the call is answered with 504, entry_stopping and may_have_run")
def _(context):
    answer = context.stop.answers[0]
    assert answer.status == 504 and answer.is_complete, answer
    problem = orjson.loads(answer.body)
    assert problem["code"] == "entry_stopping", problem
    assert problem["verdict"] == "may_have_run", problem


@then("one line of the log names the call and its end")
def _(context):
    request_id = orjson.loads(context.stop.answers[0].body)["request_id"]
    ends = [
        call.kwargs
        for call in context.log.info.call_args_list
        if call.args == ("request ended",)
    ]
    assert [e["request_id"] for e in ends] == [request_id], ends
    assert ends[0]["reason"] == "entry_stopping", ends


@then("the backend has seen that the call was cancelled")
def _(context):
    assert context.stop.backend.cancelled == 1


@then("the change is answered as one whose outcome is unknown")
def _(context):
    answer = context.stop.answers[0]
    assert answer.status == 504 and answer.is_complete, answer
    problem = orjson.loads(answer.body)
    assert problem["code"] == "change_outcome_unknown", problem


@then("the connection was not reset")
def _(context):
    assert not context.stop.answers[0].was_reset


@then("no stream is cut and each connection is closed")
def _(context):
    assert len(context.stop.answers) == 3
    for answer in context.stop.answers:
        # Each response of a stream ends with its last event and chunk.
        started = answer.raw.count(b"HTTP/1.1 200 OK")
        assert started >= 2, answer.raw[:300]
        assert answer.raw.count(b"data: [DONE]\n\n\r\n0\r\n\r\n") == started, (
            started,
            answer.raw[-300:],
        )


@then("the entry has ended within its grace time")
def _(context):
    assert context.stop.ended_s < GRACE_S, context.stop.ended_s


@then("the process has ended within {limit:g} s")
def _(context, limit):
    assert context.stop.ended_s < limit, context.stop.ended_s
