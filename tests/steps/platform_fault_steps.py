"""Steps about faults of single processes of the platform."""

from __future__ import annotations

import asyncio
import errno
import os
import pathlib
import tracemalloc

from behave import then
import orjson
from support import platform_cluster

from hickorylead import notes
from hickorylead.crashes import messages as crash_messages
from hickorylead.fleet import instances, orders
from hickorylead.platform import documents
from hickorylead.runtime import clock, coordinator
from hickorylead.storage import saved_value
from hickorylead.telemetry import decisions
from hickorylead_standins import platform

READINESS = b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


async def fill_disk(cluster):
    """Fills a coordinator's disk, changes the configuration, frees the disk."""
    process = cluster.coordinators[0]
    open_folder = process._disk.open_folder

    def refuse(*_):
        raise OSError(errno.ENOSPC, "No space left on device")

    process._disk.folder.persist = refuse
    process._disk.open_folder = refuse
    body = orjson.dumps(platform_cluster.make_configuration(8))
    async with asyncio.timeout(10):
        # A call that is not decided times out after 0.9 s.
        while await cluster.replace_configuration(body, 1) != 200:
            pass
    await cluster.wait_for(lambda: process._disk.has_failed)
    # It still receives heartbeats, and refuses to return a configuration that
    # may not be the newest.
    server = cluster.servers[0]
    status = await platform.post_json(
        cluster.controls[0],
        f"/instances/{server.name}/heartbeat",
        {
            "Service": "models",
            "Address": server._address,
            "Zone": "z1",
            "Version": "v1",
            "Slots": 6,
            "State": "ready",
            "ColdLeftMs": 0,
            "Sequence": 10_000,
        },
    )
    assert status == 200, status
    response = await platform.send_raw(
        cluster.controls[0],
        b"GET /config/read HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
    )
    assert response.startswith(b"HTTP/1.1 503"), response[:40]
    process._disk.open_folder = open_folder
    await cluster.wait_for(lambda: not process._disk.has_failed)
    await cluster.wait_for(
        lambda: process.role.voter.configuration.outside_version == 8
    )


@then("a coordinator with a full disk stops voting and recovers")
def _(context):
    asyncio.run(platform_cluster.run_session(fill_disk))


def remove_configuration(process):
    """Removes a gateway's configuration; returns its routes.

    The gateway also ignores later updates: its home coordinator would send the
    configuration again within a quarter of a second, and on a busy machine the
    call itself may take that long.
    """
    routes, process.role.routes = process.role.routes, None
    process.role._news.apply_document = lambda _: []
    process._configured.clear()
    return routes


async def call_before_configuration(cluster):
    """Calls a gateway that has no configuration, then restores it."""
    process = cluster.gateway
    routes = remove_configuration(process)
    pending = asyncio.ensure_future(cluster.send_request("/alerts/1", b"tree"))
    await cluster.wait_for(lambda: process.waiting_for_configuration == 1)
    assert not pending.done()
    process.role.routes = routes
    process._configured.set()
    response = await pending
    assert response.startswith(b"HTTP/1.1 200"), response[:60]


async def call_with_short_budget(cluster):
    """Calls a gateway without a configuration, with a short time budget."""
    remove_configuration(cluster.gateway)
    response = await cluster.send_request(
        "/alerts/1", b"tree", Time_Budget="60"
    )
    assert response.startswith(b"HTTP/1.1 503"), response[:60]
    assert b"retry-after: " in response, response


@then("a request to a gateway without a configuration waits and is served")
def _(context):
    asyncio.run(platform_cluster.run_session(call_before_configuration))


@then("a request with little time left is refused with a retry time")
def _(context):
    asyncio.run(platform_cluster.run_session(call_with_short_budget))


