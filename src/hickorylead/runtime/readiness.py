"""The readiness check of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from starlette import applications, responses, routing

from hickorylead.runtime import handler_failures

if TYPE_CHECKING:
    from collections.abc import Callable

    from starlette import requests


def make_app(is_ready: Callable[[], bool]) -> applications.Starlette:
    """Returns the application of a readiness check.

    Args:
        is_ready: Returns whether callers may be sent to the process.
    """

    async def get_readiness(_: requests.Request) -> responses.Response:
        return responses.Response(status_code=200 if is_ready() else 503)

    async def get_health(_: requests.Request) -> responses.Response:
        return responses.PlainTextResponse("ok\n")

    return applications.Starlette(
        routes=[
            routing.Route("/ready", get_readiness),
            routing.Route("/healthz", get_health),
        ],
        exception_handlers={Exception: handler_failures.respond},
    )
