"""Answers of our own to requests that no replica answered."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from hickorylead import verdict as verdict_module
from hickorylead.forwarding import events

if TYPE_CHECKING:
    from hickorylead.forwarding import choice as choice_module, state

# A request that finds every replica full, or none, waits here for one up to
# this share of its objective; after that it is told when to come back.
WAIT_SHARE = 0.4
# When callers come back to a service whose replicas are full, in seconds: a
# few of their requests end in that time.
FULL_RETRY_S = 0.4
# And to one without any replica: a group is formed anew in about a second.
NONE_RETRY_S = 0.8
# Reason of a request that no replica gets.
BLOCKED_REASON = "ends_servers"
# Returns are spread by this share around the usual time.
SPREAD_SHARE = 0.3


def may_wait(opened: state.PendingRequest, now: float) -> bool:
    """Says whether a request may wait for a replica."""
    if opened.started:
        # Its caller holds a part of the answer; the rest is worth a wait.
        return True
    wait_s = WAIT_SHARE * opened.request.route.objective_s
    return now - opened.arrived_at < wait_s


def describe_no_choice(
    opened: state.PendingRequest, chosen: choice_module.NoChoice
) -> events.Refuse:
    """Returns the answer to a request that no replica can take."""
    if chosen.withheld is not None:
        return _refuse(opened, "limited", chosen.permit_s or FULL_RETRY_S)
    if chosen.is_full:
        return _refuse(opened, "overloaded", FULL_RETRY_S)
    if chosen.pause_s:
        return _refuse(opened, "paused", chosen.pause_s)
    return _refuse(opened, "no_replica", NONE_RETRY_S)


def describe_block(
    opened: state.PendingRequest, left_s: float
) -> events.Refuse:
    """Returns the answer to a request that ended the servers which ran it.

    To come back sooner is of no use: all gateways refuse it until then.
    """
    if opened.verdict is not verdict_module.Verdict.NOT_RUN:
        return _refuse(opened, BLOCKED_REASON, None)
    return events.Refuse(opened.request.request_id, 503, BLOCKED_REASON, left_s)


def describe_failure(
    opened: state.PendingRequest, reason: str
) -> events.Refuse:
    """Returns the answer to a request whose tries all failed."""
    retry_s = None if reason == "deadline" else FULL_RETRY_S
    return _refuse(opened, reason, retry_s)


def jitter_retry_after(request_id: str, retry_s: float) -> float:
    """Returns when one caller should come back, in seconds.

    Callers that were refused in one moment would come back in one moment, and
    find the replicas full again. Each gets a time of its own around the usual
    one.
    """
    digest = hashlib.blake2b(request_id.encode(), digest_size=2).digest()
    share = int.from_bytes(digest) / 65535
    return retry_s * (1.0 + SPREAD_SHARE * (2.0 * share - 1.0))


def _refuse(
    opened: state.PendingRequest, reason: str, retry_s: float | None
) -> events.Refuse:
    # 503 promises that the request has not run; only a request that surely
    # has not, or that may run again anyway, gets it. A caller must not repeat
    # the others, so they get a status that promises nothing.
    request_id = opened.request.request_id
    if retry_s is not None:
        retry_s = jitter_retry_after(request_id, retry_s)
    if opened.verdict is verdict_module.Verdict.NOT_RUN:
        return events.Refuse(request_id, 503, reason, retry_s)
    return events.Refuse(
        request_id, 504 if reason == "deadline" else 502, reason
    )
