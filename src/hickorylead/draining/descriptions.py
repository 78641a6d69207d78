"""Log lines about planned stops."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any

from hickorylead import notes

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hickorylead.draining import owed as owed_module


def describe(owed: owed_module.Owed, now: float) -> dict[str, Any]:
    """Returns fields about what a connection owes to its caller."""
    return {
        "attempt_id": owed.attempt_id,
        "connection": owed.connection,
        "phase": owed.phase.value,
        "age_s": round(now - owed.since, 3),
        "queued": owed.queued_count,
    }


def describe_end(
    owed: Sequence[owed_module.Owed], stopped_at: float, now: float
) -> list[notes.Note]:
    """Returns the lines about the end of a drain, and about what is left.

    Args:
        owed: What is left.
        stopped_at: When the process was asked to stop.
        now: Present time.
    """
    counts = collections.Counter(item.phase.value for item in owed)
    return [
        *(
            notes.Note("owed_at_end", item.request_id, describe(item, now))
            for item in owed
        ),
        notes.note(
            "drained", after_s=round(now - stopped_at, 3), left=dict(counts)
        ),
    ]
