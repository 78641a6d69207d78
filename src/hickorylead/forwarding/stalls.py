"""Noticing a replica whose streams have all stopped.

When a member of a group is lost its head goes on accepting requests for
seconds, and gives nothing. Gateways see it first: a replica gives something
to each of its streams in every pass. How long a pass may last follows from the
engine's figures and from the prompts that it may have to read in between.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorylead.configuration import document as document_module
    from hickorylead.forwarding import health as health_module, model, state

# A replica is taken for stalled after this many passes of a full batch, beyond
# the time to read prompts. One pass may just have been missed.
STALL_PASSES = 2.0
# Largest prompts that a replica may read in between, at the same time: two at
# once were seen now and then under load, more hardly ever.
PROMPTS_BETWEEN = 1.5
# One stream alone shows less than several; it is given this much longer.
LONE_FACTOR = 1.25
# After another gateway saw a replica stop, this share of the limit is enough.
TOLD_SHARE = 0.75
# With no running stream, requests that wait for their first event show a stall
# after this, in seconds, beyond the limit: about 120 ms pass before any first
# event, and a full replica lets newcomers wait.
FIRST_EVENT_S = 0.2
# A gateway that has just started does not know what others have sent to a
# replica, and after a loss of power all of them send what has waited at once. A
# batch that reads such a backlog gives events each 0.27 s (5 steps of 2,048
# tokens). So for this long, in seconds, it waits this much longer. Without that
# 128 false alarms in 6 s sent streams away and read their prompts again
# (kahikatea trouble-1).
START_S = 4.0
START_FACTOR = 2.5
# An idempotent call without an answer is tried elsewhere after this many times
# its objective: nearly all answers come within one.
PATIENCE_OBJECTIVES = 2.0


def is_overdue(opened: state.Open, now: float) -> bool:
    """Says whether a call that is no stream has waited too long."""
    attempt = opened.attempt
    return (
        attempt is not None
        and not opened.request.is_stream
        and attempt.head is None
        and now > find_overdue(opened)
    )


def find_overdue(opened: state.Open) -> float:
    """Returns when a call under way will have waited too long."""
    assert opened.attempt is not None
    objective_s = opened.request.route.objective_s
    return opened.attempt.sent_at + PATIENCE_OBJECTIVES * objective_s


def find_factor(started_at: float, now: float) -> float:
    """Returns how many times longer than usual a gateway waits.

    Args:
        started_at: When it started.
        now: Present time.
    """
    return START_FACTOR if now - started_at < START_S else 1.0


def find_limit(
    replica: model.Replica,
    engine: document_module.Engine,
    largest_prompt: float,
) -> float:
    """Returns the silence that shows that a replica has stopped, in seconds.

    Args:
        replica: The replica.
        engine: Figures of its engine.
        largest_prompt: Tokens of the largest prompts of its model lately.
    """
    figures = engine.find_model(replica.model)
    pace = figures.pace if figures else 1.0
    step_s = engine.step_s + engine.step_per_request_s * engine.slots
    pass_s = step_s * engine.stride
    reading_s = PROMPTS_BETWEEN * largest_prompt * engine.read_s
    return pace * (STALL_PASSES * pass_s + reading_s)


def find_stalled(
    opened: list[state.Open],
    book: health_module.HealthBook,
    find_engine: Callable[[str], document_module.Engine | None],
    *,
    factor: float,
    now: float,
) -> list[model.Replica]:
    """Returns the replicas that have stopped, by their streams here.

    Args:
        opened: All open requests.
        book: What was seen of the replicas.
        find_engine: Returns the engine of a service.
        factor: How many times longer than usual to wait; see `find_factor`.
        now: Present time.
    """
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
        if engine is None:
            continue
        limit_s = factor * find_limit(
            replica, engine, book.find_largest_prompt(replica.model, now)
        )
        if _has_stopped(requests, book, engine, limit_s, now):
            stalled.append(replica)
    return stalled


def _has_stopped(
    requests: list[state.Open],
    book: health_module.HealthBook,
    engine: document_module.Engine,
    limit_s: float,
    now: float,
) -> bool:
    running = waiting = 0
    tokens = 0
    oldest_sent = now
    for opened in requests:
        attempt = opened.attempt
        assert attempt is not None
        if attempt.has_given:
            running += 1
        else:
            waiting += 1
            tokens += opened.request.terms.prompt_tokens
            oldest_sent = min(oldest_sent, attempt.sent_at)
    attempt = requests[0].attempt
    assert attempt is not None
    progress_at = book.get(attempt.replica).progress_at
    limit_s += tokens * engine.read_s
    if running:
        factor = 1.0 if running > 1 else LONE_FACTOR
        return now - progress_at > limit_s * factor
    silent_s = now - max(oldest_sent, progress_at)
    return waiting > 0 and silent_s > limit_s + FIRST_EVENT_S
