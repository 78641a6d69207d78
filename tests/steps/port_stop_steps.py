"""Steps about the ports for probes and metrics of gateways that stop."""

from __future__ import annotations

import asyncio
from unittest import mock

from behave import then, when
from support import platform_cluster, stopped_servers

from hickorylead.runtime import clock, gateway

DETECTION_S = 0.3
PORTS = {
    "readiness": (platform_cluster.READY_PORT, "/healthz"),
    "metrics": (platform_cluster.METRICS_PORT, "/metrics"),
}
# More responses than the buffers of both sockets hold.
REQUEST_COUNT = 60_000


@when("a gateway stops while a caller of its {name} port does not read")
def _(context, name):
    port, path = PORTS[name]

    async def session(cluster):
        process = cluster.gateway
        address = f"{process.settings.ip}:{port}"
        caller = await stopped_servers.Caller(address).connect()
        request = f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n"
        caller.send(request.encode() * REQUEST_COUNT)
        await asyncio.sleep(0.5)
        task = cluster._tasks[len(cluster.coordinators)]
        began = clock.read_boottime()
        process._stop.set()
        await stopped_servers.wait_for_end(task, process.settings.ip)
        context.ended_s = clock.read_boottime() - began
        context.grace_s = process.settings.grace_s
        caller.writer.close()

    with (
        stopped_servers.record(),
        mock.patch.object(gateway, "BALANCER_DETECTION_S", DETECTION_S),
    ):
        asyncio.run(platform_cluster.run_session(session))


@then("the gateway has ended within its grace time")
def _(context):
    assert context.ended_s < context.grace_s, context.ended_s
