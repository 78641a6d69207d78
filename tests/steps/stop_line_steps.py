"""Steps about the log lines of planned stops."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
from unittest import mock

from behave import then, when
import orjson
from steps import gateway_stop_steps, platform_fault_steps
from support import platform_cluster

from hickorylead.runtime import gateway

ROOT = pathlib.Path(__file__).resolve().parents[2]
GRACE_S = 1.6
DETECTION_S = 0.3
EVENT_COUNT = 600
LONG_STREAM = "a stream longer than the time"
LATE_STREAM = "a stream sent while stopping"
ENDLESS_BODY = "a body that does not end"
WAITING = "a request without routes"


class Callers:
    """Connections of callers to a gateway."""

    def __init__(self, cluster):
        self._cluster = cluster
        self._received = []

    async def send(self, data):
        """Sends bytes on a new connection."""
        ip, _, port = self._cluster.caller_address.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(data)
        await writer.drain()
        self._received.append(asyncio.ensure_future(self._read(reader, writer)))

    async def send_stream(self, attempt):
        """Sends a request for a stream."""
        await self.send(
            gateway_stop_steps.make_head(
                "/drafts/x",
                attempt,
                Model=platform_cluster.MODEL,
                Token_Count="5,9",
                Content_Length="0",
            )
        )

    async def wait_for_end(self):
        """Waits until all connections have ended."""
        async with asyncio.timeout(10):
            await asyncio.gather(*self._received)

    async def _read(self, reader, writer):
        # How it ended is what the log has to say.
        with contextlib.suppress(ConnectionResetError):
            await reader.read()
        writer.close()


async def stop_with_requests(cluster):
    """Stops a gateway that has requests in several states."""
    for server in cluster.servers:
        server.manner.events = EVENT_COUNT
    callers = Callers(cluster)
    await callers.send_stream(LONG_STREAM)
    await callers.send(
        gateway_stop_steps.make_head(
            "/alerts/b", ENDLESS_BODY, Transfer_Encoding="chunked"
        )
        + b"4\r\ntree\r\n"
    )
    await callers.send(b"POST /alerts/b HTTP/1.1\r\nHost: host.exa")
    await cluster.wait_for(
        lambda: any(
            pending.started
            for pending in cluster.gateway.role._forwarder._pending.values()
        )
    )
    cluster.gateway._stop.set()
    await cluster.wait_for(lambda: cluster.gateway.role.is_stopping)
    await callers.send_stream(LATE_STREAM)
    await callers.wait_for_end()


async def stop_without_configuration(cluster):
    """Stops a gateway at which a request waits for routes."""
    process = cluster.gateway
    platform_fault_steps.remove_configuration(process)
    callers = Callers(cluster)
    await callers.send(
        gateway_stop_steps.make_head("/alerts/b", WAITING, Content_Length="0")
    )
    await cluster.wait_for(lambda: process.waiting_for_configuration == 1)
    process._stop.set()
    await callers.wait_for_end()


def run(context, stop):
    """Runs a session in which a gateway is stopped; keeps its lines."""

    async def session(cluster):
        await stop(cluster)
        await asyncio.wait([cluster._tasks[len(cluster.coordinators)]])
        written = cluster.log_path.read_bytes().splitlines()
        context.lines = [orjson.loads(line) for line in written]

    with mock.patch.object(gateway, "BALANCER_DETECTION_S", DETECTION_S):
        asyncio.run(platform_cluster.run_session(session, grace_s=GRACE_S))


@when("a gateway with requests in several states is stopped")
def _(context):
    run(context, stop_with_requests)


@when("a gateway without a configuration is stopped while a request waits")
def _(context):
    run(context, stop_without_configuration)


@then("the lines of each caller's id say how its request ended")
def _(context):
    for row in context.table:
        named = [
            line
            for line in context.lines
            if line.get("attempt_id") == row["request"]
        ]
        found = [line for line in named if line["event"] == row["event"]]
        assert len(found) == 1, (row["request"], named)
        assert found[0][row["field"]] == row["value"], found
        assert found[0]["request_id"], found


@then('an unfinished head has a line "{event}" with its connection')
def _(context, event):
    found = [line for line in context.lines if line["event"] == event]
    (line,) = [line for line in found if line["phase"] == "head"]
    assert line["connection"] > 0, line


@then("the lines of the process are stopping, drained and stopped")
def _(context):
    events = [line["event"] for line in context.lines]
    positions = [events.index(e) for e in ("stopping", "drained", "stopped")]
    assert positions == sorted(positions), positions


@then("each line of the processes has a row in docs/OPERATIONS.md")
def _(context):
    page = (ROOT / "docs/OPERATIONS.md").read_text()
    rows = "".join(
        row.split("|")[1] for row in page.splitlines() if row.startswith("| `")
    )
    events = {line["event"] for line in context.lines}
    missing = [event for event in events if f"`{event}`" not in rows]
    assert not missing, missing
