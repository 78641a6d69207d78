"""Steps about single processes of the platform that are in trouble."""

from __future__ import annotations

import asyncio
import errno
import os
import pathlib

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


async def fill_disk(day):
    """Fills one coordinator's disk, changes, and empties it again."""
    shell = day.coordinators[0]
    opened = shell._open_folder

    def refuse(*_):
        raise OSError(errno.ENOSPC, "No space left on device")

    shell._folder.persist = refuse
    shell._open_folder = refuse
    body = orjson.dumps(platform_cluster.make_configuration(8))
    async with asyncio.timeout(10):
        # A call that is not decided ends by itself after 0.9 s.
        while await day.replace_configuration(body, 1) != 200:
            pass
    await day.wait_for(lambda: shell._disk_failed_at is not None)
    # It still hears backend servers, and says nothing that it can't know.
    server = day.servers[0]
    status = await platform.post_json(
        day.controls[0],
        f"/instances/{server.name}/heartbeat",
        {
            "Service": "models",
            "Address": server._address,
            "Zone": "z1",
            "State": "ready",
            "Sequence": 10_000,
        },
    )
    assert status == 200, status
    answer = await platform.send_raw(
        day.controls[0],
        b"GET /config/read HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
    )
    assert answer.startswith(b"HTTP/1.1 503"), answer[:40]
    shell._open_folder = opened
    await day.wait_for(lambda: shell._disk_failed_at is None)
    await day.wait_for(
        lambda: shell.role.voter.configuration.outside_version == 8
    )


@then("a coordinator with a full disk stops voting and comes back")
def _(context):
    asyncio.run(platform_cluster.run_session(fill_disk))


def take_configuration(shell):
    """Takes a gateway's configuration away; returns it.

    Its home would send it again within a quarter of a second, which a machine
    with other work to do may need for the call itself.
    """
    routes, shell.role.routes = shell.role.routes, None
    shell.role._apply_document = lambda _: []
    shell._configured.clear()
    return routes


async def call_early(day):
    """Calls a gateway that has lost its configuration, and gives it back."""
    shell = day.gateway
    routes = take_configuration(shell)
    early = asyncio.ensure_future(day.send_request("/alerts/1", b"tree"))
    await day.wait_for(lambda: shell.waiting_for_configuration == 1)
    assert not early.done()
    shell.role.routes = routes
    shell._configured.set()
    answer = await early
    assert answer.startswith(b"HTTP/1.1 200"), answer[:60]


async def call_early_in_haste(day):
    """Calls a gateway without a configuration with little time left."""
    take_configuration(day.gateway)
    answer = await day.send_request("/alerts/1", b"tree", Time_Budget="60")
    assert answer.startswith(b"HTTP/1.1 503"), answer[:60]
    assert b"retry-after: " in answer, answer


@then("a request to a gateway that has no configuration yet is answered by it")
def _(context):
    asyncio.run(platform_cluster.run_session(call_early))


@then("one whose time is short is told when to come back")
def _(context):
    asyncio.run(platform_cluster.run_session(call_early_in_haste))


async def stop_gateway(day):
    """Stops the gateway while a stream runs."""
    for server in day.servers:
        server.manner.events = 80
    before = day.count_received()
    stream = asyncio.ensure_future(
        day.send_request(
            "/drafts/x", b"", Model=platform_cluster.MODEL, Token_Count="5,9"
        )
    )
    await day.wait_for(
        lambda: any(len(s.received) > before[s.name] for s in day.servers)
    )
    day.gateway._stop.set()
    ready_address = f"127.0.7.9:{platform_cluster.READY_PORT}"

    async def is_unready():
        answer = await platform.send_raw(ready_address, READINESS)
        return answer.startswith(b"HTTP/1.1 503")

    async with asyncio.timeout(1.0):
        while not await is_unready():
            await asyncio.sleep(0.01)
    newcomer = await day.send_request("/alerts/1", b"late")
    assert newcomer.startswith(b"HTTP/1.1 200"), newcomer[:40]
    answer = await stream
    assert answer.endswith(b"0\r\n\r\n"), answer[-60:]
    assert answer.count(b"\nid: ") == 80, answer


@then("a gateway that is stopped in a stream ends it whole")
def _(context):
    asyncio.run(platform_cluster.run_session(stop_gateway))


@then("{count:d} lines into a pipe that nobody reads are written or counted")
def _(context, count):
    reader, writer = os.pipe()
    now = [10.0]
    log = decisions.DecisionLog(
        common={},
        clock=lambda: now[0],
        wall=lambda: 0.0,
        descriptor=writer,
    )
    for number in range(count):
        log.write(notes.note("tested", number=number, text="x" * 200))
        now[0] += 0.001
    os.set_blocking(reader, False)
    data = b""
    # The reader comes back; the next lines say what was dropped.
    for _ in range(200):
        now[0] += 1.1
        log.write(notes.note("later"))
        try:
            data += os.read(reader, 1 << 20)
        except BlockingIOError:
            break
    os.close(reader)
    os.close(writer)
    found = [orjson.loads(line) for line in data.splitlines()]
    written = sum(line["event"] == "tested" for line in found)
    dropped = sum(
        line["count"] for line in found if line["event"] == "lines_dropped"
    )
    assert written + dropped == count, (written, dropped)
    assert dropped > 0


