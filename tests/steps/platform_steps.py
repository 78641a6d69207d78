"""Steps about the platform's formats, sessions and connections."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import socket
import struct
import subprocess
import sys
import tempfile

from behave import given, then, when
import orjson
from returns import result
from support import forwarder_harness, platform_cluster

from hickorylead import errors
from hickorylead.fleet import server_codec
from hickorylead.forwarding import events, model
from hickorylead.platform import documents, headers, servers, settings
from hickorylead.runtime import calls, upstream

# The smallest number that needs 64 bits without a sign.
LARGE = 2**63
GOLDEN = pathlib.Path(__file__).resolve().parent.parent / "golden/platform"


@then('the platform session "{name}" gives its recorded lines')
def _(context, name):
    actual = asyncio.run(
        platform_cluster.run_session(platform_cluster.SESSIONS[name])
    )
    file = GOLDEN / f"{name}.txt"
    if context.config.userdata.get("golden") == "write":
        file.write_text(actual, encoding="utf-8")
    expected = file.read_text(encoding="utf-8")
    assert actual == expected, f"{file.name} differs:\n{actual}"


# Settings.

VALID_SETTINGS = """\
NodeName=front-1
Ip=127.0.0.1
Zone=z1
Zones.z1=r
Zones.z2=r
Listen.Front=127.0.0.1:7000
Listen.ReadinessAddress=127.0.0.1:7001
InternalPorts=7340,7355
Seeds=127.0.0.2:7002,127.0.0.3:7002
Bootstrap=true
HeartbeatMs=1200
"""


@given("a platform settings file for a gateway with three faults")
def _(context):
    context.settings_text = (
        VALID_SETTINGS.replace("InternalPorts=7340,7355", "InternalPorts=x,y")
        .replace("Zone=z1\n", "")
        .replace("Listen.Front=127.0.0.1:7000", "Listen.Front=127.0.0.1:0")
    )


@then('it is rejected with an error naming "{first}", "{second}" and "{third}"')
def _(context, first, second, third):
    try:
        settings.parse_settings(context.settings_text, role="gateway")
    except errors.SettingsError as error:
        assert all(n in str(error) for n in (first, second, third)), error
    else:
        raise AssertionError("the settings were accepted")


@then("the gateway's process prints one line and ends with exit code 2")
def _(context):
    with tempfile.NamedTemporaryFile("w", suffix=".conf") as file:
        file.write(context.settings_text)
        file.flush()
        process = subprocess.run(
            [sys.executable, "-m", "hickorylead.platform", "gateway"],
            env={settings.PATH_VARIABLE: file.name},
            capture_output=True,
            text=True,
            check=False,
        )
    assert process.returncode == 2, process
    assert len(process.stderr.strip().splitlines()) == 1, process.stderr


START_WITH_SIGNAL = """
import os, signal, sys
from hickorylead.platform import program
load = program.settings_module.load_settings
def load_after_signal(role):
    os.kill(os.getpid(), signal.SIGHUP)
    return load(role)
