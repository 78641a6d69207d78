"""Headers of callers: token, priority, deadline, key and trace."""

from __future__ import annotations

import hmac
import re
from typing import TYPE_CHECKING

from returns import result

from hickorylead.claims import idempotency_keys
from hickorylead.requests import model

if TYPE_CHECKING:
    from collections.abc import Mapping

_URGENCY = re.compile(r"(?:^|,)\s*u\s*=\s*([0-7])\s*(?:;[^,]*)?(?=,|$)")
_WAIT = re.compile(r"(?:^|,)\s*wait\s*=\s*\"?([^,;\"]*)\"?", re.IGNORECASE)
_TRACEPARENT = re.compile(r"[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")
MAX_WAIT_S = 3600.0


def find_workspace(authorization: str, tokens: Mapping[str, str]) -> str | None:
    """Returns the workspace of a bearer token; None if it is not known.

    Every token is compared, in constant time, so that the response time does
    not reveal how much of a guessed token is right.
    """
    scheme, _, received = authorization.partition(" ")
    if scheme.lower() != "bearer":
        return None
    found: str | None = None
    for token, workspace in tokens.items():
        if hmac.compare_digest(token.encode(), received.strip().encode()):
            found = workspace
    return found


def read_urgency(priority: str) -> int:
    """Returns the urgency in a Priority header (RFC 9218).

    As the RFC demands, a malformed value is ignored.
    """
    matched = _URGENCY.search(priority)
    return int(matched.group(1)) if matched else model.URGENCY_DEFAULT


def read_deadline(prefer: str, default_s: float) -> result.Result[float, str]:
    """Returns the seconds in `Prefer: wait=...` (RFC 7240)."""
    matched = _WAIT.search(prefer)
    if not matched:
        return result.Success(default_s)
    try:
        wait_s = float(matched.group(1))
    except ValueError:
        wait_s = -1.0
    if not 0 < wait_s <= MAX_WAIT_S:
        return result.Failure(
            f"Prefer: wait is not within 0..{MAX_WAIT_S:g} seconds"
        )
    return result.Success(wait_s)


def read_key(
    text: str,
) -> result.Result[idempotency_keys.IdempotencyKey | None, str]:
    """Returns the key in an Idempotency-Key header, if there is one."""
    if not text:
        return result.Success(None)
    match idempotency_keys.parse_key(text):
        case result.Success(key):
            return result.Success(key)
        case result.Failure(problem):
            return result.Failure(f"Idempotency-Key: {problem}")
    raise AssertionError("a result is a success or a failure")


def read_traceparent(text: str) -> str:
    """Returns a W3C traceparent; empty if the text is not one."""
    text = text.strip()
    return text if _TRACEPARENT.fullmatch(text) else ""
