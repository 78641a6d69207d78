"""Idempotency keys that contain the time of their creation.

A key is a ULID or a UUID of version 7. From the time in the key, a claim holder
determines whether it could have lost a claim on that key. If so, it does not
grant the claim, instead of guessing. (Ordering records by an id that contains a
time is from the OK Log design, "Ingest segments".)
"""

from __future__ import annotations

import uuid

import attrs
from returns import result

_ULID_DIGITS = "0123456789ABCDEFGHJKMNPQRSTVWXYZ"
_ULID_LENGTH = 26
_ULID_TIME_DIGITS = 10


@attrs.frozen
class IdempotencyKey:
    """A valid idempotency key.

    Attributes:
        text: The key from the caller, in canonical form.
        made_at: When it was created, in Unix seconds.
    """

    text: str
    made_at: float


def parse_key(text: str) -> result.Result[IdempotencyKey, str]:
    """Returns the key in a header value, or why it is invalid."""
    bare = text.strip().strip('"')
    if len(bare) == _ULID_LENGTH:
        return _parse_ulid(bare.upper())
    try:
        parsed = uuid.UUID(bare)
    except ValueError:
        return result.Failure("the key is neither a ULID nor a UUID")
    if parsed.version != 7:
        return result.Failure("a UUID used as key must be of version 7")
    return result.Success(
        IdempotencyKey(str(parsed), (parsed.int >> 80) / 1000)
    )


def _parse_ulid(text: str) -> result.Result[IdempotencyKey, str]:
    if any(digit not in _ULID_DIGITS for digit in text) or text[0] > "7":
        return result.Failure("the key is not a valid ULID")
    made_ms = 0
    for digit in text[:_ULID_TIME_DIGITS]:
        made_ms = made_ms * 32 + _ULID_DIGITS.index(digit)
    return result.Success(IdempotencyKey(text, made_ms / 1000))
