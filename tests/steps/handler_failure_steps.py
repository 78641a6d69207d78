"""Steps about requests whose handler fails."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from unittest import mock

from behave import then, when
import orjson
from starlette import applications, responses, routing
from support import platform_cluster

from hickorylead.roles import gateway as gateway_role
from hickorylead.runtime import (
    forwarding,
    handler_failures,
    http_connection,
    response_writer,
    server as server_module,
)
from hickorylead.telemetry import library_log
from hickorylead_standins import platform

REQUEST = b"POST /x HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nok"
HALF_REQUEST = b"POST /x HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nok"
RESPONSES = {
    "a JSON 500 and a close": "JSON 500",
    "an incomplete response": "incomplete",
    "nothing but a close": "nothing",
}


class Log:
    """A log that keeps its lines."""

    def __init__(self):
        self.lines = []

    def warn(self, message, **fields):
        """Records a line."""
        self.lines.append({"event": message, **fields})


@contextlib.contextmanager
def keep_lines():
    """Keeps lines in a log, those of libraries too."""
    log = Log()
    handler = library_log.LibraryHandler(log)
    logging.getLogger().addHandler(handler)
    try:
        yield log
    finally:
        logging.getLogger().removeHandler(handler)


class Failing:
    """The work of a handler that fails."""

    def __init__(self, fails):
        self.raises = fails.startswith("raises")
        self.begins = fails.endswith("within its response")
        self.task = None
        self.has_begun = False

    async def fail(self):
        """Raises, or waits until it is cancelled."""
        self.has_begun = True
        if self.raises:
            raise ValueError("broken")
        await asyncio.Event().wait()


def make_plain_app(failing):
    """Returns an application that sends messages by itself."""

    async def app(scope, receive, send):
        connection = http_connection.find_connection(scope)
        connection.request_id, connection.attempt_id = "r-1", "a-1"
        failing.task = asyncio.current_task()
        if failing.begins:
            await send(
                {"type": "http.response.start", "status": 200, "headers": []}
            )
            await send(
                {"type": "http.response.body", "body": b"x", "more_body": True}
            )
        await failing.fail()

    return app


def make_app_of_views(failing, respond=handler_failures.respond):
    """Returns an application of views."""

    async def stream():
        yield b"x"
        await failing.fail()

    async def view(request):
        connection = http_connection.find_connection(request.scope)
        connection.request_id, connection.attempt_id = "r-1", "a-1"
        failing.task = asyncio.current_task()
        await request.body()
        if failing.begins:
            return responses.StreamingResponse(stream())
        await failing.fail()
        return None

    return applications.Starlette(
        routes=[routing.Route("/x", view, methods=["POST"])],
        exception_handlers={Exception: respond},
    )


def make_app(kind, failing):
    """Returns an application of a kind."""
    if kind == "a plain application":
        return make_plain_app(failing)
    return make_app_of_views(failing)


async def call(app, log, failing):
    """Sends a request; returns all that came until the connection closed."""
    server = server_module.HttpServer(
        app,
        "127.0.0.1",
        0,
        report_failure=handler_failures.make_reporter(log),
    )
    await server.start()
    reader, writer = await asyncio.open_connection(*server.get_address())
    writer.write(REQUEST)
    if failing.begins:
        await reader.readuntil(b"x\r\n")
    while not failing.has_begun:
        await asyncio.sleep(0.005)
    if not failing.raises:
        failing.task.cancel()
    async with asyncio.timeout(5):
        received = await reader.read()
    writer.close()
    await server.close()
    return received


@when("the handler of a request {fails} in {kind}")
def _(context, fails, kind):
    failing = Failing(fails)
    with keep_lines() as log:
        context.received = asyncio.run(
            call(make_app(kind, failing), log, failing)
        )
    context.lines = log.lines
    context.begins = failing.begins
    # A streamed response waits in the library when its handler is cancelled.
    context.is_view_cancelled = (
        failing.begins and not failing.raises and kind.endswith("views")
    )


@then("the caller of it sees {response}")
def _(context, response):
    match RESPONSES[response]:
        case "JSON 500":
            head, _, body = context.received.partition(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 500 "), head
            assert b"connection: close" in head.lower(), head
            assert orjson.loads(body) == {"error": "internal_error"}, body
        case _:
            # What came of an incomplete response was read before.
            assert context.received == b"", context.received


@then(
    'the log has one line "handler_failed" with its ids, why {why}, and no text'
)
def _(context, why):
    (line,) = context.lines
    assert line["event"] == "handler_failed", line
    assert (line["request_id"], line["attempt_id"]) == ("r-1", "a-1"), line
    assert why in line["why"], line
    source = "starlette" if context.is_view_cancelled else "_steps.py"
    assert source in line["place"], line
    if context.begins:
        assert line["phase"] == "responding", line


@when("the handler of a request raises at an entry")
def _(context):
    failing = Failing("raises before its response")
    app = make_app_of_views(failing, handler_failures.respond_with_problem)
    with keep_lines() as log:
        context.received = asyncio.run(call(app, log, failing))
    context.lines = log.lines


@then("its caller gets a problem that says that the request may have run")
def _(context):
    head, _, body = context.received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 500 "), head
    assert b"application/problem+json" in head, head
    problem = orjson.loads(body)
    assert problem["code"] == "internal_error", problem
    assert problem["verdict"] == "may_have_run", problem
    (line,) = context.lines
    assert line["event"] == "handler_failed", line


@when("the caller of an application of views leaves within its body")
def _(context):
    async def leave(log):
        server = server_module.HttpServer(
            make_app_of_views(Failing("raises before its response")),
            "127.0.0.1",
            0,
            report_failure=handler_failures.make_reporter(log),
        )
        await server.start()
        _, writer = await asyncio.open_connection(*server.get_address())
        writer.write(HALF_REQUEST)
        await writer.drain()
        while not server.list_owed():
            await asyncio.sleep(0.005)
        writer.close()
        while server.connections:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.05)
        await server.close()

    with keep_lines() as log:
        asyncio.run(leave(log))
    context.lines = log.lines


@then("the log has no line and no text")
def _(context):
    assert context.lines == [], context.lines


@then(
    "a handler that fails at a gateway's port for callers, readiness or"
    " metrics has a line"
)
def _(_):
    found = {}

    is_ready = gateway_role.Gateway.is_ready
    failing = []

    def fail(*_):
        raise ValueError("broken")

    def read_ready(role):
        return fail() if failing else is_ready(role)

    async def session(cluster):
        gateway = cluster.gateway
        ip = gateway.settings.ip
        ports = {
            "callers": (platform_cluster.CALLER_PORT, b"GET /drafts/"),
            "readiness": (platform_cluster.READY_PORT, b"GET /ready"),
            "metrics": (platform_cluster.METRICS_PORT, b"GET /metrics"),
        }
        failing.append(True)
        with (
            mock.patch.object(forwarding.Application, "_serve", fail),
            mock.patch.object(type(gateway), "_collect_gauges", fail),
        ):
            for name, (port, call) in ports.items():
                head = call + b" HTTP/1.1\r\nhost: x\r\n\r\n"
                before = cluster.log_path.read_bytes()
                found[name] = (
                    await platform.send_raw(f"{ip}:{port}", head),
                    cluster.log_path.read_bytes()[len(before) :],
                )
        failing.clear()

    with mock.patch.object(gateway_role.Gateway, "is_ready", read_ready):
        asyncio.run(platform_cluster.run_session(session))
    for name, (response, written) in found.items():
        assert response.startswith(b"HTTP/1.1 500 "), (name, response)
        assert response.endswith(b'{"error":"internal_error"}'), (
            name,
            response,
        )
        lines = [orjson.loads(line) for line in written.splitlines()]
        named = [line for line in lines if line["event"] == "handler_failed"]
        assert len(named) == 1, (name, lines)


@then("a replica's run ends once the handler of its request has failed")
def _(_):
    async def session(cluster):
        servers = cluster.servers
        before = cluster.count_received()

        async def fail(_):
            await cluster.wait_for(lambda: cluster.count_received() != before)
            raise ValueError("broken")

        for server in servers:
            server.manner.endless = b"x" * 1000
        with mock.patch.object(response_writer.ResponseWriter, "run", fail):
            await cluster.send_request(
                "/drafts/x",
                Model=platform_cluster.MODEL,
                Token_Count="5,9",
            )
        assert cluster.gateway.role.count_pending() == 0
        await cluster.wait_for(
            lambda: not any(server.endless_count for server in servers)
        )

    asyncio.run(platform_cluster.run_session(session))


@then("a body is forgotten once the handler of its request has failed")
def _(_):
    async def fail(*_):
        raise ValueError("broken")

    async def session(cluster):
        with mock.patch.object(forwarding, "_read_body", fail):
            reader, writer = await asyncio.open_connection(
                *cluster.caller_address.split(":")
            )
            writer.write(
                b"POST /alerts/x HTTP/1.1\r\nHost: host.example\r\n"
                b"Authorization: Token key-1\r\nAttempt-Id: a-1\r\n"
                b"Content-Length: 9\r\n\r\nhalf"
            )
            assert (await reader.readline()).startswith(b"HTTP/1.1 500 ")
            writer.close()
        assert not len(cluster.gateway.role._forwarder._arrivals)

    asyncio.run(platform_cluster.run_session(session))