program.settings_module.load_settings = load_after_signal
sys.exit(program.run_program(["gateway"]))
"""


@then("a gateway that gets SIGHUP before it has read its settings reports them")
def _(_):
    process = subprocess.run(
        [sys.executable, "-c", START_WITH_SIGNAL],
        env={settings.PATH_VARIABLE: "/nowhere"},
        capture_output=True,
        text=True,
        check=False,
    )
    assert process.returncode == 2, process
    assert "/nowhere" in process.stderr, process.stderr


@given("a platform settings file with an unknown field")
def _(context):
    context.settings_text = VALID_SETTINGS + "Something.New=1\n"


@then("its seeds are the peer addresses of the coordinators")
def _(context):
    actual = settings.parse_settings(context.settings_text, role="gateway")
    assert actual.seeds == ("127.0.0.2:7340", "127.0.0.3:7340"), actual
    assert actual.zones == ("z1", "z2"), actual


# Configurations and heartbeats.


@given("a platform configuration with {change}")
def _(context, change):
    body = platform_cluster.make_configuration(4)
    route = body["Routes"][0]
    match change:
        case "a string as version":
            body["Version"] = "4"
        case "no routes":
            del body["Routes"]
        case "an unknown kind":
            route["Kind"] = "whenever"
        case "an unknown service":
            route["Service"] = "nowhere"
        case "a timeout of 0":
            route["TimeoutMs"] = 0
        case "a string as timeout":
            route["TimeoutMs"] = "8000"
        case "no number as timeout":
            route["TimeoutMs"] = "nan"
        case "a flag as timeout":
            route["TimeoutMs"] = True
        case "no number as weight":
            route["TrafficSplit"] = [
                {"Service": route["Service"], "Weight": "nan"}
            ]
        case "a flag as weight":
            route["TrafficSplit"] = [
                {"Service": route["Service"], "Weight": True}
            ]
        case "a string as priority":
            route["Priority"] = "1"
        case "a string as rank":
            body["Tenants"][0]["Priority"] = "1"
        case "a string as flag":
            route["AuthExempt"] = "false"
        case "a string as keys":
            body["Tenants"][0]["ApiKeys"] = "secret"
        case "an object as routes":
            body["Routes"] = {}
        case "a version of 2^63":
            body["Version"] = 2**63
        case "a foreign Service":
            route["TrafficSplit"] = [{"Service": route["Service"], "Weight": 1}]
            route["Service"] = "nowhere"
        case "a key twice in one workspace":
            body["Tenants"][0]["ApiKeys"] *= 2
    context.body = orjson.dumps(body)
    if change == "its end cut off":
        context.body = context.body[:-20]


@then("it is decoded")
def _(context):
    documents.decode_document(context.body).unwrap()


@then('decoding it fails with "{reason}"')
def _(context, reason):
    match documents.decode_document(context.body):
        case result.Failure(problem):
            assert reason in problem, problem
        case actual:
            raise AssertionError(actual)


@given("a decoder that has decoded a configuration with {count:d} routes")
def _(context, count):
    body = platform_cluster.make_configuration(1)
    route = body["Routes"][0]
    body["Routes"] = [
        {**route, "Name": f"r{number}", "PathPrefix": f"/r{number}/"}
        for number in range(count)
    ]
    context.decoder = documents.DocumentDecoder()
    context.decoded = context.decoder.decode(orjson.dumps(body))
    context.decoded.unwrap()
    context.decoder.decoded_routes = 0
    context.body = body


@when("the timeout of one route changes")
def _(context):
    context.body["Routes"][7]["TimeoutMs"] = 1234
    context.decoded = context.decoder.decode(orjson.dumps(context.body))


@when("the service of the routes is renamed")
def _(context):
    for service in context.body["Services"]:
        service["Name"] += "-new"
    context.decoded = context.decoder.decode(orjson.dumps(context.body))


@when("the timeout of one route becomes 0 and is sent twice")
def _(context):
    context.body["Routes"][7]["TimeoutMs"] = 0
    for _ in range(2):
        context.decoded = context.decoder.decode(orjson.dumps(context.body))


@when("the timeout of one route becomes 1 and then a flag")
def _(context):
    for timeout in (1, True):
        context.body["Routes"][7]["TimeoutMs"] = timeout
        context.decoded = context.decoder.decode(orjson.dumps(context.body))


@when("one route is split and its unused service goes away")
def _(context):
    body = context.body
    split = [{"Service": body["Routes"][7]["Service"], "Weight": 1}]
    body["Routes"][7]["TrafficSplit"] = split
    body["Routes"][7]["Service"] = "unused"
    body["Services"].append({"Name": "unused"})
    context.decoder.decode(orjson.dumps(body)).unwrap()
    body["Services"].pop()
    context.decoded = context.decoder.decode(orjson.dumps(body))


@then("{count:d} route is decoded")
def _(context, count):
    assert context.decoder.decoded_routes == count


@then("the configuration has {count:d} routes and the new timeout")
def _(context, count):
    routes = context.decoded.unwrap().routes
    assert len(routes) == count
    assert routes[7].timeout_s == 1.234


@then('it is rejected with "{reason}"')
def _(context, reason):
    assert reason in context.decoded.failure()


@given("a platform heartbeat with {change}")
def _(context, change):
    body = {
        "Service": "s",
        "Address": "127.0.0.1:80",
        "Zone": "z1",
        "Version": "v1",
        "Slots": 2,
        "State": "ready",
        "ColdLeftMs": 0,
        "Sequence": 3,
    }
    context.server = "i-1"
    match change:
        case "no slots":
            del body["Slots"]
        case "no version":
            del body["Version"]
        case "a number as version":
            body["Version"] = 1
        case "no cold time":
            del body["ColdLeftMs"]
        case "a string as cold time":
            body["ColdLeftMs"] = "long"
        case "slots below 0":
            body["Slots"] = -1
        case "slots of 64 bits":
            body["Slots"] = LARGE
        case "a sequence of 64 bits":
            body["Sequence"] = LARGE
        case "an epoch of 64 bits":
            body["group"] = make_platform_group(epoch=LARGE)
        case "a rank of 64 bits":
            body["group"] = make_platform_group(rank=LARGE)
        case "a start of 64 bits":
            body["born"] = LARGE
        case "port 0":
            body["Address"] = "127.0.0.1:0"
        case "port 65536":
            body["Address"] = "127.0.0.1:65536"
        case "an id of two lines":
            context.server = "i-1\r\nx: y"
        case "no address":
            del body["Address"]
        case "a malformed address":
            body["Address"] = "somewhere"
        case "an unknown state":
            body["State"] = "tired"
        case "a number as zone":
            body["Zone"] = 7
        case "a string as slots":
            body["Slots"] = "two"
        case "a string as born":
            body["born"] = "yesterday"
        case "a number as models":
            body["Models"] = 3
        case "an unknown group state":
            body["group"] = make_platform_group(State="napping")
        case "a string as epoch":
            body["group"] = make_platform_group(epoch="x")
    context.body = orjson.dumps(body)
    if change == "its end cut off":
        context.body = context.body[:-5]
    if change == "a list as body":
        context.body = b"[" + context.body + b"]"


def make_platform_group(**changes):
    """Returns a group membership as servers report it."""
    return {"Name": "g1", "epoch": 1, "rank": 0, "State": "open", **changes}


@given("a server that started at {born:d}")
def _(context, born):
    context.born = born


@then("its heartbeat, report and deregistration contain that start time")
def _(context):
    heartbeat = {
        "Service": "s",
        "Address": "127.0.0.1:80",
        "Zone": "z1",
        "Version": "v1",
        "Slots": 2,
        "State": "ready",
        "ColdLeftMs": 0,
        "Sequence": 3,
        "born": context.born,
    }
    actual = servers.decode_heartbeat("i-1", orjson.dumps(heartbeat)).unwrap()
    assert actual.born == context.born
    report = orjson.dumps({"Sequence": 2, "born": context.born})
    actual = servers.PlatformServerCodec().decode_report(report)
    assert (actual.accepted, actual.born) == (2, context.born)
    deregistration = orjson.dumps({"born": context.born})
    assert servers.decode_start_time(deregistration).unwrap() == context.born


@then("a deregistration without a body contains no start time")
def _(context):
    assert servers.decode_start_time(b"").unwrap() == 0


@then('decoding the heartbeat fails with "{reason}"')
def _(context, reason):
    match servers.decode_heartbeat(context.server, context.body):
        case result.Failure(problem):
            assert reason in problem, problem
        case actual:
            raise AssertionError(actual)


@then('decoding a deregistration with {change} fails with "{reason}"')
def _(_, change, reason):
    body = {
        "a list": b"[]",
        "its end cut off": b'{"born":',
        "a string as born": b'{"born": "yesterday"}',
        "a start of 64 bits": b'{"born": %d}' % LARGE,
    }[change]
    match servers.decode_start_time(body):
        case result.Failure(problem):
            assert reason in problem, problem
        case actual:
            raise AssertionError(actual)


# Headers.


def encode_head(sent):
    """Returns the lines of a request's head as a replica receives it."""
    codec = headers.PlatformHeaderCodec()
    request = model.Request(
        request_id="r1",
        metadata=codec.decode_metadata(sent),
        route=forwarder_harness.ROUTES["alerts"],
        service="plain",
        workspace="crew",
        method="POST",
        target=b"/alerts/1",
        headers=codec.list_forwarded_headers(sent, "crew"),
        body=b"",
        urgency=1,
    )
    replica = model.Replica("i-1", "plain", "", "a:1", "z1", 6)
    attempt = events.StartAttempt(request, 1, replica, 0.5, 0, rank=4)
    return codec.encode_request_head(attempt).decode().lower().split("\r\n")