async def stop_gateway(cluster):
    """Stops the gateway while a stream runs."""
    for server in cluster.servers:
        server.manner.events = 80
    before = cluster.count_received()
    stream = asyncio.ensure_future(
        cluster.send_request(
            "/drafts/x", b"", Model=platform_cluster.MODEL, Token_Count="5,9"
        )
    )
    await cluster.wait_for(
        lambda: any(len(s.received) > before[s.name] for s in cluster.servers)
    )
    cluster.gateway._stop.set()
    ready_address = f"{platform_cluster.NET}.9:{platform_cluster.READY_PORT}"

    async def is_unready():
        response = await platform.send_raw(ready_address, READINESS)
        return response.startswith(b"HTTP/1.1 503")

    async with asyncio.timeout(1.0):
        while not await is_unready():
            await asyncio.sleep(0.01)
    new_response = await cluster.send_request("/alerts/1", b"late")
    assert new_response.startswith(b"HTTP/1.1 200"), new_response[:40]
    response = await stream
    assert response.endswith(b"0\r\n\r\n"), response[-60:]
    assert response.count(b"\nid: ") == 80, response


@then("a stopped gateway completes its stream and serves a new request")
def _(context):
    asyncio.run(platform_cluster.run_session(stop_gateway))


@then("{count:d} lines into a pipe that nobody reads are written or counted")
def _(context, count):
    reader, writer = os.pipe()
    now = [10.0]
    log = decisions.DecisionLog(
        common={},
        clock=lambda: now[0],
        read_wall_time=lambda: 0.0,
        descriptor=writer,
    )
    for number in range(count):
        log.write(notes.note("tested", number=number, text="x" * 200))
        now[0] += 0.001
    os.set_blocking(reader, False)
    data = b""
    # The reader reads again; the next lines report how many were dropped.
    for _ in range(200):
        now[0] += 1.1
        log.write(notes.note("later"))
        try:
            data += os.read(reader, 1 << 20)
        except BlockingIOError:
            break
    os.close(reader)
    os.close(writer)
    entries = [orjson.loads(line) for line in data.splitlines()]
    written = sum(line["event"] == "tested" for line in entries)
    dropped = sum(
        line["count"] for line in entries if line["event"] == "lines_dropped"
    )
    assert written + dropped == count, (written, dropped)
    assert dropped > 0


async def send_half_head(cluster):
    """Sends half a head and waits for the end of the connection."""
    cluster.gateway._limits.header_timeout_s = 0.3
    response = await asyncio.wait_for(
        platform.send_raw(
            cluster.caller_address, b"POST /alerts/1 HTTP/1.1\r\nHo"
        ),
        5,
    )
    assert response.startswith(b"HTTP/1.1 408"), response


@then("half a head gets a response with status 408 after the time limit")
def _(context):
    asyncio.run(platform_cluster.run_session(send_half_head))


@then(
    "of {count:d} calls in a row to two servers that report a limit {served:d} "
    "are served"
)
def _(context, count, served):
    context.responses = []

    async def call_limited(cluster):
        for server in cluster.servers:
            server.manner.limit_per_s = 0.1
        for number in range(count):
            response = await cluster.send_request(f"/alerts/{number}", b"tree")
            context.responses.append(response)

    asyncio.run(platform_cluster.run_session(call_limited))
    is_served = [r.startswith(b"HTTP/1.1 200") for r in context.responses]
    assert sum(is_served) == served, context.responses


@then("the others are refused with a retry time")
def _(context):
    refused = [r for r in context.responses if b"HTTP/1.1 200" not in r[:12]]
    for response in refused:
        assert response.startswith(b"HTTP/1.1 503"), response
        assert b"retry-after: " in response and b"limited" in response, response


@then(
    "of {count:d} calls in a row to two servers that request a pause each "
    "gets {calls:d}"
)
def _(context, count, calls):
    context.responses = []

    async def call_pausing(cluster):
        for server in cluster.servers:
            server.manner.sheds = True
            server.manner.retry_after_s = 30
        before = cluster.count_received()
        for number in range(count):
            response = await cluster.send_request(f"/alerts/{number}", b"tree")
            context.responses.append(response)
        received = {
            s.name: len(s.received) - before[s.name] for s in cluster.servers
        }
        assert sorted(received.values())[-2:] == [calls, calls], received

    asyncio.run(platform_cluster.run_session(call_pausing))


@then("the others are refused with a retry time, as paused")
def _(context):
    for response in context.responses[2:]:
        assert response.startswith(b"HTTP/1.1 503"), response
        assert b"retry-after: " in response and b"paused" in response, response


