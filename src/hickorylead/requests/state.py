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
    heard_at: float
    attached: bool = False
    framed: bool = False


@attrs.define
class Open:
    """A request that has no final answer yet.

    Attributes:
        request: The request.
        arrived_at: When it came.
        non_idempotent: Whether it may run at most once.
        phase: What it waits for.
        claimant: Its claim, if it needs one.
        attempt: The attempt that runs now.
        attempts: How many there were.
        failed: Groups on which it failed.
        verdict: The worst of the attempts that ended.
        position: Tokens that the caller has.
        pieces: Their text.
        content: Hash of what is asked for, the same when it is asked again.
        fruitless: Attempts that may have run and gave nothing new.
    """

    request: model.Request
    arrived_at: float
    non_idempotent: bool
    phase: Phase = "queued"
    claimant: claimant.Claimant | None = None
    attempt: Attempt | None = None
    attempts: int = 0
    failed: set[str] = attrs.field(factory=set)
    verdict: verdict_module.Verdict = verdict_module.Verdict.NOT_RUN
    position: int = 0
    pieces: list[str] = attrs.field(factory=list)
    content: int = 0
    fruitless: int = 0
