"""Hashes by which equal requests are recognized."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Size of a hash in bytes. With 1,000 stored hashes, one in 10^16 other requests
# has one of the stored hashes by chance. The last bit is dropped: 63 bits fit a
# signed integer.
_HASH_BYTES = 8


def hash_request(workspace: str, parts: Iterable[bytes]) -> int:
    """Returns a hash of a request, the same for each submission of it.

    The submission's id, its deadline and the event after which it resumes
    differ between submissions and are not included.

    Args:
        workspace: The caller's workspace; equal requests of different
            workspaces have different hashes.
        parts: Method, target and body.
    """
    digest = hashlib.blake2b(digest_size=_HASH_BYTES)
    for part in (workspace.encode(), *parts):
        # Each part is prefixed with its length, so that bytes can't move from
        # one part to the next.
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return int.from_bytes(digest.digest()) >> 1


def hash_prompt_part(service: str, part: str) -> int:
    """Returns a hash of a part of a prompt, the same in each request.

    Args:
        service: The service that the request is for; a part may crash the
            servers of one service only.
        part: Id of the part.
    """
    return hash_request(service, (b"prompt part", part.encode()))


def format_request_hash(request_hash: int) -> str:
    """Returns a hash as it is written in logs."""
    return f"{request_hash:016x}"
