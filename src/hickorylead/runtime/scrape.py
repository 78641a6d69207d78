"""The metrics address of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from starlette import applications, responses, routing

from hickorylead import notes
from hickorylead.runtime import server

if TYPE_CHECKING:
    from collections.abc import Callable

    from starlette import requests

    from hickorylead.telemetry import decisions


async def serve(
    log: decisions.DecisionLog,
    ip: str,
    port: int,
    gauge: Callable[[], dict[str, float]],
) -> server.HttpServer | None:
    """Opens the metrics port; a process that cannot goes on without.

    The server that is returned must be kept, and closed at the end.

    Args:
        log: Its figures are given out.
        ip: IP number.
        port: TCP port; 0 for none.
        gauge: Returns present values by name.
    """
    if not port:
        return None

    async def tell(_: requests.Request) -> responses.Response:
        body = log.metrics.render(gauge())
        return responses.Response(body, media_type="text/plain")

    app = applications.Starlette(routes=[routing.Route("/metrics", tell)])
    if not server.is_free(ip, port):
        log.write(notes.note("metrics_port_taken", level="warning", port=port))
        return None
    opened = server.HttpServer(app, ip, port)
    await opened.start()
    return opened
