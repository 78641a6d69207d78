"""Refusals of requests that no replica completed."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from hickorylead import verdict as verdict_module
from hickorylead.forwarding import events

if TYPE_CHECKING:
    from hickorylead.forwarding import choice as choice_module, state

# Maximum time that a request waits at the gateway while there is no replica, or
# while all replicas are full, as a share of the request's objective. After that
# the request is refused with a retry time.
WAIT_SHARE = 0.4
# Retry time for a service whose replicas are all full, in seconds: in that time
# a few of the requests on these replicas end.
REPLICAS_FULL_RETRY_S = 0.4
# Retry time for a service without any replica, in seconds: a new group is
# formed in about a second.
NO_REPLICA_RETRY_S = 0.8
# Retry time while neither this gateway nor a relay can connect to a server, in
# seconds: by then the next probe has ended, or another gateway gets the retry.
UNREACHABLE_RETRY_S = 0.8
# Retry time of a request that a stopping process cannot finish, in seconds:
# another process can serve it at once.
STOPPING_RETRY_S = 0.1
# Reason code of a request that a stopping process cannot finish.
STOPPING_REASON = "stopping"
# Reason code of a request that is blocked because it ended servers.
BLOCKED_REASON = "ends_servers"
# Retry times vary at random by up to this share, above and below the usual
# time.
JITTER_SHARE = 0.3


def may_wait(pending: state.PendingRequest, now: float) -> bool:
    """Returns whether a request may wait for a replica."""
    if pending.started:
        # The caller already has a part of the response, and waiting is better
        # than aborting the response.
        return True
    wait_s = WAIT_SHARE * pending.request.route.objective_s
    return now - pending.arrived_at < wait_s


def refuse_without_choice(
    pending: state.PendingRequest, chosen: choice_module.NoChoice
) -> events.Refuse:
    """Returns the refusal of a request that no replica can accept."""
    if chosen.withheld is not None:
        return _refuse(
            pending, "limited", chosen.permit_s or REPLICAS_FULL_RETRY_S
        )
    if chosen.is_full:
        return _refuse(pending, "overloaded", REPLICAS_FULL_RETRY_S)
    if chosen.pause_s:
        return _refuse(pending, "paused", chosen.pause_s)
    if chosen.unreachable_count:
        return _refuse(pending, "servers_unreachable", UNREACHABLE_RETRY_S)
    return _refuse(pending, "no_replica", NO_REPLICA_RETRY_S)


def refuse_blocked(
    pending: state.PendingRequest, left_s: float
) -> events.Refuse:
    """Returns the refusal of a request that ended the servers that ran it.

    All gateways refuse the request until the block ends, so the retry time is
    the time left until then.
    """
    if pending.verdict is not verdict_module.Verdict.NOT_RUN:
        return _refuse(pending, BLOCKED_REASON, None)
    return events.Refuse(
        pending.request.request_id, 503, BLOCKED_REASON, left_s
    )


def refuse_after_failure(
    pending: state.PendingRequest, reason: str
) -> events.Refuse:
    """Returns the refusal of a request whose attempts all failed."""
    retry_s = None if reason == "deadline" else REPLICAS_FULL_RETRY_S
    return _refuse(pending, reason, retry_s)


def refuse_stopping(pending: state.PendingRequest) -> events.Refuse:
    """Returns the refusal of a request that cannot be finished any more."""
    return _refuse(pending, STOPPING_REASON, STOPPING_RETRY_S)


def refuse_unread(request_id: str) -> events.Refuse:
    """Returns the refusal, by a stopping process, of a request not yet read."""
    retry_s = jitter_retry_after(request_id, STOPPING_RETRY_S)
    return events.Refuse(request_id, 503, STOPPING_REASON, retry_s)


def refuse_late_body(request_id: str) -> events.Refuse:
    """Returns the refusal of a request whose body is late; it has not run."""
    return events.Refuse(request_id, 408, "body_timeout")


def jitter_retry_after(request_id: str, retry_s: float) -> float:
    """Returns the retry time for one caller, in seconds.

    Callers that are refused at the same moment would retry at the same moment
    and find the replicas full again, so each gets a slightly different time.
    """
    digest = hashlib.blake2b(request_id.encode(), digest_size=2).digest()
    share = int.from_bytes(digest) / 65535
    return retry_s * (1.0 + JITTER_SHARE * (2.0 * share - 1.0))


def _refuse(
    pending: state.PendingRequest, reason: str, retry_s: float | None
) -> events.Refuse:
    # Status 503 states that the request has not run, so it is only used for a
    # request that certainly has not run. Callers must not repeat any other
    # request, whose status does not say whether it has run.
    request_id = pending.request.request_id
    if retry_s is not None:
        retry_s = jitter_retry_after(request_id, retry_s)
    if pending.verdict is verdict_module.Verdict.NOT_RUN:
        return events.Refuse(request_id, 503, reason, retry_s)
    return events.Refuse(
        request_id, 504 if reason == "deadline" else 502, reason
    )
