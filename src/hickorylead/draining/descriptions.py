"""Log lines about planned stops."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any

from hickorylead import notes
from hickorylead.draining import drain as drain_module

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


def describe_close(
    owed: owed_module.Owed, by: str, why: str, now: float
) -> notes.Note:
    """Returns the line about a connection that ends within a request.

    Args:
        owed: What was owed.
        by: Who closed it: `caller` or `gateway`.
        why: Stable code.
        now: Present time.
    """
    return notes.Note(
        "caller_connection_closed",
        owed.request_id,
        {"by": by, "why": why, **describe(owed, now)},
    )


def describe_refusal(owed: owed_module.Owed, now: float) -> notes.Note:
    """Returns the line about a request that a planned stop refuses."""
    return notes.Note(
        "connection_refused", owed.request_id, describe(owed, now)
    )


def describe_abort(owed: owed_module.Owed, now: float) -> notes.Note:
    """Returns the line about a connection that a planned stop closes."""
    return notes.Note(
        "connection_aborted", owed.request_id, describe(owed, now), "warning"
    )


def describe_failure(
    decision: drain_module.Decision, error: Exception, now: float
) -> notes.Note:
    """Returns the line about a step of a planned stop that failed."""
    match decision:
        case drain_module.End(owed) | drain_module.Abort(owed):
            request_id, fields = owed.request_id, describe(owed, now)
        case _:
            request_id, fields = "", {}
    return notes.Note(
        "stop_step_failed",
        request_id,
        {"step": type(decision).__name__, "why": repr(error), **fields},
        "error",
    )


def describe_drained(
    owed: Sequence[owed_module.Owed], stopped_at: float, now: float
) -> notes.Note:
    """Returns the line about the end of a drain.

    Args:
        owed: What was left and has been ended.
        stopped_at: When the process was asked to stop.
        now: Present time.
    """
    counts = collections.Counter(item.phase.value for item in owed)
    return notes.note(
        "drained", after_s=round(now - stopped_at, 3), aborted=dict(counts)
    )
