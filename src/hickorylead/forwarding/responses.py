"""Effects that send a replica's response to the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead.forwarding import events

if TYPE_CHECKING:
    from hickorylead.forwarding import health as health_module, state


def start_stream(
    pending: state.PendingRequest, health: health_module.HealthTracker
) -> list[events.Effect]:
    """Starts a streamed response when its first event has arrived.

    A stream that is resumed on another replica keeps the first head.
    """
    attempt = pending.attempt
    assert attempt is not None
    if not attempt.has_output:
        attempt.has_output = True
        stats = health.get(attempt.replica)
        stats.prefill_tokens -= pending.request.metadata.prompt_tokens
    return _start(pending)


def flush_buffer(pending: state.PendingRequest) -> list[events.Effect]:
    """Sends the part of a response buffered before it became too large."""
    attempt = pending.attempt
    assert attempt is not None
    effects = _start(pending)
    effects.append(
        events.WriteChunk(pending.request.request_id, bytes(attempt.body))
    )
    attempt.body.clear()
    return effects


def send_buffered(pending: state.PendingRequest) -> list[events.Effect]:
    """Sends a response that was buffered until it was complete."""
    attempt = pending.attempt
    assert attempt is not None
    effects = _start(pending, len(attempt.body))
    if attempt.body:
        effects.append(
            events.WriteChunk(pending.request.request_id, bytes(attempt.body))
        )
    return effects


def should_retry_failure(pending: state.PendingRequest) -> bool:
    """Returns whether to retry a request that a replica failed."""
    attempt = pending.attempt
    assert attempt is not None
    return (
        attempt.head is not None
        and attempt.head.status >= 500
        and not pending.started
        and pending.request.route.is_retryable
        and pending.runs + 1 < pending.request.route.max_attempts
    )


def _start(
    pending: state.PendingRequest, length: int | None = None
) -> list[events.Effect]:
    attempt = pending.attempt
    assert attempt is not None
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
