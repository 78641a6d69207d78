"""Log lines about forwarded requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from hickorylead import notes
from hickorylead.crashes import request_hash

if TYPE_CHECKING:
    from hickorylead import verdict as verdict_module
    from hickorylead.forwarding import (
        health as health_module,
        model,
        stalls,
        state,
    )


def describe_attempt(
    opened: state.PendingRequest, attempt: state.Attempt
) -> notes.Note:
    """Returns the line about a second or later try."""
    return notes.Note(
        "attempt_sent",
        opened.request.request_id,
        {
            "attempt": attempt.number,
            "last_event": opened.last_event_id,
            **_describe_choice(attempt),
        },
    )


def describe_failure(
    opened: state.PendingRequest,
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
            "last_event": opened.last_event_id,
            "content": request_hash.format_request_hash(opened.content),
            **_describe_refusal(attempt.head),
        },
    )


def describe_leaving(replica: model.Replica) -> notes.Note:
    """Returns the line about a replica that says that it leaves."""
    return notes.note("server_leaving", server=replica.name, born=replica.born)


def describe_unreadable(
    replica: model.Replica, names: tuple[str, ...]
) -> notes.Note:
    """Returns the line about headers of an answer that can't be read."""
    return notes.note(
        "header_unreadable", server=replica.name, headers=list(names)
    )


def describe_end(
    opened: state.PendingRequest, outcome: str, *, version: int, now: float
) -> notes.Note:
    """Returns the line about a request that has its final answer.

    Args:
        opened: The request.
        outcome: Stable code of how it ended.
        version: The operators' version of the configuration in force.
        now: Present time.
    """
    request, last = opened.request, opened.last
    return notes.Note(
        "request_ended",
        request.request_id,
        {
            "attempt_id": request.metadata.attempt_id,
            "route": request.route.name,
            "kind": request.route.kind.value,
            "workspace": request.workspace,
            "content": request_hash.format_request_hash(opened.content),
            "configuration": version,
            "outcome": outcome,
            "verdict": opened.verdict.value,
            "attempts": opened.attempts,
            "lasted_s": round(now - opened.arrived_at, 3),
            "first_event_s": _round(opened.first_event_s),
            "objective_s": request.route.objective_s,
            "longest_pause_s": round(opened.longest_pause_s, 3),
            "pause_limit_s": request.route.max_event_gap_s,
            "sent_after_s": _round(
                opened.first_sent_at - opened.arrived_at
                if opened.first_sent_at is not None
                else None
            ),
            **(_describe_choice(last) if last else {}),
        },
        level="debug" if outcome == "answered" else "info",
    )


def describe_stall(
    stall: stalls.Stall,
    seen: health_module.ReplicaStats,
    streams: int,
    now: float,
) -> notes.Note:
    """Returns the line about a replica that has stopped."""
    return notes.note(
        "replica_stalled",
        server=stall.replica.name,
        epoch=stall.replica.epoch,
        basis=stall.basis.value,
        # None if it never gave this gateway anything.
        silent_s=_round(
            now - seen.progress_at if seen.progress_at > 0 else None
        ),
        streams=streams,
    )


def describe_limit(
    replica: model.Replica, limit_per_s: float | None
) -> notes.Note:
    """Returns the line about a replica that names another limit, or none."""
    return notes.note(
        "server_limit", server=replica.name, limit_per_s=limit_per_s
    )


def _describe_choice(attempt: state.Attempt) -> dict[str, Any]:
    choice = attempt.choice
    return {
        "server": attempt.replica.name,
        "zone": attempt.replica.zone,
        "epoch": attempt.replica.epoch,
        "weighed": choice.weighed,
        "estimate_s": round(choice.estimate_s, 4),
        "running": choice.running,
        "limit_per_s": choice.limit_per_s,
        "paused": choice.paused or None,
        "load_told_ago_s": _round(choice.told_ago_s),
    }


def _describe_refusal(head: model.ResponseHead | None) -> dict[str, Any]:
    if head is None or not head.not_run:
        return {}
    return {
        "status": head.status,
        "retry_after_s": head.retry_after_s,
        "leaving": head.is_leaving,
        "faulty_server": head.faulty_server or None,
    }


def _round(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)
