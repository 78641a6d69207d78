"""Rendezvous hashing: a stable choice among names for a key."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def score_name(key: str, name: str) -> int:
    """Returns a name's score for a key; the highest-scored name is chosen."""
    digest = hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rank_names(key: str, names: Iterable[str]) -> list[str]:
    """Returns the names by descending score for the key.

    When a name is removed, only the keys that chose it move, and they are
    distributed over all remaining names.
    """
    return sorted(names, key=lambda name: (-score_name(key, name), name))
