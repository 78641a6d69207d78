"""State of a request that has no final response yet."""

from __future__ import annotations

from typing import TYPE_CHECKING, Literal

import attrs

from hickorylead import verdict as verdict_module
from hickorylead.crashes import run_evidence
from hickorylead.requests import model

if TYPE_CHECKING:
    from hickorylead.claims import claimant
    from hickorylead.routing import messages

Phase = Literal["claiming", "queued", "running"]


@attrs.define
class Attempt:
    """One attempt to run a request on a replica.

    Attributes:
        attempt_id: The id used in events and effects; new for each connection.
        replica: The replica.
        started_at: When the attempt started.
        last_frame_at: When the last frame arrived.
        is_attached: Whether the entry attached to the stream over a second
            connection.
        has_frames: Whether any frame with tokens has arrived.
        run: What becomes of its run.
    """

    attempt_id: str
    replica: messages.Replica
    started_at: float
    last_frame_at: float
    run: run_evidence.Run
    is_attached: bool = False
    has_frames: bool = False


@attrs.define
class PendingRequest:
    """A request that has no final response yet.

    Attributes:
        request: The request.
        arrived_at: When it arrived.
        non_idempotent: Whether it may run at most once.
        phase: What it is waiting for.
        claimant: Its claim, if it needs one.
        current_attempt: The running attempt, if any.
        attempt_count: Number of attempts and attached connections so far.
        failed_groups: Groups on which it failed.
        verdict: The combined verdict of the attempts that ended.
        position: Number of tokens sent to the caller.
        text_chunks: Text of those tokens.
        request_hash: Hash of the request; equal for each submission of the
            same request.
        prefix_traits: Hashes of the prefixes of its prompt.
        unproductive_attempts: Attempts that may have run but returned no
            tokens.
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
    prefix_traits: tuple[int, ...] = ()
    unproductive_attempts: int = 0

    @property
    def traits(self) -> tuple[int, ...]:
        """The request hash, then the hashes of the prefixes of its prompt."""
        return (self.request_hash, *self.prefix_traits)
