"""Noticing a replica whose streams have all stopped.

When a member of a group is lost its head goes on accepting requests for
seconds, and gives nothing. Gateways see it first: a replica gives something
to each of its streams in every pass. How long a pass may last follows from the
engine's figures and from the prompts that it may have to read in between.
"""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorylead.configuration import document as document_module
    from hickorylead.forwarding import health as health_module, model, state

# A replica is taken for stalled after this many passes of a full batch, beyond
# the time to read prompts. With two passes and one and a half prompts, a third
# to a half of the alarms by running streams were false: they came after 0.17 to
# 0.19 s, where the bound was 0.10 to 0.13 s. A stream that is moved for a real
# stall pauses for longer than its caller allows with either bound.
STALL_PASSES = 3.0
# Largest prompts that a replica may read in between, at the same time.
PROMPTS_BETWEEN = 2.0
# One stream alone shows less than several; it is given this much longer.
LONE_FACTOR = 1.25
# After another gateway saw a replica stop, this share of the limit is enough.
TOLD_SHARE = 0.75
# At a replica where nobody else has requests, ones that wait for their first
# event show a stall after this, in seconds, beyond the limit: about 120 ms pass
# before any first event.
FIRST_EVENT_S = 0.4
# A gateway that has just started does not know what others have sent to a
# replica, and after a loss of power all of them send what has waited at once. A
# batch that reads such a backlog gives events each 0.27 s (5 steps of 2,048
# tokens). So for this long, in seconds, it waits this much longer. Without that
# 128 false alarms in 6 s after a loss of power sent streams away, and had their
# prompts read again.
START_S = 4.0
START_FACTOR = 2.5
# An idempotent call without an answer is tried elsewhere after this many times
# its objective: nearly all answers come within one.
PATIENCE_OBJECTIVES = 2.0


class Basis(enum.Enum):
    """What showed that a replica has stopped."""

    RUNNING = "running"
    WAITING = "waiting"
    TOLD = "told"


@attrs.frozen
class Stall:
    """A replica that has stopped, as its streams here show."""

    replica: model.Replica
    basis: Basis


def is_overdue(opened: state.PendingRequest, now: float) -> bool:
    """Says whether a call that is no stream has waited too long."""
    attempt = opened.attempt
    return (
        attempt is not None
        and not opened.request.is_stream
        and attempt.head is None
        and now > find_overdue(opened)
    )


def find_overdue(opened: state.PendingRequest) -> float:
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
    engine: document_module.EngineProfile,
    largest_prompt: float,
) -> float:
    """Returns the silence that shows that a replica has stopped, in seconds.

    Args:
        replica: The replica.
        engine: Figures of its engine.
        largest_prompt: Tokens of the largest prompts of its model lately.
    """
    figures = engine.find_model(replica.model)
    pace = figures.time_factor if figures else 1.0
    step_s = (
        engine.decode_step_s + engine.decode_step_per_request_s * engine.slots
    )
    pass_s = step_s * engine.steps_per_event
    reading_s = PROMPTS_BETWEEN * largest_prompt * engine.prefill_per_token_s
    return pace * (STALL_PASSES * pass_s + reading_s)


def find_stalled(
    opened: list[state.PendingRequest],
    book: health_module.HealthTracker,
    find_engine: Callable[[str], document_module.EngineProfile | None],
    *,
    factor: float,
    now: float,
) -> list[Stall]:
    """Returns the replicas that have stopped, by their streams here.

    Args:
        opened: All open requests.
        book: What was seen of the replicas.
        find_engine: Returns the engine of a service.
        factor: How many times longer than usual to wait; see `find_factor`.
        now: Present time.
    """
    by_replica: dict[str, list[state.PendingRequest]] = collections.defaultdict(
        list
    )
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
        basis = _find_basis(requests, book, engine, limit_s, now)
        if basis is not None:
            stalled.append(Stall(replica, basis))
    return stalled


def _find_basis(
    requests: list[state.PendingRequest],
    book: health_module.HealthTracker,
    engine: document_module.EngineProfile,
    limit_s: float,
    now: float,
) -> Basis | None:
    """Returns what shows that a replica has stopped; None if nothing does."""
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
            tokens += opened.request.metadata.prompt_tokens
            oldest_sent = min(oldest_sent, attempt.sent_at)
    attempt = requests[0].attempt
    assert attempt is not None
    replica = attempt.replica
    progress_at = book.get(replica).progress_at
    limit_s += tokens * engine.prefill_per_token_s
    if running:
        factor = 1.0 if running > 1 else LONE_FACTOR
        is_silent = now - progress_at > limit_s * factor
        return Basis.RUNNING if is_silent else None
    if book.count_requests(replica, now) > waiting:
        # They may be queued behind those of others, who see a stall first and
        # tell; without others that read, coordinators miss its heartbeats. Of
        # 110 alarms by such requests, 100 were false.
        return None
    limit_s += FIRST_EVENT_S
    silent_s = now - max(oldest_sent, progress_at)
    return Basis.WAITING if waiting and silent_s > limit_s else None
