"""Codec of the platform's HTTP headers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, TypeVar

import orjson

from hickorylead.forwarding import events, header_codec, model

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping, Sequence

_Value = TypeVar("_Value")

_ATTEMPT = b"attempt-id"
_BUDGET = b"time-budget"
_KEY = b"authorization"
_WORKSPACE = b"tenant"
_EXPECTED_SERVER = b"expect-instance"
_LAST_EVENT = b"last-event-id"
_MODEL = b"model"
_TOKEN_COUNTS = b"token-count"
_PROMPT_PARTS = b"prompt-prefix"
_SIGNATURE = b"server-seal"
_NOT_RUN = b"not-executed"
_LOAD = b"server-load"
_LIMIT = b"server-limit"
_RETRY_AFTER = b"retry-after"
_LEAVING = b"server-leaving"
_RANK = b"urgency-class"
_FAULTY_SERVER = b"at-server"

# Hop-by-hop headers, and headers that the gateway removes or sets.
_NOT_FORWARDED = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
        _BUDGET,
        _KEY,
        _WORKSPACE,
        _EXPECTED_SERVER,
        _LAST_EVENT,
        _RANK,
    }
)
# Statuses with which a replica may request a pause.
_PAUSE_STATUSES = (429, 503)
# Largest number in a header; larger ones are not exact as a float.
MAX_NUMBER = 2**53
# Upper limit of the pause that a replica can request, in seconds.
MAX_PAUSE_S = 86400.0
_NOT_RETURNED = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"transfer-encoding",
        b"content-length",
        b"trailer",
        b"upgrade",
        b"proxy-connection",
        b"date",
    }
)


class PlatformHeaderCodec(header_codec.HeaderCodec):
    """Codec of the platform's request and response headers."""

    def decode_metadata(
        self, headers: Iterable[model.Header]
    ) -> model.RequestMetadata | str:
        """Returns the caller's metadata, or what is wrong with its headers."""
        fields = dict(headers)
        try:
            prompt_tokens, max_output_tokens = _decode_token_counts(
                fields.get(_TOKEN_COUNTS)
            )
            budget = fields.get(_BUDGET)
            authorization = fields.get(_KEY, b"").decode("latin-1")
            scheme, _, token = authorization.partition(" ")
            return model.RequestMetadata(
                attempt_id=fields.get(_ATTEMPT, b"").decode("latin-1"),
                budget_s=(
                    None if budget is None else _decode_number(budget) / 1000.0
                ),
                key=token.strip() if scheme.lower() == "token" else "",
                model=fields.get(_MODEL, b"").decode("latin-1"),
                prompt_tokens=prompt_tokens,
                max_output_tokens=max_output_tokens,
                last_event_id=_decode_count(fields.get(_LAST_EVENT, b"0")),
                prompt_parts=_decode_prompt_parts(
                    fields.get(_PROMPT_PARTS, b"")
                ),
            )
        except ValueError as error:
            return f"a header cannot be decoded: {error}"

    def list_forwarded_headers(
        self, headers: Iterable[model.Header], workspace: str
    ) -> tuple[model.Header, ...]:
        """Returns the headers to forward, the same for every attempt."""
        all_headers = list(headers)
        connection_headers = {
            name.strip().lower()
            for header, value in all_headers
            if header == b"connection"
            for name in value.split(b",")
        }
        forwarded = [
            (name, value)
            for name, value in all_headers
            if name not in _NOT_FORWARDED and name not in connection_headers
        ]
        if workspace:
            forwarded.append((_WORKSPACE, workspace.encode("latin-1")))
        return tuple(forwarded)

    def encode_request_head(self, attempt: events.StartAttempt) -> bytes:
        """Returns the head of a request to a replica."""
        request = attempt.request
        lines = [request.method.encode() + b" " + request.target + b" HTTP/1.1"]
        lines += [name + b": " + value for name, value in request.headers]
        if attempt.last_event_id:
            lines.append(_LAST_EVENT + b": %d" % attempt.last_event_id)
        lines.append(_BUDGET + b": %d" % max(1, int(attempt.budget_s * 1000)))
        if request.route.has_prompts:
            lines.append(_RANK + b": %d" % attempt.rank)
        lines.append(_EXPECTED_SERVER + b": " + attempt.replica.name.encode())
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            lines.append(b"content-length: %d" % len(request.body))
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def decode_response_head(
        self, status: int, headers: Sequence[model.Header]
    ) -> model.ResponseHead:
        """Returns the decoded head of a replica's response."""
        fields = dict(headers)
        encoding = fields.get(b"content-encoding", b"").lower()
        malformed: list[str] = []
        return model.ResponseHead(
            status=status,
            headers=tuple(h for h in headers if h[0] not in _NOT_RETURNED),
            echoed_attempt_id=fields.get(_ATTEMPT, b"").decode("latin-1"),
            is_signed=_SIGNATURE in fields,
            # Status 421 means that another server has the address now, or that
            # this server is not the head of its group.
            # In both cases, the other headers may describe another server.
            not_run=_NOT_RUN in fields or status == 421,
            has_content_encoding=encoding not in (b"", b"identity"),
            load=_decode_header(_decode_load, fields, _LOAD, malformed),
            limit_per_s=_decode_header(
                _decode_amount, fields, _LIMIT, malformed
            ),
            retry_after_s=_decode_header(
                _decode_pause, fields, _RETRY_AFTER, malformed
            )
            if status in _PAUSE_STATUSES
            else None,
            is_leaving=status != 421
            and fields.get(_LEAVING, b"0") not in (b"", b"0"),
            malformed_headers=tuple(malformed),
            # Status 421 names the server that has the address now; that server
            # is not at fault.
            faulty_server=fields.get(_FAULTY_SERVER, b"").decode("latin-1")
            if status == 503
            else "",
        )

    def encode_refusal(
        self, refusal: events.Refuse, attempt_id: str
    ) -> tuple[tuple[model.Header, ...], bytes]:
        """Returns the headers and body of a refusal."""
        body = orjson.dumps({"error": refusal.reason})
        headers: list[model.Header] = [(b"content-type", b"application/json")]
        if attempt_id:
            headers.append((_ATTEMPT, attempt_id.encode("latin-1")))
        if refusal.retry_after_s is not None:
            headers.append((b"retry-after", b"%.2f" % refusal.retry_after_s))
        return tuple(headers), body


