"""The life of requests at one entry, as a reducer.

A request is claimed (if it may run only once), queued, sent to a replica,
and ends with exactly one final effect. All times are monotonic seconds but
for `wall`, which is only compared with the time in a key.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from hickorylead import verdict as verdict_module
from hickorylead.admission import budget as budget_module, queue
from hickorylead.claims import claimant, messages as claim_messages
from hickorylead.crashes import (
    crash_guard as crash_guard_module,
    crash_history,
    request_hash,
)
from hickorylead.requests import events, history, model, outcomes, state
from hickorylead.routing import policy as policy_module

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from hickorylead.configuration import model as configuration_model
    from hickorylead.routing import health, table

Verdict = verdict_module.Verdict
Effect: TypeAlias = events.Effect | claim_messages.Send

SILENT_KEEPALIVES = 3
FIRST_DURATION_S = 1.0


class Dispatcher:
    """All open requests of one entry."""

    def __init__(
        self,
        *,
        entry: str,
        controls: Mapping[str, Sequence[str]],
        table: table.ReplicaTable,
        book: health.HealthTracker,
        policy: policy_module.LoadBalancingPolicy,
        guard: crash_guard_module.CrashGuard,
    ) -> None:
        """Makes a dispatcher without requests.

        Args:
            entry: Name of this entry.
            controls: Control processes by zone, which hold claims.
            table: Replicas that serve.
            book: What this entry has seen of them.
            policy: The choice of a replica.
            guard: Contents that no replica may get, and lost runs.
        """
        self._entry = entry
        self._controls = controls
        self._table = table
        self._book = book
        self._policy = policy
        self._guard = guard
        self._budget = budget_module.RetryBudget()
        self._open: dict[str, state.PendingRequest] = {}
        self._by_attempt: dict[str, str] = {}
        self._claiming: set[str] = set()
        self._duration_s: dict[str, float] = {}
        self.queues: dict[str, queue.FairQueue] = {}
        self.trails = history.HistoryStore()
        self.draining = False

    def count_open(self) -> int:
        """Returns how many requests have no final answer yet."""
        return len(self._open)

    def handle(
        self,
        event: events.Event,
        configuration: configuration_model.Configuration,
        now: float,
    ) -> list[Effect]:
        """Handles one event."""
        match event:
            case events.FrameArrived():
                return self._take_frame(event, now)
            case events.RequestArrived(request, wall):
                return self._arrive(request, wall, configuration, now)
            case events.AnswerArrived():
                return self._take_answer(event, now)
            case events.AttemptFailed():
                return self._take_failure(event, now)
            case events.CallerDisconnected(request_id):
                return self._leave(request_id, now)

    def receive_claim(
        self, reply: claim_messages.ClaimReply, now: float
    ) -> list[Effect]:
        """Handles a holder's reply to a claim."""
        request = self._open.get(reply.owner)
        if request is None or request.claimant is None:
            return []
        if request.phase != "claiming":
            return []
        effects: list[Effect] = [*request.claimant.receive(reply, now)]
        return effects + self._follow_claim(request, now)

    def tick(self, now: float) -> list[Effect]:
        """Lets time pass: claims, deadlines, silent streams, the queues."""
        effects: list[Effect] = []
        for request_id in sorted(self._claiming):
            waiting = self._open[request_id]
            assert waiting.claimant is not None
            effects += waiting.claimant.tick(now)
            effects += self._follow_claim(waiting, now)
        for service in list(self.queues):
            for late in self.queues[service].take_late(now):
                effects += self._refuse_late(late.request.request_id, now)
        for request in list(self._open.values()):
            if request.current_attempt is not None:
                effects += self._check_running(request, now)
        return effects + self.dispatch_all(now)

    def dispatch_all(self, now: float) -> list[Effect]:
        """Starts what can be started; to be called when the table changes."""
        effects: list[Effect] = []
        for service in list(self.queues):
            effects += self._dispatch(service, now)
        return effects

    # Arrival and claims.

    def _arrive(
        self,
        request: model.Request,
        wall: float,
        configuration: configuration_model.Configuration,
        now: float,
    ) -> list[Effect]:
        self.trails.start(
            request.request_id, request.service, request.workspace, now
        )
        service = configuration.find_service(request.service)
        opened = state.PendingRequest(
            request,
            now,
            non_idempotent=bool(service and service.non_idempotent),
            request_hash=request_hash.hash_request(
                request.workspace,
                (
                    request.service.encode(),
                    request.method.encode(),
                    request.path.encode(),
                    request.body,
                ),
            ),
        )
        self._open[request.request_id] = opened
        problem = self._check_arrival(opened, service)
        if problem is not None:
            return self._refuse(opened, problem, now)
        if opened.non_idempotent:
            return self._claim(opened, wall, now)
        return self._enqueue(opened, now)

    def _check_arrival(
        self,
        opened: state.PendingRequest,
        service: configuration_model.Service | None,
    ) -> model.Problem | None:
        name = opened.request.service
        if service is None:
            return model.Problem(
                404,
                "unknown_service",
                Verdict.NOT_RUN,
                f"there is no service {name!r}",
            )
        if self.draining:
            return model.Problem(
                503,
                "entry_stopping",
                Verdict.NOT_RUN,
                "this entry is being stopped; ask another one",
                outcomes.MIN_RETRY_AFTER_S,
            )
        if opened.non_idempotent and not opened.request.idempotency_key:
            return model.Problem(
                400,
                "key_required",
                Verdict.NOT_RUN,
                f"service {name!r} runs each call at most once: send an"
                " Idempotency-Key that is a ULID or a UUID of version 7",
            )
        if not self._table.list_replicas(name):
            return model.Problem(
                503,
                "no_replica",
                Verdict.NOT_RUN,
                f"no replica of {name!r} serves now",
                outcomes.NO_REPLICA_RETRY_S,
            )
        return None

    def _claim(
        self, opened: state.PendingRequest, wall: float, now: float
    ) -> list[Effect]:
        request = opened.request
        key = (
            f"{request.service}\n{request.workspace}\n{request.idempotency_key}"
        )
        opened.phase = "claiming"
        opened.claimant = claimant.Claimant(
            claim_messages.ClaimRequest(
                entry=self._entry,
                key=key,
                owner=request.request_id,
                fingerprint=outcomes.hash_request(request),
                made_at=request.key_created_at,
                wall=wall,
            ),
            claimant.choose_holders(key, self._controls),
        )
        self._claiming.add(request.request_id)
        return [*opened.claimant.start(now)]

    def _follow_claim(
        self, opened: state.PendingRequest, now: float
    ) -> list[Effect]:
        assert opened.claimant is not None
        result = opened.claimant.result
        if result == "waiting":
            return []
        self._claiming.discard(opened.request.request_id)
        self.trails.add(opened.request.request_id, now, f"claim_{result}")
        if result == "granted":
            return self._enqueue(opened, now)
        answer = opened.claimant.answer
        opened.claimant = None
        if result == "finished" and answer is not None and answer.complete:
            return self._replay(opened, answer)
        return self._refuse(
            opened, outcomes.describe_claim(result, answer), now
        )

    def _replay(
        self, opened: state.PendingRequest, answer: claim_messages.FinalAnswer
    ) -> list[Effect]:
        request_id = opened.request.request_id
        del self._open[request_id]
        if answer.content_type == outcomes.COMPLETION_TYPE:
            return [
                events.EmitText(request_id, answer.body.decode()),
                events.FinishStream(request_id, "stop", model.Usage()),
            ]
        return [
            events.SendResponse(
                request_id,
                answer.status,
                answer.content_type,
                answer.body,
                replayed=True,
            )
        ]

    # The queue.

    def _enqueue(
        self, opened: state.PendingRequest, now: float
    ) -> list[Effect]:
        request = opened.request
        # Arrivals and retries both come by here; without a look, each
        # submission of a request that ends its server ended some more.
        blocked_s = self._guard.get_block_remaining_s(opened.request_hash, now)
        if blocked_s is not None:
            problem = outcomes.describe_block(opened.verdict, blocked_s)
            return self._refuse(opened, problem, now)
        waiting = self.queues.setdefault(request.service, queue.FairQueue())
        opened.phase = "queued"
        if not opened.attempt_count:
            wait_s = self._estimate_wait(request, waiting)
            if wait_s > request.deadline_s:
                return self._refuse(
                    opened, outcomes.describe_overload(wait_s), now
                )
        waiting.push(request, opened.arrived_at)
        effects = self._dispatch(request.service, now)
        shed = waiting.shed()
        if shed is not None:
            wait_s = self._estimate_wait(shed.request, waiting)
            loser = self._open[shed.request.request_id]
            effects += self._refuse(
                loser, outcomes.describe_overload(wait_s), now
            )
        return effects

    def _estimate_wait(
        self, request: model.Request, waiting: queue.FairQueue
    ) -> float:
        ahead = waiting.count_ahead(request.urgency)
        if not ahead:
            return 0.0
        running = sum(
            1
            for other in self._open.values()
            if other.current_attempt
            and other.request.service == request.service
        )
        duration_s = self._duration_s.get(request.service, FIRST_DURATION_S)
        return ahead * duration_s / max(1, running)

    def _dispatch(self, service: str, now: float) -> list[Effect]:
        effects: list[Effect] = []
        waiting = self.queues.get(service)
        while waiting:
            request = waiting.peek()
            assert request is not None
            opened = self._open[request.request_id]
            choice = self._policy.choose(request, opened.failed_groups, now)
            match choice:
                case policy_module.Choice():
                    waiting.pop()
                    effects += self._start(opened, choice, now)
                case policy_module.Unavailable(
                    has_untried_replica=True, pause_s=pause_s
                ) if pause_s and _ends_before(opened, now + pause_s):
                    waiting.pop()
                    problem = outcomes.describe_pause(opened.verdict, pause_s)
                    effects += self._refuse(opened, problem, now)
                case policy_module.Unavailable(has_untried_replica=True):
                    break
                case policy_module.Unavailable():
                    waiting.pop()
                    effects += self._refuse(
                        opened,
                        model.Problem(
                            503,
                            "no_replica",
                            opened.verdict,
                            "no replica is left to try",
                            outcomes.NO_REPLICA_RETRY_S,
                        ),
                        now,
                    )
        return effects

    def _start(
        self,
        opened: state.PendingRequest,
        choice: policy_module.Choice,
        now: float,
    ) -> list[Effect]:
        request = opened.request
        if opened.attempt_count == 0:
            self._budget.deposit()
        opened.attempt_count += 1
        opened.phase = "running"
        attempt = state.Attempt(
            attempt_id=f"{request.request_id}.{opened.attempt_count}",
            replica=choice.replica,
            started_at=now,
            last_frame_at=now,
        )
        opened.current_attempt = attempt
        self._by_attempt[attempt.attempt_id] = request.request_id
        self._book.record_start(choice.replica.group, now)
        self.trails.add(
            request.request_id,
            now,
            "attempt",
            f"{attempt.attempt_id} on {choice.replica.group}",
            choice.candidates,
        )
        return [
            events.StartAttempt(
                attempt_id=attempt.attempt_id,
                attempt_number=opened.attempt_count,
                request=request,
                replica=choice.replica,
                position=opened.position,
                text="".join(opened.text_chunks),
            )
        ]

    # What comes back.

    def _find(self, attempt_id: str) -> state.PendingRequest | None:
        """Returns the request whose present attempt this is.

        Whatever a former attempt still sends is dropped here: its request
        has moved on, or is answered.
        """
        opened = self._open.get(self._by_attempt.get(attempt_id, ""))
        if opened and opened.current_attempt:
            return (
                opened
                if opened.current_attempt.attempt_id == attempt_id
                else None
            )
        return None

    def _take_frame(
        self, frame: events.FrameArrived, now: float
    ) -> list[Effect]:
        opened = self._find(frame.attempt_id)
        if opened is None:
            return []
        attempt = opened.current_attempt
        assert attempt is not None
        if frame.request_id != opened.request.request_id:
            # A frame of another request on this connection: the server mixed
            # them up. Nothing more from it may reach this caller.
            return self._abandon_attempt(opened, "foreign_frame", now)
        if frame.position > opened.position:
            return self._abandon_attempt(opened, "frame_gap", now)
        gap_s = now - attempt.last_frame_at
        attempt.last_frame_at = now
        end = frame.position + frame.tokens
        effects: list[Effect] = []
        if frame.tokens and end > opened.position:
            if frame.position < opened.position:
                return self._abandon_attempt(opened, "frame_overlap", now)
            if attempt.framed:
                self._book.note_gap(
                    attempt.replica.group, gap_s / frame.tokens, now
                )
            attempt.framed = True
            opened.position = end
            opened.text_chunks.append(frame.text)
            effects.append(
                events.EmitText(opened.request.request_id, frame.text)
            )
        if frame.finish_reason and end == opened.position:
            effects += self._finish_stream(opened, frame, now)
        return effects

    def _finish_stream(
        self,
        opened: state.PendingRequest,
        frame: events.FrameArrived,
        now: float,
    ) -> list[Effect]:
        text = "".join(opened.text_chunks).encode()
        answer = outcomes.keep_answer(200, outcomes.COMPLETION_TYPE, text)
        finish = events.FinishStream(
            opened.request.request_id, frame.finish_reason, frame.usage
        )
        return [finish, *self._close(opened, answer, now)]

    def _take_answer(
        self, event: events.AnswerArrived, now: float
    ) -> list[Effect]:
        opened = self._find(event.attempt_id)
        if opened is None:
            return []
        if event.request_id != opened.request.request_id:
            return self._abandon_attempt(opened, "foreign_answer", now)
        answer = outcomes.keep_answer(
            event.status, event.content_type, event.body
        )
        give = events.SendResponse(
            event.request_id, event.status, event.content_type, event.body
        )
        return [give, *self._close(opened, answer, now)]

    def _close(
        self,
        opened: state.PendingRequest,
        answer: claim_messages.FinalAnswer,
        now: float,
    ) -> list[Effect]:
        """Ends a request that has its whole answer."""
        request = opened.request
        attempt = opened.current_attempt
        assert attempt is not None
        duration_s = now - attempt.started_at
        known_s = self._duration_s.get(request.service, duration_s)
        self._duration_s[request.service] = (
            known_s + (duration_s - known_s) * 0.1
        )
        self._end_attempt(opened, now)
        self._guard.record_complete_response(opened.request_hash, now)
        self._book.get(attempt.replica.group).failures = 0
        self.trails.add(request.request_id, now, "ran")
        del self._open[request.request_id]
        effects: list[Effect] = []
        if opened.claimant is not None:
            effects += opened.claimant.finish(answer)
        return effects + self._dispatch(request.service, now)

    def _take_failure(
        self, failure: events.AttemptFailed, now: float
    ) -> list[Effect]:
        opened = self._find(failure.attempt_id)
        if opened is None:
            return []
        return self._fail_attempt(
            opened,
            failure.verdict,
            failure.reason,
            failure.retry_after_s,
            now,
        )

    def _abandon_attempt(
        self, opened: state.PendingRequest, reason: str, now: float
    ) -> list[Effect]:
        attempt = opened.current_attempt
        assert attempt is not None
        cancel = events.CancelAttempt(
            attempt.attempt_id, opened.request.request_id, attempt.replica
        )
        return [
            cancel,
            *self._fail_attempt(
                opened, Verdict.MAY_HAVE_RUN, reason, None, now
            ),
        ]

    def _fail_attempt(
        self,
        opened: state.PendingRequest,
        verdict: verdict_module.Verdict,
        reason: str,
        retry_after_s: float | None,
        now: float,
    ) -> list[Effect]:
        request = opened.request
        attempt = opened.current_attempt
        assert attempt is not None
        self._end_attempt(opened, now)
        opened.failed_groups.add(attempt.replica.group)
        if retry_after_s is not None:
            self._book.note_pause(attempt.replica.group, retry_after_s, now)
        if reason != "busy":
            self._book.record_failure(attempt.replica.group, now)
        if verdict is Verdict.MAY_HAVE_RUN:
            opened.fruitless += not attempt.framed
            group = attempt.replica.group
            self._guard.record_lost_run(opened.request_hash, group, 0, now)
        if opened.position:
            verdict = Verdict.MAY_HAVE_RUN
        opened.verdict = verdict_module.combine_verdicts(
            opened.verdict, verdict
        )
        self.trails.add(
            request.request_id,
            now,
            "attempt_failed",
            f"{attempt.attempt_id}: {reason}, {verdict.value}",
        )
        problem = self._check_retry(opened, reason, retry_after_s, now)
        if problem is not None:
            effects = self._refuse(opened, problem, now)
        else:
            effects = self._enqueue(opened, now)
        return effects + self._dispatch(request.service, now)

    def _check_retry(
        self,
        opened: state.PendingRequest,
        reason: str,
        retry_after_s: float | None,
        now: float,
    ) -> model.Problem | None:
        """Returns why a request is not tried again; None if it is."""
        # A call that may run at most once is tried again only if nothing of
        # it can have run; a doubled work order sends two crews.
        if opened.non_idempotent and opened.verdict != Verdict.NOT_RUN:
            return model.Problem(
                502,
                "outcome_unknown",
                opened.verdict,
                f"the backend server failed ({reason}) and may have run it;"
                " ask again with the same key",
                outcomes.MIN_RETRY_AFTER_S,
            )
        if (
            not opened.position
            and now - opened.arrived_at >= opened.request.deadline_s
        ):
            return model.Problem(
                504,
                "deadline_passed",
                opened.verdict,
                f"the deadline passed; the last failure was {reason}",
                outcomes.MIN_RETRY_AFTER_S,
            )
        # Whether its replicas have ended is known only after a second. By then
        # one submission, tried for as long as the budget lasted, had ended six
        # of nine.
        if opened.fruitless >= crash_history.BLOCK_THRESHOLD:
            return outcomes.describe_fruitless()
        if not self._budget.try_withdraw():
            return model.Problem(
                503,
                "retry_budget_spent",
                opened.verdict,
                f"the backend server failed ({reason}) and too many requests"
                " are being tried again",
                outcomes.clamp_retry(
                    retry_after_s or 2 * outcomes.MIN_RETRY_AFTER_S
                ),
            )
        return None

    def _end_attempt(self, opened: state.PendingRequest, now: float) -> None:
        attempt = opened.current_attempt
        assert attempt is not None
        self._by_attempt.pop(attempt.attempt_id, None)
        self._book.record_end(attempt.replica.group, now)
        opened.current_attempt = None

    # Time.

    def _check_running(
        self, opened: state.PendingRequest, now: float
    ) -> list[Effect]:
        attempt = opened.current_attempt
        assert attempt is not None
        overdue = now - opened.arrived_at >= opened.request.deadline_s
        if overdue and not opened.position:
            return self._give_up_running(opened, now)
        if not attempt.replica.keepalive_s:
            return []
        silent_s = now - attempt.last_frame_at
        if silent_s <= SILENT_KEEPALIVES * attempt.replica.keepalive_s:
            return []
        if attempt.attached:
            return self._abandon_attempt(opened, "silent", now)
        return self._attach(opened, attempt, now)

    def _attach(
        self, opened: state.PendingRequest, attempt: state.Attempt, now: float
    ) -> list[Effect]:
        """Joins a silent stream again over a new connection.

        Something between the two ends may have lost track of the connection
        while the server works on. Only if a new one is silent as well is the
        server taken for dead.
        """
        request_id = opened.request.request_id
        close = events.CancelAttempt(
            attempt.attempt_id,
            request_id,
            attempt.replica,
            cancel_on_server=False,
        )
        self._by_attempt.pop(attempt.attempt_id, None)
        opened.attempt_count += 1
        attempt.attempt_id = f"{request_id}.{opened.attempt_count}"
        attempt.attached = True
        attempt.last_frame_at = now
        self._by_attempt[attempt.attempt_id] = request_id
        self.trails.add(request_id, now, "attach", attempt.attempt_id)
        return [
            close,
            events.StartAttempt(
                attempt_id=attempt.attempt_id,
                attempt_number=opened.attempt_count,
                request=opened.request,
                replica=attempt.replica,
                position=opened.position,
                text="".join(opened.text_chunks),
                attach=True,
            ),
        ]

    def _give_up_running(
        self, opened: state.PendingRequest, now: float
    ) -> list[Effect]:
        attempt = opened.current_attempt
        assert attempt is not None
        cancel = events.CancelAttempt(
            attempt.attempt_id, opened.request.request_id, attempt.replica
        )
        self._end_attempt(opened, now)
        opened.verdict = Verdict.MAY_HAVE_RUN
        problem = model.Problem(
            504,
            "deadline_passed",
            opened.verdict,
            "the answer did not start before the deadline",
            outcomes.MIN_RETRY_AFTER_S,
        )
        return [
            cancel,
            *self._refuse(opened, problem, now),
            *self._dispatch(opened.request.service, now),
        ]

    def _refuse_late(self, request_id: str, now: float) -> list[Effect]:
        opened = self._open[request_id]
        problem = model.Problem(
            503,
            "deadline_passed",
            opened.verdict,
            "no replica was free before the deadline",
            self._suggest_return(opened.request),
        )
        return self._refuse(opened, problem, now)

    def _suggest_return(self, request: model.Request) -> float:
        waiting = self.queues[request.service]
        return outcomes.clamp_retry(self._estimate_wait(request, waiting))

    # Ends.

    def _leave(self, request_id: str, now: float) -> list[Effect]:
        opened = self._open.get(request_id)
        if opened is None:
            return []
        if opened.non_idempotent and opened.current_attempt is not None:
            # To stop it could leave the work half done; it is finished, and
            # a resend gets the answer from the claim.
            return []
        self.trails.add(request_id, now, "caller_left")
        effects: list[Effect] = []
        attempt = opened.current_attempt
        if attempt is not None:
            effects.append(
                events.CancelAttempt(
                    attempt.attempt_id, request_id, attempt.replica
                )
            )
            self._end_attempt(opened, now)
        else:
            for waiting in self.queues.values():
                waiting.remove(request_id)
            effects += self._settle_claim(opened)
        self._claiming.discard(request_id)
        del self._open[request_id]
        return effects + self._dispatch(opened.request.service, now)

    def _refuse(
        self, opened: state.PendingRequest, problem: model.Problem, now: float
    ) -> list[Effect]:
        request_id = opened.request.request_id
        self.trails.add(
            request_id,
            now,
            "refused",
            f"{problem.code}, {problem.verdict.value}",
        )
        self._claiming.discard(request_id)
        del self._open[request_id]
        return [
            events.Refuse(request_id, problem),
            *self._settle_claim(opened),
        ]

    def _settle_claim(self, opened: state.PendingRequest) -> list[Effect]:
        """Gives a claim back if nothing ran, or marks it as unknown."""
        if opened.claimant is None:
            return []
        if opened.verdict == Verdict.NOT_RUN:
            return [*opened.claimant.release()]
        unknown = claim_messages.FinalAnswer(verdict=opened.verdict.value)
        return [*opened.claimant.finish(unknown)]


def _ends_before(opened: state.PendingRequest, at: float) -> bool:
    """Says whether a request that waits is given up before a time."""
    return opened.arrived_at + opened.request.deadline_s <= at
