"""The metrics endpoint of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from starlette import applications, responses, routing

from hickorylead import notes
from hickorylead.runtime import (
    handler_failures,
    intake as intake_module,
    server,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from starlette import requests

    from hickorylead.telemetry import decisions


async def serve(
    log: decisions.DecisionLog,
    ip: str,
    port: int,
    collect_gauges: Callable[[], dict[str, float]],
    intake: intake_module.Intake,
) -> server.HttpServer | None:
    """Opens the metrics port; returns None if it is not opened.

    If the port is taken, the process runs without the metrics endpoint.

    The caller must keep the returned server and close it at the end.

    Args:
        log: Log of decisions whose metrics are exposed.
        ip: IP address.
        port: TCP port; 0 for none.
        collect_gauges: Returns the present values by name.
        intake: Accounts for the clients of the process.
    """
    if not port:
        return None

    async def get_metrics(_: requests.Request) -> responses.Response:
        gauges = collect_gauges() | intake.collect_gauges()
        body = log.metrics.render(gauges)
        return responses.Response(body, media_type="text/plain")

    app = applications.Starlette(
        routes=[routing.Route("/metrics", get_metrics)],
        exception_handlers={Exception: handler_failures.respond},
    )
    if not server.is_port_free(ip, port):
        log.write(notes.note("metrics_port_taken", level="warning", port=port))
        return None
    metrics_server = server.HttpServer(
        app,
        ip,
        port,
        report_failure=handler_failures.make_reporter(log),
        intake=intake,
        port_name=intake_module.METRICS,
    )
    await metrics_server.start()
    return metrics_server
