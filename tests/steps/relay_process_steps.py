"""Steps about relays of real gateways."""

from __future__ import annotations

import asyncio
import re
from unittest import mock

import attrs
from behave import given, then, when
from steps import platform_steps
from support import platform_cluster

from hickorylead.forwarding import model
from hickorylead.relaying import messages, relay_directory
from hickorylead.runtime import clock, gateway, relay_endpoint
from hickorylead_standins import platform

EVENT_COUNT = 12
# Events of a stream in which something happens; a server sends one each 5 ms.
LONG_EVENT_COUNT = 200
STOP_GRACE_S = 12.0
METRICS = b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
COUNTS = {"two": 2, "three": 3}


def fail_connections(process, kind):
    """Makes new connections of a gateway to servers fail."""

    async def connect(_):
        if kind == "hang":
            await asyncio.Event().wait()
        raise ConnectionRefusedError

    process._pool.close()
    process._pool._connect = connect


def restore_connections(process):
    """Makes new connections of a gateway work again."""
    del process._pool._connect


async def call_until_relayed(cluster):
    """Sends calls until one is relayed; the first ones notice the fault."""
    for _ in range(20):
        before = cluster.gateway._relays.pool.request_count
        response = await cluster.send_request("/alerts/1", b"words")
        if cluster.gateway._relays.pool.request_count > before:
            return response
    raise AssertionError("no call was relayed")


def run(context, session):
    """Runs a session on a cluster with the given number of gateways."""
    context.record = asyncio.run(
        platform_cluster.run_session(
            session, gateways=context.gateways, grace_s=STOP_GRACE_S
        )
    )


@given("a cluster with {count} gateways")
def _(context, count):
    context.gateways = COUNTS[count]


@when("new connections of the first gateway {fault}")
def _(context, fault):
    async def session(cluster):
        fail_connections(cluster.gateway, fault)
        await call_until_relayed(cluster)
        before = cluster.count_received()
        context.responses = [
            await cluster.send_request(f"/alerts/{n}?x=%2f", b"tree %d" % n)
            for n in range(5)
        ]
        context.responses.append(await send_stream(cluster))
        context.received = [
            request
            for server in cluster.servers
            for request in server.received[before[server.name] :]
        ]
        context.metrics = [
            (await platform.send_raw(address, METRICS)).decode()
            for address in cluster.metrics_addresses
        ]

    run(context, session)


async def send_stream(cluster, event_count=EVENT_COUNT):
    """Sends a streaming request; returns the raw response."""
    for server in cluster.servers:
        server.manner.events = event_count
    return await cluster.send_request(
        "/drafts/x",
        b"words",
        Model=platform_cluster.MODEL,
        Token_Count="5,9",
    )


@then("its callers get complete responses with the servers' signatures")
def _(context):
    for response in context.responses:
        assert response.startswith(b"HTTP/1.1 200"), response
        assert b"server-seal: seal." in response.lower(), response
    check_stream(context.responses[-1])


@then("no server gets a key, and each gets the caller's bytes")
def _(context):
    assert len(context.received) == 6, context.received
    for request in context.received:
        assert "authorization" not in request.headers, request
        assert request.headers["tenant"] == "crew", request
    sent = {(r.target, r.body) for r in context.received}
    expected = {(f"/alerts/{n}?x=%2f", b"tree %d" % n) for n in range(5)}
    assert expected < sent, sent


def check_stream(response, event_count=EVENT_COUNT):
    """Checks that a response is a complete stream without repeated events."""
    ids = [int(n) for n in re.findall(rb"\bid: ?(\d+)", response)]
    assert ids == list(range(1, event_count + 1)), ids
    assert response.endswith(b"0\r\n\r\n"), response[-40:]


@then("the caller gets each event once and a complete stream")
def _(context):
    check_stream(context.response, context.event_count)


@when("connections of the first gateway fail during some calls only")
def _(context):
    async def session(cluster):
        fail_connections(cluster.gateway, "are refused")
        await call_until_relayed(cluster)
        restore_connections(cluster.gateway)
        await cluster.wait_for(
            lambda: not cluster.gateway.role._reachability.has_failures()
        )
        context.count = cluster.gateway._relays.pool.request_count
        context.responses = [
            await cluster.send_request("/alerts/1") for _ in range(5)
        ]
        context.count -= cluster.gateway._relays.pool.request_count

    run(context, session)


@then("its calls reach the servers directly afterwards")
def _(context):
    assert context.count == 0
    assert all(r.startswith(b"HTTP/1.1 200") for r in context.responses)


async def start_relayed_stream(context, cluster, event_count=LONG_EVENT_COUNT):
    """Starts a stream that goes through a relay; returns it and the relay."""
    context.event_count = event_count
    fail_connections(cluster.gateway, "are refused")
    await call_until_relayed(cluster)
    stream = asyncio.ensure_future(send_stream(cluster, event_count))

    def list_relays():
        return [
            p for p in cluster.gateways[1:] if p._relays.server.count_active()
        ]

    await cluster.wait_for(list_relays)
    await cluster.wait_for(
        lambda: any(
            pending.attempt is not None and pending.attempt.has_output
            for pending in cluster.gateway.role._forwarder._pending.values()
        )
    )
    return stream, list_relays()[0]


@when("the relay of a stream ends in the middle of it")
def _(context):
    async def session(cluster):
        stream, relay = await start_relayed_stream(context, cluster)
        relay._relays.server.close()
        context.response = await stream

    run(context, session)


def stop_without_delay():
    """Makes a stopping gateway wait for nothing but its requests."""
    return mock.patch.object(gateway, "BALANCER_DETECTION_S", 0.05)


