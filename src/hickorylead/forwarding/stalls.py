"""Noticing a replica whose streams have all stopped.

When a member of a group is lost its head goes on accepting requests for
seconds, and gives nothing. Gateways see it first: a replica gives something
to each of its streams in every pass, and a pass takes some tens of ms.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorylead.configuration import document as document_module
    from hickorylead.forwarding import health as health_module, model, state

# A replica that has given nothing to any of its running streams for this long
# is taken for stalled, in seconds. A pass of a full batch lasts about 60 ms,
# and reading two long prompts in between 150 ms more.
FLOW_STALL_S = 0.22
# One stream alone shows less: its replica may be reading prompts of others.
LONE_STALL_S = 0.26
# With no running stream, requests that wait for their first event show it
# after this, in seconds, beyond the time to read their prompts.
FIRST_STALL_S = 0.45


def find_stalled(
    opened: list[state.Open],
    book: health_module.HealthBook,
    find_engine: Callable[[str], document_module.Engine | None],
    now: float,
) -> list[model.Replica]:
    """Returns the replicas that have stopped, by their streams here."""
    by_replica: dict[str, list[state.Open]] = collections.defaultdict(list)
    for request in opened:
        if request.attempt is not None and request.request.is_stream:
            by_replica[request.attempt.replica.name].append(request)
    stalled = []
    for requests in by_replica.values():
        attempt = requests[0].attempt
        assert attempt is not None
        replica = attempt.replica
        if book.is_stalled(replica, now):
            continue
        engine = find_engine(replica.service)
        if engine is not None and _has_stopped(requests, book, engine, now):
            stalled.append(replica)
    return stalled


def _has_stopped(
    requests: list[state.Open],
    book: health_module.HealthBook,
    engine: document_module.Engine,
    now: float,
) -> bool:
    running = waiting = 0
    tokens = 0
    oldest_sent = now
    newest_sent = 0.0
    for opened in requests:
        attempt = opened.attempt
        assert attempt is not None
        if attempt.has_given:
            running += 1
        else:
            waiting += 1
            tokens += opened.request.terms.prompt_tokens
            oldest_sent = min(oldest_sent, attempt.sent_at)
        newest_sent = max(newest_sent, attempt.sent_at)
    attempt = requests[0].attempt
    assert attempt is not None
    progress_at = book.get(attempt.replica).progress_at
    silent_s = now - progress_at
    reading_s = tokens * engine.read_s
    if running:
        limit_s = FLOW_STALL_S if running > 1 else LONE_STALL_S
        return silent_s > limit_s + reading_s
    silent_s = now - max(oldest_sent, progress_at)
    return waiting > 0 and silent_s > FIRST_STALL_S + reading_s
