"""The state of one forwarded request at a gateway."""

from __future__ import annotations

from typing import Literal

import attrs

from hickorylead import verdict as verdict_module
from hickorylead.forwarding import model, stream

Phase = Literal["waiting", "running"]


@attrs.define
class Attempt:
    """One try at one replica.

    Attributes:
        number: From 1.
        replica: Where.
        sent_at: When it was sent.
        heard_at: When the replica last gave something to it.
        head: Head of the answer, once it came.
        body: Body so far, of an answer that is given whole.
        cutter: Cuts a stream into events; None for other answers.
        has_given: Whether any whole event came.
    """

    number: int
    replica: model.Replica
    sent_at: float
    heard_at: float
    head: model.Head | None = None
    body: bytearray = attrs.field(factory=bytearray)
    cutter: stream.EventCutter | None = None
    has_given: bool = False


@attrs.define
class Open:
    """A request without a final answer.

    Attributes:
        request: The request.
        arrived_at: When it came.
        ends_at: When its caller or its route gives it up.
        phase: Whether it waits for a replica or runs.
        attempt: The present try.
        attempts: Tries so far.
        runs: Tries that may have run.
        failed: Replicas that it failed at.
        verdict: What is known of its former tries.
        started: Whether the caller has the head of the answer.
        last_event: Id of the last event that the caller has.
        offered: Whether it was ever sent to a replica.
    """

    request: model.Request
    arrived_at: float
    ends_at: float
    phase: Phase = "waiting"
    attempt: Attempt | None = None
    attempts: int = 0
    runs: int = 0
    failed: set[str] = attrs.field(factory=set)
    verdict: verdict_module.Verdict = verdict_module.Verdict.NOT_RUN
    started: bool = False
    last_event: int = 0
    offered: bool = False

    @property
    def may_repeat(self) -> bool:
        """Says whether the request may run on one more replica."""
        if self.verdict is verdict_module.Verdict.NOT_RUN:
            return True
        return (
            self.request.route.is_repeatable
            and self.runs < self.request.route.max_attempts
        )
