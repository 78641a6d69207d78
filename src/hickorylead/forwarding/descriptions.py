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

# Outcome of a request whose response was delivered completely.
ANSWERED = "answered"


def describe_attempt(
    pending: state.PendingRequest, attempt: state.Attempt
) -> notes.Note:
    """Returns the log line about a second or later attempt."""
    return notes.Note(
        "attempt_sent",
        pending.request.request_id,
        {
            "attempt": attempt.number,
            "service": pending.request.service,
            "is_repeat": attempt.is_repeat,
            "last_event": pending.last_event_id,
            **_describe_choice(attempt),
        },
    )


def describe_failure(
    pending: state.PendingRequest,
    attempt: state.Attempt,
    *,
    verdict: verdict_module.Verdict,
    reason: str,
    now: float,
) -> notes.Note:
    """Returns the log line about an attempt without a complete response."""
    return notes.Note(
        "attempt_failed",
        pending.request.request_id,
        {
            "attempt": attempt.number,
            "server": attempt.replica.name,
            "verdict": verdict.value,
            "reason": reason,
            "after_s": round(now - attempt.sent_at, 3),
            "last_event": pending.last_event_id,
            "has_output": attempt.has_output,
            **_describe_content(pending),
            **_describe_refusal(attempt.head),
        },
    )


def describe_suspicion(
    pending: state.PendingRequest, attempt: state.Attempt, now: float
) -> notes.Note:
    """Returns the log line about an attempt that is silent for too long."""
    return notes.Note(
        "attempt_suspected",
        pending.request.request_id,
        {
            "attempt": attempt.number,
            "server": attempt.replica.name,
            "reason": attempt.suspicion,
            "after_s": round(now - attempt.sent_at, 3),
            "silent_s": round(now - attempt.last_received_at, 3),
            "last_event": pending.last_event_id,
            "has_output": attempt.has_output,
        },
    )


def describe_leaving(replica: model.Replica) -> notes.Note:
    """Returns the log line about a replica that announced its departure."""
    return notes.note("server_leaving", server=replica.name, born=replica.born)


def describe_malformed_headers(
    replica: model.Replica, names: tuple[str, ...]
) -> notes.Note:
    """Returns the log line about malformed headers of a response."""
    return notes.note(
        "header_unreadable", server=replica.name, headers=list(names)
    )


def describe_end(
    pending: state.PendingRequest, outcome: str, *, version: int, now: float
) -> notes.Note:
    """Returns the log line about a request that has ended.

    Args:
        pending: The request.
        outcome: Stable code of how it ended.
        version: The operators' version of the configuration in force.
        now: Present time.
    """
    request, last_attempt = pending.request, pending.last_attempt
    return notes.Note(
        "request_ended",
        request.request_id,
        {
            "attempt_id": request.metadata.attempt_id,
            "route": request.route.name,
            "service": request.service,
            "kind": request.route.kind.value,
            "workspace": request.workspace,
            **_describe_content(pending),
            "configuration": version,
            "outcome": outcome,
            "verdict": pending.verdict.value,
            "attempts": pending.attempt_count,
            "failures": pending.failures,
            "lasted_s": round(now - pending.arrived_at, 3),
            "first_event_s": _round(pending.first_event_s),
            "objective_s": request.route.objective_s,
            "longest_pause_s": round(pending.longest_gap_s, 3),
            "pause_limit_s": request.route.max_event_gap_s,
            "sent_after_s": _round(
                pending.first_sent_at - pending.arrived_at
                if pending.first_sent_at is not None
                else None
            ),
            **(_describe_choice(last_attempt) if last_attempt else {}),
        },
        level="debug" if outcome == ANSWERED else "info",
    )


def describe_stall(
    stall: stalls.Stall,
    stats: health_module.ReplicaStats,
    streams: int,
    now: float,
) -> notes.Note:
    """Returns the log line about a replica that has stalled."""
    return notes.note(
        "replica_stalled",
        server=stall.replica.name,
        epoch=stall.replica.epoch,
        basis=stall.basis.value,
        # None if the replica never sent any output to this gateway.
        silent_s=_round(
            now - stats.progress_at if stats.progress_at > 0 else None
        ),
        streams=streams,
        late_s=round(stall.late_s, 3),
        uptime_s=round(stall.uptime_s, 3),
    )


def describe_limit(
    replica: model.Replica, limit_per_s: float | None
) -> notes.Note:
    """Returns the log line about a change of a replica's rate limit."""
    return notes.note(
        "server_limit", server=replica.name, limit_per_s=limit_per_s
    )


def _describe_content(pending: state.PendingRequest) -> dict[str, Any]:
    """Returns the hashes of a request and of its shared prompt parts."""
    fields: dict[str, Any] = {
        "content": request_hash.format_request_hash(pending.request_hash)
    }
    if pending.part_hashes:
        fields["parts"] = [
            request_hash.format_request_hash(part)
            for part in pending.part_hashes
        ]
    return fields


def _describe_choice(attempt: state.Attempt) -> dict[str, Any]:
    choice = attempt.choice
    return {
        "server": attempt.replica.name,
        "server_zone": attempt.replica.zone,
        "epoch": attempt.replica.epoch,
        "relay": attempt.relay.node if attempt.relay else None,
        "weighed": choice.candidates,
        "estimate_s": round(choice.estimate_s, 4),
        "running": choice.running,
        "limit_per_s": choice.limit_per_s,
        "paused": choice.paused_count or None,
        "load_told_ago_s": _round(choice.load_age_s),
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
