"""A caller's request, and the problems it can end with."""

from __future__ import annotations

import attrs

from hickorylead import verdict as verdict_module

URGENCY_DEFAULT = 3
URGENCY_LOWEST = 7


@attrs.frozen
class Request:
    """One submission of a request, checked.

    Attributes:
        request_id: Unique in the deployment; names zone and entry VM first.
        workspace: Who asks, by the bearer token.
        service: Service asked.
        urgency: Of RFC 9218: 0 is the most urgent, 7 the least.
        deadline_s: Seconds from arrival within which the answer must start.
        streamed: Whether the caller takes the answer as it is made.
        body: Request body; JSON for model services.
        prompt_tokens: Rough size of the prompt.
        max_tokens: Most tokens the answer may have.
        prefix_hashes: Hashes of growing prefixes of the prompt, shortest first.
        method: HTTP method, for plain services.
        path: Path below the service, with query, for plain services.
        content_type: Of the body.
        idempotency_key: Idempotency key; empty if none was given.
        key_created_at: Time in the key, in Unix seconds.
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
    """Why a request has no answer, as problem+json (RFC 9457) carries it.

    Attributes:
        status: HTTP status.
        code: Stable code for programs.
        verdict: Whether this submission may have run.
        detail: A plain sentence for people.
        retry_after_s: When to come back; None if coming back is of no use.
    """

    status: int
    code: str
    verdict: verdict_module.Verdict
    detail: str
    retry_after_s: float | None = None


@attrs.frozen
class Usage:
    """Token counts of a finished answer."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0
