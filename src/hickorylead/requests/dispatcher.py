"""The processing of requests at one entry, as a reducer.

A request is claimed (if it may run only once), queued, sent to a replica,
and ends with exactly one final effect. All times are monotonic seconds except
`wall_time`, which is only compared with the time in an idempotency key.
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
from hickorylead.draining import admission as admission_module
from hickorylead.requests import events, history, model, outcomes, state
from hickorylead.routing import policy as policy_module

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from hickorylead.configuration import model as configuration_model
    from hickorylead.routing import health, table

Verdict = verdict_module.Verdict
Effect: TypeAlias = events.Effect | claim_messages.Send

MAX_MISSED_KEEPALIVES = 3
INITIAL_DURATION_S = 1.0


class Dispatcher:
    """All pending requests of one entry."""

    def __init__(
        self,
        *,
        entry: str,
        controls: Mapping[str, Sequence[str]],
        table: table.ReplicaTable,
        health: health.HealthTracker,
        policy: policy_module.LoadBalancingPolicy,
        guard: crash_guard_module.CrashGuard,
    ) -> None:
        """Makes a dispatcher without requests.

        Args:
            entry: Name of this entry.
            controls: Control processes by zone, which hold claims.
            table: Replicas that accept requests.
            health: Health of the replicas, as observed by this entry.
            policy: Chooses the replica for a request.
            guard: Tracks blocked request hashes and lost runs.
        """
        self._entry = entry
        self._controls = controls
        self._table = table
        self._health = health
        self._policy = policy
        self._guard = guard
        self._budget = budget_module.RetryBudget()
        self._pending: dict[str, state.PendingRequest] = {}
        self._by_attempt: dict[str, str] = {}
        self._claiming: set[str] = set()
        self._duration_s: dict[str, float] = {}
        self.queues: dict[str, queue.FairQueue] = {}
        self.histories = history.HistoryStore()
        self._admission = admission_module.StopAdmission()
        self._is_stopping = False

    def count_pending(self) -> int:
        """Returns how many requests have no final response yet."""
        return len(self._pending)

    def stop(self, ends_at: float) -> None:
        """Refuses from now on new requests, and others that cannot end in time.

        Args:
            ends_at: When the requests that are left will be ended.
        """
        self._is_stopping = True
        self._admission.stop(ends_at)

    def end_all(self, now: float) -> list[Effect]:
        """Ends all pending requests, as the time of a stop is over."""
        effects: list[Effect] = []
        for pending in list(self._pending.values()):
            attempt = pending.current_attempt
            if attempt is not None:
                effects.append(
                    events.CancelAttempt(
                        attempt.attempt_id,
                        pending.request.request_id,
                        attempt.replica,
                        # If it were cancelled, its work could remain
                        # incomplete.
                        cancel_on_server=not pending.non_idempotent,
                    )
                )
                self._end_attempt(pending, now)
                pending.verdict = Verdict.MAY_HAVE_RUN
            for service_queue in self.queues.values():
                service_queue.remove(pending.request.request_id)
            problem = outcomes.describe_stop(pending.verdict)
            effects += self._refuse(pending, problem, now)
        return effects

    def handle(
        self,
        event: events.Event,
        configuration: configuration_model.Configuration,
        now: float,
    ) -> list[Effect]:
        """Handles one event."""
        match event:
            case events.FrameArrived():
                return self._handle_frame(event, now)
            case events.RequestArrived():
                return self._handle_arrival(event, configuration, now)
            case events.AnswerArrived():
                return self._handle_response(event, now)
            case events.AttemptFailed():
                return self._handle_failure(event, now)
            case events.CallerDisconnected(request_id):
                return self._handle_disconnect(request_id, now)

    def receive_claim(
        self, reply: claim_messages.ClaimReply, now: float
    ) -> list[Effect]:
        """Handles a claim holder's reply."""
        request = self._pending.get(reply.owner)
        if request is None or request.claimant is None:
            return []
        if request.phase != "claiming":
            return []
        effects: list[Effect] = [*request.claimant.receive(reply, now)]
        return effects + self._follow_claim(request, now)

    def tick(self, now: float) -> list[Effect]:
        """Handles retries of claims, deadlines and stream timeouts."""
        effects: list[Effect] = []
        for request_id in sorted(self._claiming):
            pending = self._pending[request_id]
            assert pending.claimant is not None
            effects += pending.claimant.tick(now)
            effects += self._follow_claim(pending, now)
        for service in list(self.queues):
            for late in self.queues[service].pop_overdue(now):
                effects += self._refuse_late(late.request.request_id, now)
        for request in list(self._pending.values()):
            if request.current_attempt is not None:
                effects += self._check_attempt(request, now)
        return effects + self.dispatch_all(now)

    def dispatch_all(self, now: float) -> list[Effect]:
        """Starts queued requests that have a replica available.

        To be called when the table changes.
        """
        effects: list[Effect] = []
        for service in list(self.queues):
            effects += self._dispatch(service, now)
        return effects

    # Arrival and claims.

    def _handle_arrival(
        self,
        event: events.RequestArrived,
        configuration: configuration_model.Configuration,
        now: float,
    ) -> list[Effect]:
        request = event.request
        self.histories.start(
            request.request_id, request.service, request.workspace, now
        )
        service = configuration.find_service(request.service)
        pending = state.PendingRequest(
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
            prefix_traits=tuple(
                request_hash.hash_prompt_part(request.service, prefix)
                for prefix in request.prefix_hashes
            ),
        )
        self._pending[request.request_id] = pending
        problem = self._check_arrival(event, service, now)
        if problem is not None:
            return self._refuse(pending, problem, now)
        if pending.non_idempotent:
            return self._claim(pending, event.wall_time, now)
        return self._enqueue(pending, now)

    def _check_arrival(
        self,
        event: events.RequestArrived,
        service: configuration_model.Service | None,
        now: float,
    ) -> model.Problem | None:
        request, name = event.request, event.request.service
        if service is None:
            return model.Problem(
                404,
                "unknown_service",
                Verdict.NOT_RUN,
                f"there is no service {name!r}",
            )
        if self._is_stopping and not (
            event.was_accepted
            and self._admission.may_finish(name, request.deadline_s, now)
        ):
            return outcomes.describe_stop(Verdict.NOT_RUN)
        if service.non_idempotent and not request.idempotency_key:
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
        self, pending: state.PendingRequest, wall_time: float, now: float
    ) -> list[Effect]:
        request = pending.request
        key = (
            f"{request.service}\n{request.workspace}\n{request.idempotency_key}"
        )
        pending.phase = "claiming"
        pending.claimant = claimant.Claimant(
            claim_messages.ClaimRequest(
                entry=self._entry,
                key=key,
                owner=request.request_id,
                fingerprint=outcomes.hash_request(request),
                made_at=request.key_created_at,
                wall=wall_time,
            ),
            claimant.choose_holders(key, self._controls),
        )
        self._claiming.add(request.request_id)
        return [*pending.claimant.start(now)]

    def _follow_claim(
        self, pending: state.PendingRequest, now: float
    ) -> list[Effect]:
        assert pending.claimant is not None
        result = pending.claimant.result
        if result == "waiting":
            return []
        self._claiming.discard(pending.request.request_id)
        self.histories.add(pending.request.request_id, now, f"claim_{result}")
        if result == "granted":
            return self._enqueue(pending, now)
        answer = pending.claimant.answer
        pending.claimant = None
        if result == "finished" and answer is not None and answer.complete:
            return self._replay(pending, answer)
        return self._refuse(
            pending, outcomes.describe_claim(result, answer), now
        )

    def _replay(
        self, pending: state.PendingRequest, answer: claim_messages.FinalAnswer
    ) -> list[Effect]:
        request_id = pending.request.request_id
        del self._pending[request_id]
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
        self, pending: state.PendingRequest, now: float
    ) -> list[Effect]:
        request = pending.request
        # Both new requests and retries pass this check for a block. Without it,
        # each submission of a request that crashes its server would crash more
        # servers.
        blocked_s = self._guard.find_block_remaining_s(pending.traits, now)
        if blocked_s is not None:
            problem = outcomes.describe_block(pending.verdict, blocked_s)
            return self._refuse(pending, problem, now)
        service_queue = self.queues.setdefault(
            request.service, queue.FairQueue()
        )
        pending.phase = "queued"
        if not pending.attempt_count:
            wait_s = self._estimate_wait(request, service_queue)
            if wait_s > request.deadline_s:
                return self._refuse(
                    pending, outcomes.describe_overload(wait_s), now
                )
        service_queue.push(request, pending.arrived_at)
        effects = self._dispatch(request.service, now)
        shed = service_queue.shed()
        if shed is not None:
            wait_s = self._estimate_wait(shed.request, service_queue)
            shed_request = self._pending[shed.request.request_id]
            effects += self._refuse(
                shed_request, outcomes.describe_overload(wait_s), now
            )
        return effects

    def _estimate_wait(
        self, request: model.Request, service_queue: queue.FairQueue
    ) -> float:
        ahead = service_queue.count_ahead(request.urgency)
        if not ahead:
            return 0.0
        running = sum(
            1
            for other in self._pending.values()
            if other.current_attempt
            and other.request.service == request.service
        )
        duration_s = self._duration_s.get(request.service, INITIAL_DURATION_S)
        return ahead * duration_s / max(1, running)

    def _dispatch(self, service: str, now: float) -> list[Effect]:
        effects: list[Effect] = []
        service_queue = self.queues.get(service)
        while service_queue:
            request = service_queue.peek()
            assert request is not None
            pending = self._pending[request.request_id]
            choice = self._policy.choose(request, pending.failed_groups, now)
            match choice:
                case policy_module.Choice():
                    service_queue.pop()
                    effects += self._start_attempt(pending, choice, now)
                case policy_module.Unavailable(
                    has_untried_replica=True, pause_s=pause_s
                ) if pause_s and _ends_before(pending, now + pause_s):
                    service_queue.pop()
                    problem = outcomes.describe_pause(pending.verdict, pause_s)
                    effects += self._refuse(pending, problem, now)
                case policy_module.Unavailable(has_untried_replica=True):
                    break
                case policy_module.Unavailable():
                    service_queue.pop()
                    effects += self._refuse(
                        pending,
                        model.Problem(
                            503,
                            "no_replica",
                            pending.verdict,
                            "no replica is left to try",
                            outcomes.NO_REPLICA_RETRY_S,
                        ),
                        now,
                    )
        return effects

    def _start_attempt(
        self,
        pending: state.PendingRequest,
        choice: policy_module.Choice,
        now: float,
    ) -> list[Effect]:
        request = pending.request
        if pending.attempt_count == 0:
            self._budget.deposit()
        pending.attempt_count += 1
        pending.phase = "running"
        attempt = state.Attempt(
            attempt_id=f"{request.request_id}.{pending.attempt_count}",
            replica=choice.replica,
            started_at=now,
            last_frame_at=now,
            run=self._guard.evidence.start_run(
                pending.traits, choice.replica.group, 0, now
            ),
        )
        pending.current_attempt = attempt
        self._by_attempt[attempt.attempt_id] = request.request_id
        self._health.record_start(choice.replica.group, now)
        self.histories.add(
            request.request_id,
            now,
            "attempt",
            f"{attempt.attempt_id} on {choice.replica.group}",
            choice.candidates,
        )
        return [
            events.StartAttempt(
                attempt_id=attempt.attempt_id,
                attempt_number=pending.attempt_count,
                request=request,
                replica=choice.replica,
                position=pending.position,
                text="".join(pending.text_chunks),
            )
        ]

    # Frames, responses and failures.

    def _find_pending(self, attempt_id: str) -> state.PendingRequest | None:
        """Returns the request whose current attempt has this id.

        Late events of a previous attempt are dropped here: its request has
        moved to another attempt, or has ended.
        """
        pending = self._pending.get(self._by_attempt.get(attempt_id, ""))
        if pending and pending.current_attempt:
            return (
                pending
                if pending.current_attempt.attempt_id == attempt_id
                else None
            )
        return None

    def _handle_frame(
        self, frame: events.FrameArrived, now: float
    ) -> list[Effect]:
        pending = self._find_pending(frame.attempt_id)
        if pending is None:
            return []
        attempt = pending.current_attempt
        assert attempt is not None
        if frame.request_id != pending.request.request_id:
            # The server sent a frame of another request on this connection.
            # Nothing more of this attempt may reach the caller.
            return self._abandon_attempt(pending, "foreign_frame", now)
        if frame.position > pending.position:
            return self._abandon_attempt(pending, "frame_gap", now)
        gap_s = now - attempt.last_frame_at
        attempt.last_frame_at = now
        end = frame.position + frame.tokens
        effects: list[Effect] = []
        if frame.tokens and end > pending.position:
            if frame.position < pending.position:
                return self._abandon_attempt(pending, "frame_overlap", now)
            if attempt.has_frames:
                self._health.record_frame_gap(
                    attempt.replica.group, gap_s / frame.tokens, now
                )
            attempt.has_frames = True
            self._guard.evidence.record_output(attempt.run, now)
            pending.position = end
            pending.text_chunks.append(frame.text)
            effects.append(
                events.EmitText(pending.request.request_id, frame.text)
            )
        if frame.finish_reason and end == pending.position:
            effects += self._finish_stream(pending, frame, now)
        return effects

    def _finish_stream(
        self,
        pending: state.PendingRequest,
        frame: events.FrameArrived,
        now: float,
    ) -> list[Effect]:
        text = "".join(pending.text_chunks).encode()
        answer = outcomes.make_final_answer(200, outcomes.COMPLETION_TYPE, text)
        finish = events.FinishStream(
            pending.request.request_id, frame.finish_reason, frame.usage
        )
        return [finish, *self._complete(pending, answer, now)]

    def _handle_response(
        self, event: events.AnswerArrived, now: float
    ) -> list[Effect]:
        pending = self._find_pending(event.attempt_id)
        if pending is None:
            return []
        if event.request_id != pending.request.request_id:
            return self._abandon_attempt(pending, "foreign_answer", now)
        answer = outcomes.make_final_answer(
            event.status, event.content_type, event.body
        )
        response = events.SendResponse(
            event.request_id, event.status, event.content_type, event.body
        )
        return [response, *self._complete(pending, answer, now)]

    def _complete(
        self,
        pending: state.PendingRequest,
        answer: claim_messages.FinalAnswer,
        now: float,
    ) -> list[Effect]:
        """Ends a request that has its complete response."""
        request = pending.request
        attempt = pending.current_attempt
        assert attempt is not None
        self._admission.record(request.service, now - pending.arrived_at)
        duration_s = now - attempt.started_at
        known_s = self._duration_s.get(request.service, duration_s)
        self._duration_s[request.service] = (
            known_s + (duration_s - known_s) * 0.1
        )
        self._guard.record_complete_response(pending.request_hash, now)
        self._guard.evidence.end_run(attempt.run, is_complete=True, now=now)
        self._end_attempt(pending, now)
        self._health.get(attempt.replica.group).failures = 0
        self.histories.add(request.request_id, now, "ran")
        del self._pending[request.request_id]
        effects: list[Effect] = []
        if pending.claimant is not None:
            effects += pending.claimant.finish(answer)
        return effects + self._dispatch(request.service, now)

    def _handle_failure(
        self, failure: events.AttemptFailed, now: float
    ) -> list[Effect]:
        pending = self._find_pending(failure.attempt_id)
        if pending is None:
            return []
        return self._fail_attempt(
            pending,
            failure.verdict,
            failure.reason,
            failure.retry_after_s,
            now,
        )

    def _abandon_attempt(
        self, pending: state.PendingRequest, reason: str, now: float
    ) -> list[Effect]:
        attempt = pending.current_attempt
        assert attempt is not None
        cancel = events.CancelAttempt(
            attempt.attempt_id, pending.request.request_id, attempt.replica
        )
        return [
            cancel,
            *self._fail_attempt(
                pending, Verdict.MAY_HAVE_RUN, reason, None, now
            ),
        ]

    def _fail_attempt(
        self,
        pending: state.PendingRequest,
        verdict: verdict_module.Verdict,
        reason: str,
        retry_after_s: float | None,
        now: float,
    ) -> list[Effect]:
        request = pending.request
        attempt = pending.current_attempt
        assert attempt is not None
        self._end_attempt(pending, now)
        pending.failed_groups.add(attempt.replica.group)
        if retry_after_s is not None:
            self._health.record_pause(attempt.replica.group, retry_after_s, now)
        if reason != "busy":
            self._health.record_failure(attempt.replica.group, now)
        if verdict is Verdict.MAY_HAVE_RUN:
            pending.unproductive_attempts += not attempt.has_frames
            group = attempt.replica.group
            self._guard.record_lost_run(pending.request_hash, group, 0, now)
            self._guard.evidence.lose_run(attempt.run, now)
        if pending.position:
            verdict = Verdict.MAY_HAVE_RUN
        pending.verdict = verdict_module.combine_verdicts(
            pending.verdict, verdict
        )
        self.histories.add(
            request.request_id,
            now,
            "attempt_failed",
            f"{attempt.attempt_id}: {reason}, {verdict.value}",
        )
        problem = self._check_retry(pending, reason, retry_after_s, now)
        if problem is not None:
            effects = self._refuse(pending, problem, now)
        else:
            effects = self._enqueue(pending, now)
        return effects + self._dispatch(request.service, now)

    def _check_retry(
        self,
        pending: state.PendingRequest,
        reason: str,
        retry_after_s: float | None,
        now: float,
    ) -> model.Problem | None:
        """Returns why a request is not retried; None if it is retried."""
        # A non-idempotent request is retried only if it cannot have run: a
        # work order that runs twice sends two crews.
        if pending.non_idempotent and pending.verdict != Verdict.NOT_RUN:
            return model.Problem(
                502,
                "outcome_unknown",
                pending.verdict,
                f"the backend server failed ({reason}) and may have run it;"
                " ask again with the same key",
                outcomes.MIN_RETRY_AFTER_S,
            )
        if (
            not pending.position
            and now - pending.arrived_at >= pending.request.deadline_s
        ):
            return model.Problem(
                504,
                "deadline_passed",
                pending.verdict,
                f"the deadline passed; the last failure was {reason}",
                outcomes.MIN_RETRY_AFTER_S,
            )
        # The crash of a replica is confirmed only after a second. If only the
        # retry budget limited the retries of a request, one submission could
        # crash six of nine replicas within that second.
        if pending.unproductive_attempts >= crash_history.BLOCK_THRESHOLD:
            return outcomes.describe_replicas_failed()
        if not self._budget.try_withdraw():
            return model.Problem(
                503,
                "retry_budget_spent",
                pending.verdict,
                f"the backend server failed ({reason}) and too many requests"
                " are being retried",
                outcomes.clamp_retry(
                    retry_after_s or 2 * outcomes.MIN_RETRY_AFTER_S
                ),
            )
        return None

    def _end_attempt(self, pending: state.PendingRequest, now: float) -> None:
        attempt = pending.current_attempt
        assert attempt is not None
        self._by_attempt.pop(attempt.attempt_id, None)
        self._health.record_end(attempt.replica.group, now)
        self._guard.evidence.end_run(attempt.run, is_complete=False, now=now)
        pending.current_attempt = None

    # Timeouts.

    def _check_attempt(
        self, pending: state.PendingRequest, now: float
    ) -> list[Effect]:
        attempt = pending.current_attempt
        assert attempt is not None
        overdue = now - pending.arrived_at >= pending.request.deadline_s
        if overdue and not pending.position:
            return self._cancel_overdue(pending, now)
        if not attempt.replica.keepalive_s:
            return []
        idle_s = now - attempt.last_frame_at
        if idle_s <= MAX_MISSED_KEEPALIVES * attempt.replica.keepalive_s:
            return []
        if attempt.is_attached:
            return self._abandon_attempt(pending, "silent", now)
        return self._attach(pending, attempt, now)

    def _attach(
        self, pending: state.PendingRequest, attempt: state.Attempt, now: float
    ) -> list[Effect]:
        """Attaches over a new connection to a stream whose frames have stopped.

        A network component may have lost the state of the connection while
        the server continues. Only if the new connection times out as well is
        the server treated as failed.
        """
        request_id = pending.request.request_id
        close = events.CancelAttempt(
            attempt.attempt_id,
            request_id,
            attempt.replica,
            cancel_on_server=False,
        )
        self._by_attempt.pop(attempt.attempt_id, None)
        pending.attempt_count += 1
        attempt.attempt_id = f"{request_id}.{pending.attempt_count}"
        attempt.is_attached = True
        attempt.last_frame_at = now
        self._by_attempt[attempt.attempt_id] = request_id
        self.histories.add(request_id, now, "attach", attempt.attempt_id)
        return [
            close,
            events.StartAttempt(
                attempt_id=attempt.attempt_id,
                attempt_number=pending.attempt_count,
                request=pending.request,
                replica=attempt.replica,
                position=pending.position,
                text="".join(pending.text_chunks),
                attach=True,
            ),
        ]

    def _cancel_overdue(
        self, pending: state.PendingRequest, now: float
    ) -> list[Effect]:
        attempt = pending.current_attempt
        assert attempt is not None
        cancel = events.CancelAttempt(
            attempt.attempt_id, pending.request.request_id, attempt.replica
        )
        self._end_attempt(pending, now)
        pending.verdict = Verdict.MAY_HAVE_RUN
        problem = model.Problem(
            504,
            "deadline_passed",
            pending.verdict,
            "the response did not start before the deadline",
            outcomes.MIN_RETRY_AFTER_S,
        )
        return [
            cancel,
            *self._refuse(pending, problem, now),
            *self._dispatch(pending.request.service, now),
        ]

    def _refuse_late(self, request_id: str, now: float) -> list[Effect]:
        pending = self._pending[request_id]
        problem = model.Problem(
            503,
            "deadline_passed",
            pending.verdict,
            "no replica was free before the deadline",
            self._estimate_retry_after(pending.request),
        )
        return self._refuse(pending, problem, now)

    def _estimate_retry_after(self, request: model.Request) -> float:
        service_queue = self.queues[request.service]
        return outcomes.clamp_retry(self._estimate_wait(request, service_queue))

    # Disconnects and refusals.

    def _handle_disconnect(self, request_id: str, now: float) -> list[Effect]:
        pending = self._pending.get(request_id)
        if pending is None:
            return []
        if pending.non_idempotent and pending.current_attempt is not None:
            # If the request were cancelled, its work could remain incomplete.
            # It runs to its end, and a resend gets the response from the claim.
            return []
        self.histories.add(request_id, now, "caller_left")
        effects: list[Effect] = []
        attempt = pending.current_attempt
        if attempt is not None:
            effects.append(
                events.CancelAttempt(
                    attempt.attempt_id, request_id, attempt.replica
                )
            )
            self._end_attempt(pending, now)
        else:
            for service_queue in self.queues.values():
                service_queue.remove(request_id)
            effects += self._settle_claim(pending)
        self._claiming.discard(request_id)
        del self._pending[request_id]
        return effects + self._dispatch(pending.request.service, now)

    def _refuse(
        self, pending: state.PendingRequest, problem: model.Problem, now: float
    ) -> list[Effect]:
        request_id = pending.request.request_id
        self.histories.add(
            request_id,
            now,
            "refused",
            f"{problem.code}, {problem.verdict.value}",
        )
        self._claiming.discard(request_id)
        del self._pending[request_id]
        return [
            events.Refuse(request_id, problem),
            *self._settle_claim(pending),
        ]

    def _settle_claim(self, pending: state.PendingRequest) -> list[Effect]:
        """Releases a claim if nothing ran; else marks its outcome unknown."""
        if pending.claimant is None:
            return []
        if pending.verdict == Verdict.NOT_RUN:
            return [*pending.claimant.release()]
        unknown = claim_messages.FinalAnswer(verdict=pending.verdict.value)
        return [*pending.claimant.finish(unknown)]


def _ends_before(pending: state.PendingRequest, at: float) -> bool:
    """Returns whether the deadline of a request passes by a time."""
    return pending.arrived_at + pending.request.deadline_s <= at