@given("a platform request with a forged workspace")
def _(context):
    context.lines = encode_head(
        [
            (b"host", b"h"),
            (b"attempt-id", b"a1"),
            (b"tenant", b"other"),
            (b"authorization", b"Token secret"),
        ]
    )


@then('the replica receives workspace "crew" once and no key')
def _(context):
    workspaces = [line for line in context.lines if line.startswith("tenant")]
    assert workspaces == ["tenant: crew"], workspaces
    assert not any("secret" in line for line in context.lines)


def decode_parts(header):
    """Returns the shared parts that a request with this header names."""
    fields = [(b"attempt-id", b"a1"), (b"prompt-prefix", header)]
    metadata = headers.PlatformHeaderCodec().decode_metadata(fields)
    return metadata.prompt_parts


@then('a request whose prompt parts are "{header}" shares "{parts}"')
@then('a request whose prompt parts are "{header}" shares ""')
@then('a request whose prompt parts are "" shares ""')
def _(context, header="", parts=""):
    found = decode_parts(header.encode())
    assert found == tuple(parts.split(",") if parts else ()), found


@then(
    "a request with {count:d} prompt parts shares {limit:d} and is forwarded "
    "with all"
)
def _(context, count, limit):
    header = b",".join(b"%x:10" % number for number in range(count))
    assert len(decode_parts(header)) == limit
    lines = encode_head([(b"prompt-prefix", header)])
    assert f"prompt-prefix: {header.decode()}" in lines


