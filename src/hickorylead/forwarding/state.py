"""The state of one forwarded request at a gateway."""

from __future__ import annotations

from typing import Literal

import attrs

from hickorylead import verdict as verdict_module
from hickorylead.forwarding import model, stream

Phase = Literal["waiting", "running"]


@attrs.frozen
class Choice:
    """What a replica was chosen by, for the log.

    Attributes:
        weighed: Replicas that were weighed.
        estimate_s: Estimated time to the first token, in seconds.
        running: Own requests that ran there.
        told_ago_s: Age of the load that it told; None if it told none.
        limit_per_s: Limit that it had named here by then; None if none.
        paused: Replicas that were known here to want no request.
    """

    weighed: int = 0
    estimate_s: float = 0.0
    running: int = 0
    told_ago_s: float | None = None
    limit_per_s: float | None = None
    paused: int = 0


@attrs.define
class Attempt:
    """One try at one replica.

    Attributes:
        number: From 1.
        replica: Where.
        choice: What it was chosen by, and the load seen then.
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
    head: model.ResponseHead | None = None
    body: bytearray = attrs.field(factory=bytearray)
    cutter: stream.EventCutter | None = None
    has_given: bool = False
    choice: Choice = Choice()


@attrs.define
class PendingRequest:
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
        last_event_id: Id of the last event that the caller has.
        offered: Whether it was ever sent to a replica.
        last: The last try, for the log.
        first_event_s: Time to the first event, in seconds; None if none came.
        first_sent_at: When it was first sent to a replica; None if it never
            was.
        event_at: When its caller was last given an event.
        longest_pause_s: Longest time between two events, in seconds.
        content: Hash of what is asked for, the same when it is asked again.
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
    last_event_id: int = 0
    offered: bool = False
    last: Attempt | None = None
    first_event_s: float | None = None
    first_sent_at: float | None = None
    event_at: float = 0.0
    longest_pause_s: float = 0.0
    content: int = 0

    def note_events(self, now: float) -> None:
        """Takes that its caller is given events."""
        if self.first_event_s is None:
            self.first_event_s = now - self.arrived_at
        else:
            pause_s = now - self.event_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.event_at = now

    @property
    def may_repeat(self) -> bool:
        """Says whether the request may run on one more replica."""
        if self.verdict is verdict_module.Verdict.NOT_RUN:
            return True
        return (
            self.request.route.is_retryable
            and self.runs < self.request.route.max_attempts
        )
