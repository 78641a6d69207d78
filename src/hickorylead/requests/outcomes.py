"""How requests end: problems for callers, and answers kept for resends."""

from __future__ import annotations

import hashlib
import math
from typing import TYPE_CHECKING

from hickorylead import verdict as verdict_module
from hickorylead.claims import messages as claim_messages
from hickorylead.crashes import crash_history
from hickorylead.requests import model

if TYPE_CHECKING:
    from hickorylead.claims import claimant

Verdict = verdict_module.Verdict

MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0
NO_REPLICA_RETRY_S = 5.0
# Content type of a stored answer that contains a model's text. The response to
# each resend is rendered from this text.
COMPLETION_TYPE = "text/x-completion"


def describe_claim(
    result: claimant.ClaimResult, answer: claim_messages.FinalAnswer | None
) -> model.Problem:
    """Returns the problem of a submission whose claim was not granted."""
    match result:
        case "finished":
            verdict = Verdict(answer.verdict if answer else "may_have_run")
            return model.Problem(
                409,
                "already_submitted",
                verdict,
                "an earlier submission of this key has ended; its answer is"
                " not stored",
            )
        case "taken":
            return model.Problem(
                409,
                "in_progress",
                Verdict.MAY_HAVE_RUN,
                "an earlier submission of this key may be running",
                MIN_RETRY_AFTER_S,
            )
        case "mismatch":
            return model.Problem(
                422,
                "key_reused",
                Verdict.NOT_RUN,
                "this key was used for another request",
            )
        case "too_old":
            return model.Problem(
                422,
                "key_too_old",
                Verdict.MAY_HAVE_RUN,
                "this key is older than the stored claims: an earlier"
                " submission of it may have run",
            )
    return model.Problem(
        503,
        "claim_unavailable",
        Verdict.NOT_RUN,
        "no majority of availability zones could be reached to check whether"
        " this key was used; this submission was not run",
        NO_REPLICA_RETRY_S,
    )


def describe_memory_full() -> model.Problem:
    """Returns the problem of a request that was evicted before its end."""
    return model.Problem(
        503,
        "memory_full",
        Verdict.NOT_RUN,
        "the entry has no memory left for this request; it was not run",
        MIN_RETRY_AFTER_S,
    )


def describe_stop(verdict: verdict_module.Verdict) -> model.Problem:
    """Returns the problem of a request that a stopping entry does not finish.

    Args:
        verdict: Whether it may have run.
    """
    return model.Problem(
        503 if verdict is Verdict.NOT_RUN else 504,
        "entry_stopping",
        verdict,
        "this entry is stopping; send the request to another one",
        MIN_RETRY_AFTER_S,
    )


def describe_overload(wait_s: float) -> model.Problem:
    """Returns the problem of a request whose wait would be too long."""
    return model.Problem(
        503,
        "overloaded",
        Verdict.NOT_RUN,
        f"the wait would be about {wait_s:.1f} s",
        clamp_retry(wait_s),
    )


def describe_block(
    verdict: verdict_module.Verdict, left_s: float
) -> model.Problem:
    """Returns the problem of a request that crashed the servers that ran it.

    Args:
        verdict: Whether this submission may have run.
        left_s: Remaining time of its block, in seconds.
    """
    ran = verdict is not Verdict.NOT_RUN
    return model.Problem(
        502 if ran else 503,
        "ends_servers",
        verdict,
        "backend servers ended while they ran this request; no server runs it"
        " until some time has passed",
        None if ran else float(math.ceil(left_s)),
    )


def describe_pause(
    verdict: verdict_module.Verdict, pause_s: float
) -> model.Problem:
    """Returns the problem of a request whose replicas all asked for a pause.

    Args:
        verdict: Whether this submission may have run.
        pause_s: Seconds until the first of them accepts requests again.
    """
    return model.Problem(
        503,
        "paused",
        verdict,
        f"all replicas asked for no requests for {pause_s:.1f} s",
        clamp_retry(pause_s),
    )


def describe_replicas_failed() -> model.Problem:
    """Returns the problem of a request on which several replicas failed."""
    return model.Problem(
        502,
        "replicas_failed",
        Verdict.MAY_HAVE_RUN,
        f"{crash_history.BLOCK_THRESHOLD} replicas failed while they ran it,"
        " and returned nothing",
    )


def clamp_retry(wait_s: float) -> float:
    """Returns a retry time in whole seconds, within bounds."""
    return min(
        MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, float(math.ceil(wait_s)))
    )


def make_final_answer(
    status: int, content_type: str, body: bytes
) -> claim_messages.FinalAnswer:
    """Returns the answer for claim holders to keep.

    Its body is omitted, and it is marked incomplete, if it is too long.
    """
    complete = len(body) <= claim_messages.MAX_STORED_BODY_BYTES
    return claim_messages.FinalAnswer(
        verdict=Verdict.RAN.value,
        status=status,
        content_type=content_type,
        body=body if complete else b"",
        complete=complete,
    )


def hash_request(request: model.Request) -> str:
    """Returns a hash that distinguishes requests under the same key."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (request.method, request.path, request.content_type):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.hexdigest()
