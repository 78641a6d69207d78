"""Tells whether two submissions ask for the same thing."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Bytes of a hash. Of the 1,000 contents that are remembered at most, one is
# met by chance by one of 10^16 other requests; 63 bits fit a signed integer.
_HASH_BYTES = 8


def hash_request(workspace: str, parts: Iterable[bytes]) -> int:
    """Returns a hash of what a caller asks for, the same for each submission.

    A submission's own id, its deadline and the event that it goes on after
    differ from one to the next and are no part of it.

    Args:
        workspace: Who asks; another caller's request is another one.
        parts: Method, target and body.
    """
    digest = hashlib.blake2b(digest_size=_HASH_BYTES)
    for part in (workspace.encode(), *parts):
        # With its length first, bytes can't move from one part to the next.
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return int.from_bytes(digest.digest()) >> 1


def format_request_hash(content: int) -> str:
    """Returns a hash as logs write it."""
    return f"{content:016x}"