async def call_leaving(cluster):
    """Calls two servers, one of which reports that it is leaving."""
    server = next(s for s in cluster.servers if s._service == "desk")
    server.manner.is_leaving = True
    before = cluster.count_received()[server.name]
    for number in range(10):
        response = await cluster.send_request(f"/alerts/{number}", b"tree")
        assert response.startswith(b"HTTP/1.1 200"), response
    assert len(server.received) - before <= 1, server.received
    if len(server.received) > before:
        await cluster.wait_for(lambda: is_draining(cluster, server.name))


def is_draining(cluster, name):
    """Returns whether a server is draining in all coordinators."""
    return all(
        process.role.registry.instances[name].phase == instances.PHASE_DRAINING
        for process in cluster.coordinators
    )


@then("of 10 calls in a row to two servers the leaving one gets at most 1")
def _(context):
    asyncio.run(platform_cluster.run_session(call_leaving))


@then("a server that reports leaving in the response to an order is draining")
def _(context):
    async def order_leaving(cluster):
        server = next(s for s in cluster.servers if s._domain)
        server.manner.is_leaving = True
        process = cluster.coordinators[0]
        # The order changes nothing: the server is not in this group.
        order = orders.Leave("no-group", 0)
        send_order = orders.SendOrder(server.name, server._address, order)
        await process._server_calls.post(send_order)
        await cluster.wait_for(lambda: is_draining(cluster, server.name))

    asyncio.run(platform_cluster.run_session(order_leaving))


async def restart_blocking_coordinator(cluster):
    """Blocks a request in a coordinator, then starts its next process."""
    process = cluster.coordinators[0]
    crashes = tuple(
        crash_messages.Crash(4711, f"s{n}", n + 1, 0, has_ended=True)
        for n in range(3)
    )
    update = crash_messages.CrashNews("z1/front1/gateway", crashes)
    process.role.crashes.merge(update, (), clock.read_boottime())
    folder = pathlib.Path(process.settings.data_folder)
    await cluster.wait_for(
        lambda: saved_value.SavedValue(folder, "crashes").value
    )
    restarted = coordinator.CoordinatorProcess(
        process.settings,
        server_codec=process._server_calls._codec,
        decode_document=documents.DocumentDecoder().decode_compressed,
        make_app=process._make_app,
        find_lane=process._find_lane,
        reload=process._reload,
        log=process._log,
    )
    assert restarted.role.crashes.count_blocked() == 1


@then("a request that was blocked before a coordinator restarts stays blocked")
def _(context):
    asyncio.run(platform_cluster.run_session(restart_blocking_coordinator))


# Route, first bytes and size of a piece, by what a server sends without end.
ENDLESS = {
    "a body": ("/alerts/1", b"x" * 65536),
    "an event": ("/drafts/1", b"id: 1\ndata: " + b"x" * 65536),
}
# Bytes that a caller reads at once, and the pause after that in seconds.
READING = {"reads": (65536, 0.0), "reads slowly": (65536, 0.02)}
MAX_ENDLESS_PEAK_BYTES = 12 * 1024 * 1024


@then("{part} without end ends for a caller that {manner}, in flat memory")
def _(_, part, manner):
    async def call(cluster):
        path, piece = ENDLESS[part]
        for server in cluster.servers:
            server.manner.endless = piece
        ip, _, port = cluster.caller_address.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        head = (
            f"POST {path} HTTP/1.1\r\nHost: host.example\r\n"
            "Attempt-Id: a1\r\nAuthorization: Token key-1\r\n"
            "Time-Budget: 4000\r\nContent-Length: 0\r\n"
            f"Model: {platform_cluster.MODEL}\r\nToken-Count: 5,9\r\n\r\n"
        )
        tracemalloc.start()
        try:
            writer.write(head.encode())
            await cluster.wait_for(
                lambda: any(s.received for s in cluster.servers)
            )
            reading = asyncio.ensure_future(read(reader, manner))
            await cluster.wait_for(
                lambda: not any(s.endless_count for s in cluster.servers), 8.0
            )
            await cluster.wait_for(
                lambda: not cluster.gateway.response_writers, 2.0
            )
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        reading.cancel()
        writer.close()
        assert peak < MAX_ENDLESS_PEAK_BYTES, peak

    async def read(reader, manner):
        if manner not in READING:
            return
        size, pause_s = READING[manner]
        while await reader.read(size):
            await asyncio.sleep(pause_s)

    asyncio.run(platform_cluster.run_session(call))
