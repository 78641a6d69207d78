"""Bodies of requests to an entry."""

from __future__ import annotations

from returns import result
from starlette import requests, responses

from hickorylead import verdict as verdict_module
from hickorylead.requests import outcomes
from hickorylead.runtime import problems


async def read_body(
    request: requests.Request, limit: int
) -> result.Result[bytes, responses.Response]:
    """Returns a request body, or a refusal if it is larger than the limit."""
    body = bytearray()
    async for chunk in request.stream():
        body += chunk
        if len(body) > limit:
            # The rest of the body is not read, since it could be endless.
            return result.Failure(
                problems.refuse_input(
                    413,
                    "body_too_large",
                    f"the body is larger than {limit} bytes",
                )
            )
    return result.Success(bytes(body))


async def handle_disconnect(
    _: requests.Request, __: Exception
) -> responses.Response:
    """Responds to nobody: the connection ended within the request's body."""
    return problems.make_response(
        outcomes.describe_stop(verdict_module.Verdict.NOT_RUN)
    )
