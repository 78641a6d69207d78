"""What an entry knows of a request that has no final answer yet."""

from __future__ import annotations

from typing import TYPE_CHECKING, Literal

import attrs

from hickorylead import verdict as verdict_module
from hickorylead.requests import model

if TYPE_CHECKING:
    from hickorylead.claims import claimant
    from hickorylead.routing import messages

Phase = Literal["claiming", "queued", "running"]


@attrs.define
class Attempt:
    """One attempt of a request on one replica."""

    attempt_id: str
    replica: messages.Replica
    started_at: float
    last_frame_at: float
    attached: bool = False
    framed: bool = False


@attrs.define
class PendingRequest:
    """A request that has no final answer yet.

    Attributes:
        request: The request.
        arrived_at: When it came.
        non_idempotent: Whether it may run at most once.
        phase: What it waits for.
        claimant: Its claim, if it needs one.
        current_attempt: The attempt that runs now.
        attempt_count: How many there were.
        failed_groups: Groups on which it failed.
        verdict: The worst of the attempts that ended.
        position: Tokens that the caller has.
        text_chunks: Their text.
        request_hash: Hash of what is asked for, the same when it is asked
            again.
        fruitless: Attempts that may have run and gave nothing new.
    """

    request: model.Request
    arrived_at: float
    non_idempotent: bool
    phase: Phase = "queued"
    claimant: claimant.Claimant | None = None
    current_attempt: Attempt | None = None
    attempt_count: int = 0
    failed_groups: set[str] = attrs.field(factory=set)
    verdict: verdict_module.Verdict = verdict_module.Verdict.NOT_RUN
    position: int = 0
    text_chunks: list[str] = attrs.field(factory=list)
    request_hash: int = 0
    fruitless: int = 0