@given("a platform request with connection headers")
def _(context):
    context.lines = encode_head(
        [
            (b"host", b"h"),
            (b"attempt-id", b"a1"),
            (b"connection", b"keep-alive, x-hop"),
            (b"keep-alive", b"timeout=5"),
            (b"x-hop", b"1"),
            (b"x-kept", b"1"),
        ]
    )


@then("the replica receives none of them")
def _(context):
    names = {line.partition(":")[0] for line in context.lines}
    assert not names & {"connection", "keep-alive", "x-hop"}, names
    assert "x-kept" in names


# Connections.

OK = b"HTTP/1.1 200 OK\r\n"
COMPLETE_RESPONSE = (
    OK + b"Content-Length: 4\r\nKeep-Alive: timeout=9\r\n\r\nbody"
)
RESPONSES = {
    "a length": (COMPLETE_RESPONSE, ""),
    "chunks": (
        OK + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        "",
    ),
    "chunks without an end": (
        OK + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
        "close",
    ),
    "too few bytes": (OK + b"Content-Length: 9\r\n\r\nbody", "close"),
    "no length and a close": (OK + b"Connection: close\r\n\r\nbody", "close"),
    "no length and a reset": (OK + b"Connection: close\r\n\r\nbody", "reset"),
    "bytes that are not HTTP": (b"\0\1\2 what\r\n\r\n", ""),
    "an interim response": (
        b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + COMPLETE_RESPONSE,
        "",
    ),
    "a length and a second response": (
        COMPLETE_RESPONSE + COMPLETE_RESPONSE,
        "",
    ),
}


