"""Effects that send a replica's response to the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead.forwarding import events

if TYPE_CHECKING:
    from hickorylead.forwarding import health as health_module, state


def start_stream(
    pending: state.PendingRequest,
    attempt: state.Attempt,
    health: health_module.HealthTracker,
) -> list[events.Effect]:
    """Starts a streamed response when its first event has arrived.

    A stream that is resumed on another replica keeps the first head.
    """
    if not attempt.has_output:
        attempt.has_output = True
        stats = health.get(attempt.replica)
        stats.prefill_tokens -= pending.request.metadata.prompt_tokens
    return _start(pending, attempt)


def flush_buffer(
    pending: state.PendingRequest, attempt: state.Attempt
) -> list[events.Effect]:
    """Sends the part of a response buffered before it became too large."""
    effects = _start(pending, attempt)
    pending.has_sent_body = True
    effects.append(
        events.WriteChunk(pending.request.request_id, bytes(attempt.body))
    )
    attempt.body.clear()
    return effects


def send_buffered(
    pending: state.PendingRequest, attempt: state.Attempt
) -> list[events.Effect]:
    """Sends a response that was buffered until it was complete."""
    head = attempt.head
    is_bodiless = pending.request.method == "HEAD" or (
        head is not None and head.status in (204, 304)
    )
    length = None if is_bodiless else len(attempt.body)
    effects = _start(pending, attempt, length)
    if attempt.body:
        effects.append(
            events.WriteChunk(pending.request.request_id, bytes(attempt.body))
        )
    return effects


def should_drop_failure(
    pending: state.PendingRequest, attempt: state.Attempt
) -> bool:
    """Returns whether a failure of a replica is not sent to the caller.

    Another attempt may still succeed, or the request is retried.
    """
    return (
        attempt.head is not None
        and attempt.head.status >= 500
        and not pending.started
        and pending.request.route.is_retryable
        and (
            len(pending.live_attempts) > 1
            or pending.run_count < pending.request.route.max_attempts
        )
    )


def _start(
    pending: state.PendingRequest,
    attempt: state.Attempt,
    length: int | None = None,
) -> list[events.Effect]:
    if pending.started:
        return []
    pending.started = True
    head = attempt.head
    assert head is not None
    return [
        events.StartResponse(
            pending.request.request_id, head.status, head.headers, length
        )
    ]
