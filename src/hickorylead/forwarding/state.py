"""The state of one forwarded request at a gateway."""

from __future__ import annotations

from typing import TypeAlias

import attrs

from hickorylead import verdict as verdict_module
from hickorylead.crashes import request_hash, run_evidence
from hickorylead.forwarding import model, stream
from hickorylead.relaying import relay_directory

# Minimum time left before a request's deadline, in seconds, to send the request
# to a replica: with less time, the replica could not respond before it.
MIN_TIME_LEFT_S = 0.02

# Maximum number of replicas to which one request is sent. Replicas that refuse
# the request count too: each refusal costs a round trip and a share of the
# common retry budget.
MAX_SENDS = 4
# Maximum number of attempts of one request that end before it is sent, because
# a connection fails. Each may take as long as a connection timeout.
MAX_SLOW_FAILURES = 6


@attrs.frozen
class Choice:
    """Why a replica was chosen, for the log.

    Attributes:
        candidates: Replicas whose estimates were compared.
        estimate_s: Estimated time to the first token, in seconds.
        running: Own requests that were running on the replica.
        load_age_s: Age of the replica's last load report, in seconds; None if
            there is none.
        limit_per_s: Rate limit that the replica had named at that time; None
            if none.
        paused_count: Number of replicas that were paused.
    """

    candidates: int = 0
    estimate_s: float = 0.0
    running: int = 0
    load_age_s: float | None = None
    limit_per_s: float | None = None
    paused_count: int = 0


@attrs.define
class Attempt:
    """One attempt on one replica.

    Attributes:
        number: From 1.
        replica: The replica.
        choice: Why it was chosen, and its load at that time.
        sent_at: When it was sent.
        last_received_at: When anything of the response last arrived.
        head: Head of the response; None until it arrives.
        body: Body so far, of a response that is buffered until complete.
        splitter: Splits a stream into events; None for other responses.
        has_output: Whether a complete event arrived.
        relay: Gateway through which it was sent; None if directly.
        was_probed: Whether its silent server was probed.
        run: What becomes of its run; None until it is sent.
        is_repeat: Whether a server received a previous attempt.
        suspicion: Reason code if it is silent for too long, so that the request
            was sent to another replica or would have been; empty if not.
    """

    number: int
    replica: model.Replica
    sent_at: float
    last_received_at: float
    head: model.ResponseHead | None = None
    body: bytearray = attrs.field(factory=bytearray)
    splitter: stream.EventSplitter | None = None
    has_output: bool = False
    choice: Choice = Choice()
    relay: relay_directory.Relay | None = None
    was_probed: bool = False
    run: run_evidence.Run | None = None
    is_repeat: bool = False
    suspicion: str = ""


@attrs.frozen
class Waiting:
    """Phase of a request without an attempt, which waits for a replica."""

    attempt: None = attrs.field(default=None, init=False)


@attrs.define
class Running:
    """Phase of a request that was sent to a replica.

    Attributes:
        attempt: The current attempt.
        held: Previous attempts that are silent but may still go on.
        needs_successor: Whether the current attempt is silent and the next one
            has failed, so that another replica is sought.
    """

    attempt: Attempt
    held: list[Attempt] = attrs.field(factory=list)
    needs_successor: bool = False


Phase: TypeAlias = Waiting | Running