class Replica:
    """A replica that sends given bytes, then closes, resets or waits."""

    def __init__(self, data: bytes, end: str) -> None:
        self.data = data
        self.end = end
        self.connections = 0

    async def start(self) -> str:
        """Opens a port and returns the address."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def serve(self, reader, writer):
        """Responds to each request on a connection."""
        self.connections += 1
        try:
            while await reader.read(65536):
                writer.write(self.data)
                await writer.drain()
                if self.end == "reset":
                    # The bytes have to arrive before the reset does.
                    await asyncio.sleep(0.02)
                    linger = struct.pack("ii", 1, 0)
                    writer.get_extra_info("socket").setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, linger
                    )
                    writer.transport.abort()
                elif self.end == "close":
                    writer.close()
        except (OSError, asyncio.CancelledError):
            # The test has closed its side, or has ended.
            writer.close()


class ResultRecorder:
    """Records the result of a request."""

    def __init__(self) -> None:
        self.done = asyncio.get_running_loop().create_future()
        self.body = bytearray()

    def on_connected(self):
        pass

    def on_headers(self, status, response_headers):
        self.status = status

    def on_body_chunk(self, data):
        self.body += data

    def on_complete(self):
        self.done.set_result("complete")

    def on_failure(self, verdict, reason):
        self.reason = reason
        self.done.set_result(verdict.value)


async def send_requests(replica, *, times=1, pause_s=0.0):
    """Sends requests over one pool; returns the result of each."""
    address = await replica.start() if replica else "127.0.0.1:1"
    pool = upstream.Pool()
    results = []
    for number in range(times):
        if number:
            await asyncio.sleep(pause_s)
        recorder = ResultRecorder()
        pool.send_request(
            address, b"GET / HTTP/1.1\r\nhost: x\r\n\r\n", recorder
        )
        async with asyncio.timeout(5):
            results.append(await recorder.done)
        await asyncio.sleep(0)
    pool.close()
    if replica:
        replica.server.close()
    return results


@given("a replica that responds with {response}")
def _(context, response):
    if response.startswith("status "):
        status = response.removeprefix("status ").encode()
        data = COMPLETE_RESPONSE.replace(b" 200 ", b" " + status + b" ")
        context.replica = Replica(data, "")
        return
    context.replica = Replica(*RESPONSES[response])


@given("a replica that keeps connections for 1 second")
def _(context):
    data = COMPLETE_RESPONSE.replace(b"timeout=9", b"timeout=1")
    context.replica = Replica(data, "")


@given("a replica that does not listen")
def _(context):
    context.replica = None


@when("a request is sent to the replica")
def _(context):
    with allow_slow_connections():
        context.results = asyncio.run(send_requests(context.replica))


@when("a coordinator calls the replica")
def _(context):
    async def run():
        pool = upstream.Pool()
        address = await context.replica.start()
        call = server_codec.HttpCall("GET", "/report")
        response = await calls.make_call(pool, address, call, 5.0)
        pool.close()
        context.replica.server.close()
        return response

    with allow_slow_connections():
        context.response = asyncio.run(run())


@then("the call has no response because of {reason}")
def _(context, reason):
    assert context.response == calls.NoResponse(reason), context.response


@contextlib.contextmanager
def allow_slow_connections():
    """Extends the connect timeout, because the machine may be busy.

    The tests are about the end of a response, not about the connect timeout.
    """
    timeout_s, upstream.CONNECT_TIMEOUT_S = upstream.CONNECT_TIMEOUT_S, 5.0
    try:
        yield
    finally:
        upstream.CONNECT_TIMEOUT_S = timeout_s


@when("two requests are sent to the replica")
def _(context):
    context.results = asyncio.run(send_requests(context.replica, times=2))


@when("two requests are sent to the replica {pause:g} seconds apart")
def _(context, pause):
    context.results = asyncio.run(
        send_requests(context.replica, times=2, pause_s=pause)
    )


@then("the result is {expected}")
def _(context, expected):
    verdict = "may_have_run" if expected == "failure" else expected
    assert context.results == [verdict], context.results


@then("the second request goes over a new connection")
def _(context):
    assert context.results == ["complete", "complete"], context.results
    assert context.replica.connections == 2, context.replica.connections


@given('a replica\'s response that reports the limit "{text}"')
def _(context, text):
    response_headers = [(b"server-limit", text.encode())]
    context.head = headers.PlatformHeaderCodec().decode_response_head(
        200, response_headers
    )


@given('a replica\'s response that reports the limit ""')
def _(context):
    context.head = headers.PlatformHeaderCodec().decode_response_head(
        200, [(b"server-limit", b"")]
    )


@then("its limit is {limit}")
def _(context, limit):
    expected = None if limit == "none" else float(limit)
    assert context.head.limit_per_s == expected, context.head


@given(
    "a replica's response with status {status:d}, pause "
    '"{pause}" and leaving "{leaving}"'
)
def _(context, status, pause, leaving):
    response_headers = [
        (b"not-executed", b"1"),
        (b"retry-after", pause.encode()),
        (b"server-leaving", leaving.encode()),
    ]
    context.head = headers.PlatformHeaderCodec().decode_response_head(
        status, response_headers
    )


@given(
    'a replica\'s response with status {status:d} that names "{name}" '
    "as at fault"
)
def _(context, status, name):
    response_headers = [(b"at-server", name.encode())]
    context.head = headers.PlatformHeaderCodec().decode_response_head(
        status, response_headers
    )


@then('the server at fault is ""')
def _(context):
    assert not context.head.faulty_server, context.head


@then('the server at fault is "{name}"')
def _(context, name):
    assert context.head.faulty_server == name, context.head


@then("its pause is {pause}")
def _(context, pause):
    expected = None if pause == "none" else float(pause)
    assert context.head.retry_after_s == expected, context.head


@then("it is {state:w}")
def _(context, state):
    assert state == "leaving" and context.head.is_leaving, context.head


@then("it is not leaving")
def _(context):
    assert not context.head.is_leaving, context.head


@then('it names the malformed header "{name}"')
def _(context, name):
    assert context.head.malformed_headers == (name,), context.head


@then('a request with "{field}" of {value} cannot be decoded')
def _(_, field, value):
    if value.endswith(" nines"):
        value = "9" * int(value.split()[0])
    fields = [(b"attempt-id", b"a"), (field.lower().encode(), value.encode())]
    found = headers.PlatformHeaderCodec().decode_metadata(fields)
    assert isinstance(found, str), found
