"""Log lines about forwarded requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead import notes

if TYPE_CHECKING:
    from hickorylead import verdict as verdict_module
    from hickorylead.forwarding import (
        choice as choice_module,
        health as health_module,
        model,
        state,
    )


def describe_attempt(
    opened: state.Open,
    attempt: state.Attempt,
    chosen: choice_module.Choice,
    *,
    running: int,
) -> notes.Note:
    """Returns the line about a try; the first one is normal work."""
    return notes.Note(
        "attempt_sent",
        opened.request.request_id,
        {
            "attempt": attempt.number,
            "server": attempt.replica.name,
            "zone": attempt.replica.zone,
            "weighed": chosen.weighed,
            "estimate_s": round(chosen.estimate_s, 4),
            "running": running,
            "last_event": opened.last_event,
        },
        level="debug" if attempt.number == 1 else "info",
    )


def describe_failure(
    opened: state.Open,
    attempt: state.Attempt,
    *,
    verdict: verdict_module.Verdict,
    reason: str,
    now: float,
) -> notes.Note:
    """Returns the line about a try that gave no whole answer."""
    return notes.Note(
        "attempt_failed",
        opened.request.request_id,
        {
            "attempt": attempt.number,
            "server": attempt.replica.name,
            "verdict": verdict.value,
            "reason": reason,
            "after_s": round(now - attempt.sent_at, 3),
            "last_event": opened.last_event,
        },
    )


def describe_end(opened: state.Open, outcome: str, now: float) -> notes.Note:
    """Returns the line about a request that has its final answer."""
    request = opened.request
    return notes.Note(
        "request_ended",
        request.request_id,
        {
            "attempt_id": request.terms.attempt_id,
            "route": request.route.name,
            "kind": request.route.kind.value,
            "workspace": request.workspace,
            "outcome": outcome,
            "verdict": opened.verdict.value,
            "attempts": opened.attempts,
            "lasted_s": round(now - opened.arrived_at, 3),
        },
        level="debug" if outcome == "answered" else "info",
    )


def describe_stall(
    replica: model.Replica, seen: health_module.Seen, streams: int, now: float
) -> notes.Note:
    """Returns the line about a replica that has stopped."""
    return notes.note(
        "replica_stalled",
        server=replica.name,
        epoch=replica.epoch,
        # None if it never gave this gateway anything.
        silent_s=(
            round(now - seen.progress_at, 3) if seen.progress_at > 0 else None
        ),
        streams=streams,
    )
