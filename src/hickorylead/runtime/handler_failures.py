"""Requests whose handler failed: the log line, and the response."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from starlette import requests as starlette_requests, responses

from hickorylead import verdict as verdict_module
from hickorylead.requests import model
from hickorylead.runtime import problems
from hickorylead.telemetry import library_log

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorylead.draining import owed as owed_module


def make_reporter(
    log: library_log.WarningLog,
) -> Callable[[owed_module.Owed, BaseException], None]:
    """Returns a function that writes a line about a request that failed.

    Args:
        log: Log of this process.
    """

    def report(owed: owed_module.Owed, error: BaseException) -> None:
        if isinstance(error, starlette_requests.ClientDisconnect):
            # The caller left within its request: no handler has failed.
            return
        log.warn(
            "handler_failed",
            request_id=owed.request_id,
            attempt_id=owed.attempt_id,
            connection=owed.connection,
            phase=owed.phase.value,
            why="cancelled"
            if isinstance(error, asyncio.CancelledError)
            else repr(error),
            place=library_log.describe_place(error),
        )

    return report


async def respond(
    request: starlette_requests.Request, error: Exception
) -> responses.Response:
    """Returns the response to a request whose handler failed."""
    del request, error
    return responses.JSONResponse(
        {"error": "internal_error"}, 500, {"Connection": "close"}
    )


async def respond_with_problem(
    request: starlette_requests.Request, error: Exception
) -> responses.Response:
    """Returns the same as a problem, as entries respond."""
    del request, error
    response = problems.make_response(
        model.Problem(
            500,
            "internal_error",
            verdict_module.Verdict.MAY_HAVE_RUN,
            "the entry failed while it handled the request",
        )
    )
    response.headers["Connection"] = "close"
    return response
