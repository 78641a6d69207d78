"""Messages between entries and claim holders."""

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

MAX_STORED_BODY_BYTES = 2048


@attrs.frozen
class FinalAnswer:
    """The final response to a claimed request, stored for resends.

    Attributes:
        verdict: Value of the verdict.
        status: HTTP status; 0 if there was no response.
        content_type: Content type of the body.
        body: The body, if it is short enough to be stored.
        complete: Whether the body is complete.
    """

    verdict: str = verdict.Verdict.MAY_HAVE_RUN.value
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    complete: bool = False


@attrs.frozen
class ClaimRequest:
    """Requests the claim on a key from a holder.

    Attributes:
        entry: Entry that sends the request.
        key: Service, workspace and idempotency key combined.
        owner: Request id of this submission.
        fingerprint: Hash over the request; a key is valid for one request.
        made_at: Time in the key, in Unix seconds.
        wall: Current time of the entry, in Unix seconds.
    """

    entry: str
    key: str
    owner: str
    fingerprint: str
    made_at: float
    wall: float


@attrs.frozen
class ClaimReply:
    """Reply to a claim request.

    Attributes:
        holder: Control process that replies.
        key: The key.
        owner: The submission that requested the claim.
        state: One of the constants of this module.
        answer: Final response of the submission that holds the claim, if it
            has ended.
    """

    holder: str
    key: str
    owner: str
    state: str
    answer: FinalAnswer = FinalAnswer()


@attrs.frozen
class ClaimRelease:
    """Releases a claim: the request has certainly not run."""

    key: str
    owner: str


@attrs.frozen
class ClaimFinish:
    """Reports to a claim holder the final response to a claimed request."""

    key: str
    owner: str
    answer: FinalAnswer


Message: TypeAlias = ClaimRequest | ClaimReply | ClaimRelease | ClaimFinish


@attrs.frozen
class Send:
    """Effect: send a claim message to a node."""

    node: str
    message: Message
