"""Messages between entries and the holders of claims."""

from __future__ import annotations

from typing import TypeAlias

import attrs

from hickorylead import verdict

GRANTED = "granted"
TAKEN = "taken"
FINISHED = "finished"
MISMATCH = "mismatch"
TOO_OLD = "too_old"
ABSTAINED = "abstained"

MAX_KEPT_BODY = 2048


@attrs.frozen
class FinalAnswer:
    """How a claimed request ended, kept for resends.

    Attributes:
        verdict: Value of the verdict.
        status: HTTP status; 0 if none came.
        content_type: Of the body.
        body: The body, if it is short enough to be kept.
        complete: Whether the body is the whole one.
    """

    verdict: str = verdict.Verdict.MAY_HAVE_RUN.value
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    complete: bool = False


@attrs.frozen
class ClaimRequest:
    """Asks a holder for the claim on a key.

    Attributes:
        entry: Entry that asks.
        key: Service, workspace and idempotency key in one.
        owner: Request id of this submission.
        fingerprint: Hash over the request; one key is for one request.
        made_at: Time in the key, in Unix seconds.
        wall: Present time of the entry, in Unix seconds.
    """

    entry: str
    key: str
    owner: str
    fingerprint: str
    made_at: float
    wall: float


@attrs.frozen
class ClaimReply:
    """Answers a claim.

    Attributes:
        holder: Control process that answers.
        key: The key.
        owner: The submission that asked.
        state: One of the constants of this module.
        answer: How the submission that holds the claim ended, if it did.
    """

    holder: str
    key: str
    owner: str
    state: str
    answer: FinalAnswer = FinalAnswer()


@attrs.frozen
class ClaimRelease:
    """Gives a claim back: the request has certainly not run."""

    key: str
    owner: str


@attrs.frozen
class ClaimFinish:
    """Tells a holder how the claimed request ended."""

    key: str
    owner: str
    answer: FinalAnswer


Message: TypeAlias = ClaimRequest | ClaimReply | ClaimRelease | ClaimFinish


@attrs.frozen
class Send:
    """Effect: send a claim message to a node."""

    node: str
    message: Message
