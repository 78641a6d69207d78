"""Steps about requests that are sent before the previous response has come."""

from __future__ import annotations

import asyncio

from behave import then
import orjson
from soak import stop_callers
from steps import gateway_stop_steps
from support import platform_cluster


async def receive(reader, count):
    """Returns the complete responses among the next ones."""
    responses = stop_callers.Responses()
    while sum(r.is_complete for r in responses.found) < count:
        data = await reader.read(65536)
        if not data:
            break
        responses.parser.feed_data(data)
    return [r.status for r in responses.found if r.is_complete]


def make_alert(name):
    return gateway_stop_steps.make_head(
        f"/alerts/{name}", name, Content_Length="0"
    )


def make_stream(name):
    return gateway_stop_steps.make_head(
        f"/drafts/{name}",
        name,
        Model=platform_cluster.MODEL,
        Token_Count="5,9",
        Content_Length="0",
    )


def run(session):
    """Runs a session beside a stop; returns the statuses that it returns."""
    found = []

    async def run_session(cluster):
        found.extend(await session(cluster))
        return gateway_stop_steps.StoppingCluster(cluster)

    gateway_stop_steps.run_stop(run_session)
    return found


async def send_two_at_once(cluster):
    stopping = gateway_stop_steps.StoppingCluster(cluster)
    reader, writer = await stopping.connect()
    stop = asyncio.ensure_future(stopping.stop())
    await asyncio.sleep(0.1)
    writer.write(make_alert("p1") + make_alert("p2"))
    found = await receive(reader, 2)
    await stop
    writer.close()
    return found


async def send_behind_stream(cluster, after_s):
    for server in cluster.servers:
        # Only members of groups stream.
        if server._domain:
            server.manner.events = 40
            server.manner.event_interval_s = 0.03
    stopping = gateway_stop_steps.StoppingCluster(cluster)
    reader, writer = await stopping.connect()
    writer.write(make_stream("q1"))
    await asyncio.sleep(0.2)
    stop = asyncio.ensure_future(stopping.stop())
    await asyncio.sleep(after_s)
    writer.write(make_alert("q2"))
    found = await receive(reader, 2)
    await stop
    writer.close()
    return found


async def send_behind_broken_stream(cluster):
    for server in cluster.servers:
        if server._domain:
            server.manner.events = 8
            server.manner.cut_after = 4
    stopping = gateway_stop_steps.StoppingCluster(cluster)
    reader, writer = await stopping.connect()
    writer.write(make_stream("d1") + make_alert("d2"))
    statuses = await receive(reader, 2)
    writer.close()
    await stopping.stop()
    lines = cluster.log_path.read_text(encoding="utf-8").splitlines()
    found = [orjson.loads(line) for line in lines]
    dropped = [
        line.get("attempt_id")
        for line in found
        if line["event"] == "queued_request_dropped"
    ]
    return [statuses, dropped]


@then("a request queued behind a stream that its replica breaks off is logged")
def _(_):
    assert run(send_behind_broken_stream) == [[], ["d2"]]


@then("both of two requests that are sent at once after SIGTERM are answered")
def _(_):
    assert run(send_two_at_once) == [200, 200]


@then(
    "a request sent {after:g} s after SIGTERM behind an older stream is"
    " answered"
)
def _(_, after):
    found = run(lambda cluster: send_behind_stream(cluster, after))
    assert len(found) == 2, found
    assert found[0] == 200, found
    assert found[1] in (200, 503), found
