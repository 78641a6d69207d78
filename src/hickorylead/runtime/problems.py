"""Problems as problem+json (RFC 9457)."""

from __future__ import annotations

import math
from typing import Any

import orjson
from starlette import responses

from hickorylead import verdict as verdict_module
from hickorylead.requests import model

MEDIA_TYPE = "application/problem+json"


def describe_problem(problem: model.Problem, request_id: str) -> dict[str, Any]:
    """Returns a problem as a JSON object."""
    fields: dict[str, Any] = {
        "type": f"urn:hickorylead:problem:{problem.code}",
        "title": problem.code.replace("_", " "),
        "status": problem.status,
        "detail": problem.detail,
        "code": problem.code,
        "verdict": problem.verdict.value,
    }
    if request_id:
        fields["request_id"] = request_id
    if problem.retry_after_s is not None:
        fields["retry_after_s"] = problem.retry_after_s
    return fields


def make_response(
    problem: model.Problem, request_id: str = ""
) -> responses.Response:
    """Returns the HTTP response that reports a problem."""
    headers = {}
    if problem.retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(problem.retry_after_s))
    if problem.status == 401:
        headers["WWW-Authenticate"] = "Bearer"
    return responses.Response(
        orjson.dumps(describe_problem(problem, request_id)),
        problem.status,
        headers,
        MEDIA_TYPE,
    )


def render_refusal(problem: model.Problem) -> bytes:
    """Returns a response of status 503 that ends its connection, as bytes.

    Args:
        problem: The problem, with a time after which to come back.
    """
    assert problem.status == 503 and problem.retry_after_s is not None
    body = orjson.dumps(describe_problem(problem, ""))
    head = (
        "HTTP/1.1 503 Service Unavailable\r\n"
        f"content-type: {MEDIA_TYPE}\r\ncontent-length: {len(body)}\r\n"
        f"retry-after: {math.ceil(problem.retry_after_s)}\r\n"
        "connection: close\r\n\r\n"
    )
    return head.encode() + body


def refuse_input(status: int, code: str, detail: str) -> responses.Response:
    """Returns the response to invalid input; nothing ran."""
    return make_response(
        model.Problem(status, code, verdict_module.Verdict.NOT_RUN, detail)
    )
