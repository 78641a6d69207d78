"""The platform's headers, to and from the product's types."""

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
_EXPECTED = b"expect-instance"
_LAST_EVENT = b"last-event-id"
_MODEL = b"model"
_TOKENS = b"token-count"
_SEAL = b"server-seal"
_NOT_RUN = b"not-executed"
_LOAD = b"server-load"
_LIMIT = b"server-limit"
_RETRY_AFTER = b"retry-after"
_LEAVING = b"server-leaving"
_RANK = b"urgency-class"
_FAULTY_SERVER = b"at-server"

# Headers that concern one connection only, and those that are written anew.
_NOT_PASSED_ON = frozenset(
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
        _EXPECTED,
        _LAST_EVENT,
        _RANK,
    }
)
# Statuses with which a replica may ask for a pause.
_PAUSING = (429, 503)
# Longest pause that is taken from a replica, in seconds.
LONGEST_PAUSE_S = 86400.0
_NOT_GIVEN_BACK = frozenset(
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
    """Requests and answers, in the platform's words."""

    def decode_metadata(
        self, headers: Iterable[model.Header]
    ) -> model.RequestMetadata | str:
        """Returns what a caller says, or what is wrong with its headers."""
        found = dict(headers)
        try:
            prompt, answer = _read_pair(found.get(_TOKENS))
            budget = found.get(_BUDGET)
            key = found.get(_KEY, b"").decode("latin-1")
            scheme, _, token = key.partition(" ")
            return model.RequestMetadata(
                attempt_id=found.get(_ATTEMPT, b"").decode("latin-1"),
                budget_s=None if budget is None else int(budget) / 1000.0,
                key=token.strip() if scheme.lower() == "token" else "",
                model=found.get(_MODEL, b"").decode("latin-1"),
                prompt_tokens=prompt,
                max_output_tokens=answer,
                last_event_id=int(found.get(_LAST_EVENT, b"0")),
            )
        except ValueError as error:
            return f"a header cannot be read: {error}"

    def list_forwarded_headers(
        self, headers: Iterable[model.Header], workspace: str
    ) -> tuple[model.Header, ...]:
        """Returns the headers to pass on, whatever the attempt."""
        all_headers = list(headers)
        named = {
            name.strip().lower()
            for header, value in all_headers
            if header == b"connection"
            for name in value.split(b",")
        }
        passed = [
            (name, value)
            for name, value in all_headers
            if name not in _NOT_PASSED_ON and name not in named
        ]
        if workspace:
            passed.append((_WORKSPACE, workspace.encode("latin-1")))
        return tuple(passed)

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
        lines.append(_EXPECTED + b": " + attempt.replica.name.encode())
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            lines.append(b"content-length: %d" % len(request.body))
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def decode_response_head(
        self, status: int, headers: Sequence[model.Header]
    ) -> model.ResponseHead:
        """Returns the head of a replica's answer."""
        found = dict(headers)
        encoding = found.get(b"content-encoding", b"").lower()
        unreadable: list[str] = []
        return model.ResponseHead(
            status=status,
            headers=tuple(h for h in headers if h[0] not in _NOT_GIVEN_BACK),
            echoed_attempt_id=found.get(_ATTEMPT, b"").decode("latin-1"),
            is_signed=_SEAL in found,
            # 421 says by itself that another server has the address, or that
            # the group's head is elsewhere.
            not_run=_NOT_RUN in found or status == 421,
            has_content_encoding=encoding not in (b"", b"identity"),
            load=_read(_read_load, found, _LOAD, unreadable),
            limit_per_s=_read(_read_amount, found, _LIMIT, unreadable),
            retry_after_s=_read(_read_pause, found, _RETRY_AFTER, unreadable)
            if status in _PAUSING
            else None,
            is_leaving=found.get(_LEAVING, b"0") not in (b"", b"0"),
            malformed_headers=tuple(unreadable),
            # A 421 names the server that has the address; it is not at fault.
            faulty_server=found.get(_FAULTY_SERVER, b"").decode("latin-1")
            if status == 503
            else "",
        )

    def write_refusal(
        self, refusal: events.Refuse, attempt_id: str
    ) -> tuple[tuple[model.Header, ...], bytes]:
        """Returns headers and body of an answer of our own."""
        body = orjson.dumps({"error": refusal.reason})
        headers: list[model.Header] = [(b"content-type", b"application/json")]
        if attempt_id:
            headers.append((_ATTEMPT, attempt_id.encode("latin-1")))
        if refusal.retry_after_s is not None:
            headers.append((b"retry-after", b"%.2f" % refusal.retry_after_s))
        return tuple(headers), body


def _read_pair(value: bytes | None) -> tuple[int, int]:
    if not value:
        return 0, 0
    first, _, second = value.partition(b",")
    return int(first), int(second or b"0")


def _read(
    reader: Callable[[bytes], _Value],
    found: Mapping[bytes, bytes],
    name: bytes,
    unreadable: list[str],
) -> _Value | None:
    """Returns the value of a header; None if it is missing or unreadable."""
    value = found.get(name)
    if not value:
        return None
    try:
        return reader(value)
    except ValueError:
        unreadable.append(name.decode())
        return None


def _read_load(value: bytes) -> model.Load:
    running, waiting, slots = (int(part) for part in value.split(b","))
    return model.Load(running, waiting, slots)


def _read_amount(value: bytes) -> float:
    amount = float(value)
    if not math.isfinite(amount):
        raise ValueError(f"{value!r} is not finite")
    return max(0.0, amount)


def _read_pause(value: bytes) -> float:
    return min(LONGEST_PAUSE_S, _read_amount(value))
