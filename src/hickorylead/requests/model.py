"""Requests of callers, and the problems that they can end with."""

from __future__ import annotations

import attrs

from hickorylead import verdict as verdict_module

URGENCY_DEFAULT = 3
URGENCY_LOWEST = 7


@attrs.frozen
class Request:
    """One validated submission of a request.

    Attributes:
        request_id: Unique in the deployment; starts with the zone and the VM
            of the entry.
        workspace: Workspace of the caller, from the bearer token.
        service: Requested service.
        urgency: Urgency of RFC 9218; 0 is the most urgent, 7 the least.
        deadline_s: Seconds from arrival within which the response must start.
        streamed: Whether the caller receives the response as a stream.
        body: Request body; JSON for model services.
        prompt_tokens: Estimated size of the prompt.
        max_tokens: Maximum number of tokens of the response.
        prefix_hashes: Hashes of prefixes of the prompt, shortest first.
        method: HTTP method, for plain services.
        path: Path below the service, with query, for plain services.
        content_type: Content type of the body.
        idempotency_key: Idempotency key; empty if none was sent.
        key_created_at: Creation time in the key, in Unix seconds.
        traceparent: W3C trace context to pass on; empty if none.
    """

    request_id: str
    workspace: str
    service: str
    urgency: int = URGENCY_DEFAULT
    deadline_s: float = 60.0
    streamed: bool = False
    body: bytes = b""
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix_hashes: tuple[str, ...] = ()
    method: str = "POST"
    path: str = ""
    content_type: str = "application/json"
    idempotency_key: str = ""
    key_created_at: float = 0.0
    traceparent: str = ""


@attrs.frozen
class Problem:
    """Why a request failed, with the fields of problem+json (RFC 9457).

    Attributes:
        status: HTTP status.
        code: Stable machine-readable code.
        verdict: Whether this submission may have run.
        detail: Human-readable explanation.
        retry_after_s: Seconds to wait before a retry; None if a retry is
            useless.
    """

    status: int
    code: str
    verdict: verdict_module.Verdict
    detail: str
    retry_after_s: float | None = None


@attrs.frozen
class Usage:
    """Token counts of a complete response."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0