def _decode_token_counts(value: bytes | None) -> tuple[int, int]:
    if not value:
        return 0, 0
    first, _, second = value.partition(b",")
    return _decode_count(first), _decode_count(second or b"0")


def _decode_number(value: bytes) -> int:
    number = int(value)
    if abs(number) > MAX_NUMBER:
        raise ValueError("the number is too large")
    return number


def _decode_count(value: bytes) -> int:
    count = _decode_number(value)
    if count < 0:
        raise ValueError("the number is below 0")
    return count


def _decode_prompt_parts(value: bytes) -> tuple[str, ...]:
    """Returns the ids of the shared parts of a prompt, each once, in order.

    The last part belongs to the request or its session alone. The header is no
    reason to refuse a request: an entry without a length counts as its id.
    """
    entries = value.split(b",", model.MAX_PROMPT_PARTS)[:-1]
    ids = (entry.partition(b":")[0].strip().lower() for entry in entries)
    return tuple(dict.fromkeys(i.decode("latin-1") for i in ids if i))


def _decode_header(
    decode: Callable[[bytes], _Value],
    fields: Mapping[bytes, bytes],
    name: bytes,
    malformed: list[str],
) -> _Value | None:
    """Returns the value of a header; None if it is missing or malformed."""
    value = fields.get(name)
    if not value:
        return None
    try:
        return decode(value)
    except ValueError:
        malformed.append(name.decode())
        return None


def _decode_load(value: bytes) -> model.Load:
    running, waiting, slots = (int(part) for part in value.split(b","))
    return model.Load(running, waiting, slots)


def _decode_amount(value: bytes) -> float:
    amount = float(value)
    if not math.isfinite(amount):
        raise ValueError(f"{value!r} is not finite")
    return max(0.0, amount)


def _decode_pause(value: bytes) -> float:
    return min(MAX_PAUSE_S, _decode_amount(value))
