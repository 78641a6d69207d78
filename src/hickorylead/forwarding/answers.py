"""What a caller is given of a replica's answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead.forwarding import events

if TYPE_CHECKING:
    from hickorylead.forwarding import health as health_module, state


def start_stream(
    opened: state.PendingRequest, book: health_module.HealthTracker
) -> list[events.Effect]:
    """Gives the head of a stream, with its first event.

    A stream that goes on at another replica keeps the head of the first one.
    """
    attempt = opened.attempt
    assert attempt is not None
    if not attempt.has_given:
        attempt.has_given = True
        seen = book.get(attempt.replica)
        seen.reading -= opened.request.metadata.prompt_tokens
    return _start(opened)


def give_begun(opened: state.PendingRequest) -> list[events.Effect]:
    """Gives what there is of an answer that is too large to be kept."""
    attempt = opened.attempt
    assert attempt is not None
    effects = _start(opened)
    effects.append(
        events.WriteChunk(opened.request.request_id, bytes(attempt.body))
    )
    attempt.body.clear()
    return effects


def give_whole(opened: state.PendingRequest) -> list[events.Effect]:
    """Gives an answer that was kept until it was whole."""
    attempt = opened.attempt
    assert attempt is not None
    effects = _start(opened, len(attempt.body))
    if attempt.body:
        effects.append(
            events.WriteChunk(opened.request.request_id, bytes(attempt.body))
        )
    return effects


def is_worth_another(opened: state.PendingRequest) -> bool:
    """Says whether a replica's failure is worth another try."""
    attempt = opened.attempt
    assert attempt is not None
    return (
        attempt.head is not None
        and attempt.head.status >= 500
        and not opened.started
        and opened.request.route.is_retryable
        and opened.runs + 1 < opened.request.route.max_attempts
    )


def _start(
    opened: state.PendingRequest, length: int | None = None
) -> list[events.Effect]:
    attempt = opened.attempt
    assert attempt is not None
    if opened.started:
        return []
    opened.started = True
    head = attempt.head
    assert head is not None
    return [
        events.StartResponse(
            opened.request.request_id, head.status, head.headers, length
        )
    ]