@attrs.define
class PendingRequest:
    """A request whose response has not ended.

    Attributes:
        request: The request.
        arrived_at: When it arrived.
        ends_at: Deadline set by its caller or its route.
        phase: Whether it waits for a replica or runs.
        attempt_count: Number of attempts so far.
        unsent_count: Number of these that ended before the request was sent.
        slow_failure_count: Number of the latter that waited for a connection.
        runs: Number of attempts that have ended and may have run.
        failed_replicas: Replicas on which it failed.
        failures: Why its attempts failed, for the log.
        verdict: Whether one of its previous attempts may have run.
        started: Whether the caller has the head of the response.
        has_sent_body: Whether the caller has a part of a body that is no stream
            of events. No other replica can continue it.
        last_event_id: Id of the last event that the caller has.
        last_attempt: The latest attempt, for the log.
        first_event_s: Time to the first event, in seconds; None if none
            arrived.
        first_sent_at: When it was first sent to a replica; None if it never
            was.
        last_event_at: When its caller was last sent an event.
        longest_gap_s: Longest time between two events, in seconds.
        was_received: Whether a server may have received an attempt that ended.
        has_lost_connection: Whether its latest attempt lost its connection, or
            got no response on it.
        request_hash: Hash of what is requested; the same for each submission.
        part_hashes: Hashes of the parts of its prompt that requests share.
    """

    request: model.Request
    arrived_at: float
    ends_at: float
    phase: Phase = Waiting()
    attempt_count: int = 0
    unsent_count: int = 0
    slow_failure_count: int = 0
    runs: int = 0
    failed_replicas: set[str] = attrs.field(factory=set)
    failures: list[str] = attrs.field(factory=list)
    verdict: verdict_module.Verdict = verdict_module.Verdict.NOT_RUN
    started: bool = False
    has_sent_body: bool = False
    last_event_id: int = 0
    last_attempt: Attempt | None = None
    first_event_s: float | None = None
    first_sent_at: float | None = None
    last_event_at: float = 0.0
    longest_gap_s: float = 0.0
    was_received: bool = False
    has_lost_connection: bool = False
    request_hash: int = 0
    part_hashes: tuple[int, ...] = ()

    @property
    def traits(self) -> tuple[int, ...]:
        """The request hash, then the hashes of its shared prompt parts."""
        return (self.request_hash, *self.part_hashes)

    @property
    def is_waiting(self) -> bool:
        """Whether it waits for a replica."""
        return isinstance(self.phase, Waiting)

    @property
    def was_sent(self) -> bool:
        """Whether it was ever sent to a replica."""
        return self.last_attempt is not None

    @property
    def attempt(self) -> Attempt | None:
        """The current attempt; None while it waits."""
        return self.phase.attempt

    @property
    def live_attempts(self) -> list[Attempt]:
        """The attempts that have not ended, the current one last."""
        phase = self.phase
        return [*phase.held, phase.attempt] if phase.attempt else []

    @property
    def run_count(self) -> int:
        """Number of attempts that may have run or may still run."""
        return self.runs + len(self.live_attempts)

    def add_attempt(self, attempt: Attempt) -> None:
        """Makes an attempt the current one; live ones are held beside it."""
        self.phase = Running(attempt, self.live_attempts)
        self.last_attempt = attempt

    def select_attempt(self, attempt: Attempt) -> None:
        """Makes an attempt the only one."""
        self.phase = Running(attempt)
        self.last_attempt = attempt

    def remove_attempt(self, attempt: Attempt) -> None:
        """Removes an attempt that has ended.

        The latest held one becomes the current one. Without any, the request
        waits.
        """
        live = [other for other in self.live_attempts if other is not attempt]
        match self.phase:
            case Running(current, held) if attempt is not current:
                held.remove(attempt)
            case _ if live:
                self.phase = Running(live[-1], live[:-1])
            case _:
                self.phase = Waiting()

    def record_events(self, now: float) -> None:
        """Records that events are sent to the caller."""
        if self.first_event_s is None:
            self.first_event_s = now - self.arrived_at
        else:
            gap_s = now - self.last_event_at
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self.last_event_at = now

    def may_send_again(self, now: float) -> bool:
        """Returns whether the request may be sent once more."""
        return (
            self.ends_at - now > MIN_TIME_LEFT_S
            and self.may_repeat
            and self.attempt_count - self.unsent_count < MAX_SENDS
            and self.slow_failure_count < MAX_SLOW_FAILURES
        )

    @property
    def may_repeat(self) -> bool:
        """Whether the request may run on one more replica.

        After the first byte of a response only a stream may, since it is
        resumed after the last event that the caller has.
        """
        if self.has_sent_body:
            return False
        if self.verdict is verdict_module.Verdict.NOT_RUN and not (
            self.live_attempts
        ):
            return True
        return (
            self.request.route.is_retryable
            and self.run_count < self.request.route.max_attempts
        )


def make_pending(request: model.Request, now: float) -> PendingRequest:
    """Returns the state of a request that has arrived."""
    limit_s = request.route.timeout_s
    if request.metadata.budget_s is not None:
        limit_s = min(limit_s, request.metadata.budget_s)
    arrived_at = now - request.waited_s
    return PendingRequest(
        request,
        arrived_at,
        arrived_at + limit_s,
        last_event_id=request.metadata.last_event_id,
        request_hash=request_hash.hash_request(
            request.workspace,
            (request.method.encode(), request.target, request.body),
        ),
        part_hashes=tuple(
            request_hash.hash_prompt_part(request.service, part)
            for part in request.metadata.prompt_parts
        ),
    )
