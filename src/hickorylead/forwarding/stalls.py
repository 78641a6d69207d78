"""Detection of stalled replicas: those whose streams have all stopped.

When a member of a group is lost, the head of the group accepts requests for
some more seconds but sends no output. Gateways detect this first, since a
working replica sends output for each of its streams in every pass of the
engine. The longest duration of a pass follows from the engine's profile and
from the prompts that may be prefilled in between.
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

# A replica counts as stalled if it has sent no output for this many passes of a
# full batch, plus the time to prefill PREFILL_PROMPTS prompts. With two passes
# and one and a half prompts, a third to a half of the alarms by running streams
# are false: output comes after 0.17 to 0.19 s, with a limit of 0.10 to 0.13 s.
# With either limit, a stream that is moved for a real stall has a longer event
# gap than its caller allows.
STALL_PASSES = 3.0
# Number of prompts, each as long as the largest recent prompt, that a replica
# is assumed to prefill between two passes.
PREFILL_PROMPTS = 2.0
# Factor of the stall limit for a replica with a single running stream, which is
# weaker evidence than several streams.
SINGLE_STREAM_FACTOR = 1.25
# Factor of the stall limit for a replica whose stall another gateway reported.
REPORTED_SHARE = 0.75
# Added to the stall limit, in seconds, if all requests known at a replica are
# requests of this gateway that wait for their first event: any first event
# takes about 120 ms.
FIRST_EVENT_ALLOWANCE_S = 0.4
# For STARTUP_S seconds after its start, a gateway multiplies the stall limit by
# STARTUP_FACTOR. The gateway has no reports yet of the requests that other
# gateways sent, and after a power failure all gateways send their backlog at
# once. A batch that prefills such a backlog sends events every 0.27 s (5 steps
# of 2,048 tokens). Without the longer limit, a power failure led to 128 false
# alarms in 6 s, which moved streams and had their prompts prefilled again.
STARTUP_S = 4.0
STARTUP_FACTOR = 2.5
# Time after which an idempotent call without a response is retried on another
# replica, as a multiple of the call's objective: nearly all responses arrive
# within one objective.
OVERDUE_OBJECTIVES = 2.0


class Basis(enum.Enum):
    """Evidence that a replica has stalled.

    Attributes:
        RUNNING: Streams of this gateway that had output stopped.
        WAITING: Streams of this gateway wait too long for their first event.
        REPORTED: Another gateway reported the stall.
    """

    RUNNING = "running"
    WAITING = "waiting"
    REPORTED = "told"


@attrs.frozen
class Stall:
    """A replica that has stalled, and the evidence.

    Attributes:
        replica: The replica.
        basis: The evidence.
        late_s: How late the check was, in seconds.
        uptime_s: Seconds since the start of this gateway.
    """

    replica: model.Replica
    basis: Basis
    late_s: float = 0.0
    uptime_s: float = 0.0


def is_overdue(pending: state.PendingRequest, now: float) -> bool:
    """Returns whether a call that is not a stream has waited too long."""
    attempt = pending.attempt
    return (
        attempt is not None
        and not pending.request.is_stream
        and attempt.head is None
        and now > find_overdue_at(pending.request, attempt)
    )


def find_overdue_at(request: model.Request, attempt: state.Attempt) -> float:
    """Returns when the attempt of a call will have waited too long."""
    return attempt.sent_at + OVERDUE_OBJECTIVES * request.route.objective_s


def find_startup_factor(started_at: float, now: float) -> float:
    """Returns the factor by which a gateway's stall limits are multiplied.

    Args:
        started_at: When the gateway started.
        now: Present time.
    """
    return STARTUP_FACTOR if now - started_at < STARTUP_S else 1.0


def find_stall_limit(
    replica: model.Replica,
    engine: document_module.EngineProfile,
    largest_prompt: float,
) -> float:
    """Returns the seconds without output that show a stall of a replica.

    Args:
        replica: The replica.
        engine: Profile of its engine.
        largest_prompt: Tokens of the largest recent prompt of its model.
    """
    profile = engine.find_model(replica.model)
    time_factor = profile.time_factor if profile else 1.0
    step_s = (
        engine.decode_step_s + engine.decode_step_per_request_s * engine.slots
    )
    pass_s = step_s * engine.steps_per_event
    prefill_s = PREFILL_PROMPTS * largest_prompt * engine.prefill_per_token_s
    return time_factor * (STALL_PASSES * pass_s + prefill_s)


def find_stalled(
    pending: list[state.PendingRequest],
    health: health_module.HealthTracker,
    find_engine: Callable[[str], document_module.EngineProfile | None],
    *,
    factor: float,
    now: float,
) -> list[Stall]:
    """Returns the replicas that have stalled, judged by this gateway's streams.

    Args:
        pending: All pending requests.
        health: Statistics of the replicas.
        find_engine: Returns the engine of a service.
        factor: Factor of the limits; see `find_startup_factor`.
        now: Present time.
    """
    by_replica: dict[str, list[state.PendingRequest]] = collections.defaultdict(
        list
    )
    for request in pending:
        if request.attempt is not None and request.request.is_stream:
            by_replica[request.attempt.replica.name].append(request)
    stalled = []
    for requests in by_replica.values():
        attempt = requests[0].attempt
        assert attempt is not None
        replica = attempt.replica
        if health.is_stalled(replica, now):
            continue
        engine = find_engine(replica.service)
        if engine is None:
            continue
        limit_s = factor * find_stall_limit(
            replica, engine, health.find_largest_prompt(replica.model, now)
        )
        basis = _find_basis(requests, health, engine, limit_s, now)
        if basis is not None:
            stalled.append(Stall(replica, basis))
    return stalled


def _find_basis(
    requests: list[state.PendingRequest],
    health: health_module.HealthTracker,
    engine: document_module.EngineProfile,
    limit_s: float,
    now: float,
) -> Basis | None:
    """Returns the evidence that a replica has stalled; None without any."""
    running = waiting = 0
    tokens = 0
    oldest_sent = now
    for pending in requests:
        attempt = pending.attempt
        assert attempt is not None
        if attempt.has_output:
            running += 1
        else:
            waiting += 1
            tokens += pending.request.metadata.prompt_tokens
            oldest_sent = min(oldest_sent, attempt.sent_at)
    attempt = requests[0].attempt
    assert attempt is not None
    replica = attempt.replica
    progress_at = health.get(replica).progress_at
    limit_s += tokens * engine.prefill_per_token_s
    if running:
        factor = 1.0 if running > 1 else SINGLE_STREAM_FACTOR
        is_stalled = now - progress_at > limit_s * factor
        return Basis.RUNNING if is_stalled else None
    if health.count_requests(replica, now) > waiting:
        # The waiting requests may be queued behind requests of other gateways.
        # Those gateways then detect and report a stall first; if none of them
        # has a running stream, coordinators detect that the replica's
        # heartbeats are missing. Of 110 alarms by such waiting requests, 100
        # were false.
        return None
    limit_s += FIRST_EVENT_ALLOWANCE_S
    idle_s = now - max(oldest_sent, progress_at)
    return Basis.WAITING if waiting and idle_s > limit_s else None