@when("the relay of a stream gets SIGTERM")
def _(context):
    async def session(cluster):
        stream, relay = await start_relayed_stream(context, cluster)
        context.requests = cluster.gateway._relays.pool.request_count
        relay._stop.set()
        context.response = await stream
        context.requests -= cluster.gateway._relays.pool.request_count

    with stop_without_delay():
        run(context, session)


@then("the relay waited for the stream, which it did not begin again")
def _(context):
    assert context.requests == 0, context.requests


@when("the gateway whose stream goes through a relay gets SIGTERM")
def _(context):
    async def session(cluster):
        stream, _ = await start_relayed_stream(context, cluster)
        cluster.gateway._stop.set()
        context.response = await stream

    with stop_without_delay():
        run(context, session)


@when("the caller of a stream that goes through a relay closes its connection")
def _(context):
    async def session(cluster):
        stream, relay = await start_relayed_stream(context, cluster)
        stream.cancel()
        await cluster.wait_for(
            lambda: not relay._relays.server.count_active(), 0.5
        )
        context.is_closed = True

    run(context, session)


@then("the server's connection closes within half a second")
def _(context):
    assert context.is_closed


def read_metric(text, name):
    """Returns the value of a gauge."""
    found = re.search(rf"^hickorylead_{name} (\S+)$", text, re.MULTILINE)
    assert found, name
    return float(found[1])


@then(
    "the metrics of the first gateway show unreachable servers and relayed "
    "requests"
)
def _(context):
    assert read_metric(context.metrics[0], "unreachable_servers") > 0
    assert read_metric(context.metrics[0], "relayed_requests_total") >= 6


@then("the metrics of the second gateway show neither")
def _(context):
    assert read_metric(context.metrics[1], "unreachable_servers") == 0
    assert read_metric(context.metrics[1], "relayed_requests_total") == 0


@when("the second gateway's ticks are late")
def _(context):
    async def session(cluster):
        stream, relay = await start_relayed_stream(context, cluster)
        opening = make_opening(cluster, relay)
        endpoint = relay._relays
        context.reasons = {"on time": endpoint.check(opening)}
        endpoint.record_late_tick(1.0, clock.read_boottime())
        context.reasons["late"] = endpoint.check(opening)
        with mock.patch.object(relay_endpoint, "BUSY_EXTRA_EXCHANGES", 4):
            context.reasons["few"] = endpoint.check(opening)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await cluster.wait_for(lambda: not endpoint.check(opening))
        context.waited_s = loop.time() - started_at
        await stream

    # The late ticks of a busy machine must not count.
    with (
        mock.patch.object(relay_endpoint, "BUSY_EXTRA_EXCHANGES", 1),
        mock.patch.object(relay_endpoint, "MAX_LATE_S", 0.9),
        mock.patch.object(relay_endpoint, "BUSY_S", 0.2),
    ):
        run(context, session)


def make_opening(cluster, relay):
    """Returns the opening of an exchange with a server."""
    server = cluster.find_server("p0")
    return messages.RelayOpen(
        relay.role._parts.identity.relay_token,
        server.name,
        server._address,
        1000,
    )


@then("it relays no more exchanges than it may, until its ticks are on time")
def _(context):
    assert context.reasons == {
        "on time": "",
        "late": model.RELAY_REFUSED,
        "few": "",
    }, context.reasons
    assert context.waited_s > 0.05, context.waited_s


@then('the second gateway refuses an exchange with {opening} as "{reason}"')
def _(context, opening, reason):
    async def session(cluster):
        relay = cluster.gateways[1]
        valid = make_opening(cluster, relay)
        await cluster.wait_for(lambda: not relay._relays.check(valid))
        match opening:
            case "another token":
                changed = attrs.evolve(valid, token="0" * len(valid.token))
            case "an unknown server":
                changed = attrs.evolve(valid, server="elsewhere")
            case "the address of a gateway":
                address = cluster.gateway.role._parts.identity.relay_address
                changed = attrs.evolve(valid, address=address)
            case _:
                changed = valid
                for server in cluster.servers:
                    replica = relay.role.find_replica(server.name)
                    if replica is not None and replica.service == "desk":
                        relay.role._reachability.record_failure(
                            replica,
                            "lost",
                            present=2,
                            now=clock.read_boottime(),
                        )
        context.reason = relay._relays.check(changed)

    run(context, session)
    assert context.reason == reason, context.reason


@then(
    "a request with another token through the second gateway reaches no server"
)
def _(context):
    async def session(cluster):
        relay = cluster.gateways[1]
        before = cluster.count_received()
        recorder = platform_steps.ResultRecorder()
        replica = cluster.gateway.role.find_replica("p0")
        cluster.gateway._relays.pool.send_request(
            relay_directory.Relay(
                "z1/front2/gateway",
                relay.role._parts.identity.relay_address,
                "0" * 32,
                frozenset(),
                0.0,
            ),
            replica,
            b"GET / HTTP/1.1\r\nhost: x\r\n\r\n",
            1.0,
            recorder,
        )
        context.result = await recorder.done
        context.received = cluster.count_received() != before

    run(context, session)
    assert context.result == "not_run", context.result
    assert not context.received


@then("the second gateway refuses exchanges once it is stopping")
def _(context):
    async def session(cluster):
        relay = cluster.gateways[1]
        opening = make_opening(cluster, relay)
        await cluster.wait_for(lambda: not relay._relays.check(opening))
        relay._stop.set()
        await cluster.wait_for(lambda: relay.role.is_stopping)
        context.reason = relay._relays.check(opening)

    run(context, session)
    assert context.reason == model.RELAY_REFUSED, context.reason