async def send_half_head(day):
    """Sends half a head and waits for the end of the connection."""
    day.gateway._limits.header_timeout_s = 0.3
    answer = await asyncio.wait_for(
        platform.send_raw(day.caller_address, b"POST /alerts/1 HTTP/1.1\r\nHo"),
        5,
    )
    assert answer.startswith(b"HTTP/1.1 408"), answer


@then("half a head is answered with status 408 after the time limit")
def _(context):
    asyncio.run(platform_cluster.run_session(send_half_head))


@then(
    "of {count:d} calls in a row to two servers that name a limit {served:d} "
    "are served"
)
def _(context, count, served):
    context.answers = []

    async def call_limited(day):
        for server in day.servers:
            server.manner.limit_per_s = 0.1
        for number in range(count):
            answer = await day.send_request(f"/alerts/{number}", b"tree")
            context.answers.append(answer)

    asyncio.run(platform_cluster.run_session(call_limited))
    found = [a.startswith(b"HTTP/1.1 200") for a in context.answers]
    assert sum(found) == served, context.answers


@then("the others are told when to come back")
def _(context):
    refused = [a for a in context.answers if b"HTTP/1.1 200" not in a[:12]]
    for answer in refused:
        assert answer.startswith(b"HTTP/1.1 503"), answer
        assert b"retry-after: " in answer and b"limited" in answer, answer


@then(
    "of {count:d} calls in a row to two servers that ask for a pause each "
    "gets {most:d}"
)
def _(context, count, most):
    context.answers = []

    async def call_pausing(day):
        for server in day.servers:
            server.manner.sheds = True
            server.manner.retry_after_s = 30
        before = day.count_received()
        for number in range(count):
            answer = await day.send_request(f"/alerts/{number}", b"tree")
            context.answers.append(answer)
        got = {s.name: len(s.received) - before[s.name] for s in day.servers}
        assert sorted(got.values())[-2:] == [most, most], got

    asyncio.run(platform_cluster.run_session(call_pausing))


@then("the others are told when to come back, as paused")
def _(context):
    for answer in context.answers[2:]:
        assert answer.startswith(b"HTTP/1.1 503"), answer
        assert b"retry-after: " in answer and b"paused" in answer, answer


async def call_leaving(day):
    """Calls two servers, one of which says that it leaves."""
    server = next(s for s in day.servers if s._service == "desk")
    server.manner.is_leaving = True
    before = day.count_received()[server.name]
    for number in range(10):
        answer = await day.send_request(f"/alerts/{number}", b"tree")
        assert answer.startswith(b"HTTP/1.1 200"), answer
    assert len(server.received) - before <= 1, server.received
    if len(server.received) > before:
        await day.wait_for(lambda: is_draining(day, server.name))


def is_draining(day, name):
    """Says whether all coordinators take a server for draining."""
    return all(
        shell.role.registry.instances[name].phase == instances.PHASE_DRAINING
        for shell in day.coordinators
    )


@then("of 10 calls in a row to two servers one that leaves gets 1 at most")
def _(context):
    asyncio.run(platform_cluster.run_session(call_leaving))


@then("a server that says so in the answer to an order is taken for draining")
def _(context):
    async def order_leaving(day):
        server = next(s for s in day.servers if s._domain)
        server.manner.is_leaving = True
        shell = day.coordinators[0]
        # An order that changes nothing: its group has another name.
        order = orders.Leave("no-group", 0)
        give = orders.SendOrder(server.name, server._address, order)
        await shell._post(give)
        await day.wait_for(lambda: is_draining(day, server.name))

    asyncio.run(platform_cluster.run_session(order_leaving))


async def restart_blocking(day):
    """Has a coordinator block a content, and reads what it wrote."""
    shell = day.coordinators[0]
    crashes = tuple(
        crash_messages.Crash(4711, f"s{n}", n + 1, 0, has_ended=True)
        for n in range(3)
    )
    news = crash_messages.CrashNews("z1/front1/gateway", crashes)
    shell.role.crashes.merge(news, (), clock.read_boottime())
    folder = pathlib.Path(shell.settings.data_folder)
    await day.wait_for(lambda: saved_value.SavedValue(folder, "crashes").value)
    follower = coordinator.CoordinatorProcess(
        shell.settings,
        server_codec=shell._server_codec,
        read_document=documents.read_packed,
        make_app=shell._make_app,
        reload=shell._reload,
        log=shell._log,
    )
    assert follower.role.crashes.count_blocked() == 1


@then("a content that was blocked before a coordinator starts again still is")
def _(context):
    asyncio.run(platform_cluster.run_session(restart_blocking))
