"""The life of forwarded requests at one gateway, as a reducer.

A request is sent to a replica, goes on at another one if that is allowed, and
ends with exactly one final effect. It is never sent a second time unless it
may run twice or certainly has not run.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from hickorylead import verdict as verdict_module
from hickorylead.admission import budget as budget_module
from hickorylead.crashes import crash_guard as crash_guard_module, request_hash
from hickorylead.forwarding import (
    answers,
    choice as choice_module,
    descriptions,
    events,
    model,
    ranks,
    refusals,
    stalls,
    state,
    stream,
)

if TYPE_CHECKING:
    from hickorylead.configuration import document as document_module
    from hickorylead.forwarding import (
        health as health_module,
    )
    from hickorylead.notices import notice_store as notice_store_module
    from hickorylead.ratelimits import permit_pool as permit_pool_module

Verdict = verdict_module.Verdict

# Replicas that one request is sent to at most, those that refused it counted:
# each refusal costs a round trip and a share of the common retry budget.
MAX_SENDS = 4
# Retries that must be left for a request that may be turned away by a server
# whose pause has ended: one for itself, and one for a request that needs it.
PROBE_RETRIES = 2
# Retry delay given to callers of a suspected content, in seconds: by then its
# current run has given its first event or has ended its server.
SUSPECTED_RETRY_S = 1.0
# Share of a replica's connection limit that gateways may use; the rest is
# reserved for state queries and orders from coordinators.
CONNECTION_SHARE = 0.9
# Most servers at fault that are reported together; any others are dropped.
MAX_FAULTY_SERVERS = 64
# A replica is not started on a request that has less time left, in seconds:
# it could not answer any more.
MIN_BUDGET_S = 0.02
# Bodies of answers that are not streams are given whole up to this size, in
# bytes, so that one that breaks off can still be asked for elsewhere.
MAX_WHOLE_BYTES = 512 * 1024
# A try that gave nothing for this long when its caller or its time ended it may
# have lost its server, in seconds; a replica that works gives something each
# 0.1 s, and the first event within 0.3 s.
SILENT_S = 0.5
# Longest time between two looks at the open requests, in seconds: what others
# tell of a replica may bring a stall forward.
LONGEST_PAUSE_S = 0.25


class Forwarder:
    """All open requests of one gateway."""

    def __init__(
        self,
        *,
        chooser: choice_module.Chooser,
        health: health_module.HealthTracker,
        guard: crash_guard_module.CrashGuard,
        notices: notice_store_module.NoticeStore,
        permits: permit_pool_module.PermitPool,
        limits: budget_module.RetryLimits = budget_module.DEFAULT_RETRY_LIMITS,
        started_at: float = -1e9,
    ) -> None:
        """Makes a forwarder without requests.

        Args:
            chooser: The choice of a replica.
            health: What this gateway has seen of replicas.
            guard: Contents that no replica may get, and lost runs.
            notices: What replicas said about requests to come.
            permits: Permits for replicas that name a rate limit.
            limits: Retries that all gateways may make together.
            started_at: When the gateway started.
        """
        self._started_at = started_at
        self._chooser = chooser
        self._book = health
        self._guard = guard
        self._notices = notices
        self._permits = permits
        self._budgets = budget_module.GatewayRetryBudgets(limits)
        self._open: dict[str, state.PendingRequest] = {}
        # Servers that refusals named as at fault, not yet reported, in order.
        self._faulty_servers: dict[str, None] = {}
        # Connection limits apply only once the number of gateways is known.
        self._has_gateway_count = False
        self.document: document_module.Document | None = None

    def count_open(self) -> int:
        """Returns how many requests have no final answer yet."""
        return len(self._open)

    def set_gateway_count(self, count: int, now: float) -> None:
        """Takes how many gateways share the retries."""
        self._budgets.set_gateway_count(count, now)
        self._has_gateway_count = True
        self._permits.set_gateway_count(self._budgets.gateway_count)

    def handle(self, event: events.Event, now: float) -> list[events.Effect]:
        """Handles one event."""
        match event:
            case events.ChunkArrived():
                return self._take_piece(event, now)
            case events.RequestArrived(request):
                return self._arrive(request, now)
            case events.ResponseHeadArrived():
                return self._begin(event, now)
            case events.ResponseCompleted():
                return self._end(event, now)
            case events.AttemptFailed(request_id, attempt, verdict, reason):
                opened = self._find(request_id, attempt)
                if opened is None:
                    return []
                return self._fail(opened, verdict, reason, now)
            case events.CallerDisconnected(request_id):
                return self._leave(request_id, now)

    def tick(self, now: float) -> list[events.Effect]:
        """Lets time pass: deadlines, silent replicas, requests that wait."""
        effects: list[events.Effect] = []
        for opened in list(self._open.values()):
            if now >= opened.ends_at:
                effects += self._give_up(opened, now)
            elif stalls.is_overdue(opened, now) and self._can_move(opened, now):
                effects += self._fail(
                    opened, Verdict.MAY_HAVE_RUN, "no_answer", now
                )
        effects += self.dispatch_waiting(now)
        for stall in stalls.find_stalled(
            list(self._open.values()),
            self._book,
            self._find_engine,
            factor=stalls.find_factor(self._started_at, now),
            now=now,
        ):
            effects += self._leave_replica(stall, now)
        return effects

    def pop_faulty_servers(self) -> tuple[str, ...]:
        """Returns and clears the servers that refusals named as at fault."""
        names = tuple(self._faulty_servers)
        self._faulty_servers.clear()
        return names

    def dispatch_waiting(self, now: float) -> list[events.Effect]:
        """Tries the requests that wait for a replica, the most urgent first."""
        waiting = [o for o in self._open.values() if o.phase == "waiting"]
        waiting.sort(key=lambda o: (ranks.find_rank(o), o.arrived_at))
        effects: list[events.Effect] = []
        for opened in waiting:
            effects += self._try(opened, now)
        return effects

    def find_next_wakeup(self, now: float) -> float:
        """Returns when time alone may change something, at the earliest.

        What comes from replicas or callers is handled as it comes; it can only
        put this off.
        """
        due = now + LONGEST_PAUSE_S
        for opened in self._open.values():
            if opened.phase == "waiting":
                return now
            due = min(due, opened.ends_at)
            if opened.attempt is not None and not opened.request.is_stream:
                due = min(due, stalls.find_overdue(opened))
        return min(due, self._find_next_stall(now))

    def _find_next_stall(self, now: float) -> float:
        due = now + LONGEST_PAUSE_S
        factor = stalls.find_factor(self._started_at, now)
        for opened in self._open.values():
            attempt = opened.attempt
            if attempt is None or not opened.request.is_stream:
                continue
            engine = self._find_engine(attempt.replica.service)
            if engine is None:
                continue
            limit_s = factor * stalls.find_limit(
                attempt.replica,
                engine,
                self._book.find_largest_prompt(attempt.replica.model, now),
            )
            seen = self._book.get(attempt.replica)
            due = min(due, max(seen.progress_at, attempt.sent_at) + limit_s)
        return due

    def handle_reported_stalls(
        self, heads: tuple[str, ...], now: float
    ) -> list[events.Effect]:
        """Takes replicas whose streams another gateway saw stop.

        Only those that have given nothing here for some passes, either, are
        left: what the other one saw may have been its own connection.
        """
        effects: list[events.Effect] = []
        for head in heads:
            replica = self._find_used(head)
            if replica is None or self._book.is_stalled(replica, now):
                continue
            engine = self._find_engine(replica.service)
            if engine is None:
                continue
            factor = stalls.find_factor(self._started_at, now)
            limit_s = (
                factor
                * stalls.TOLD_SHARE
                * stalls.find_limit(
                    replica,
                    engine,
                    self._book.find_largest_prompt(replica.model, now),
                )
            )
            if now - self._book.get(replica).progress_at > limit_s:
                stall = stalls.Stall(replica, stalls.Basis.TOLD)
                effects += self._leave_replica(stall, now)
        return effects

    def _find_used(self, head: str) -> model.Replica | None:
        found = self._chooser.find(head)
        if found is not None:
            return found
        for opened in self._open.values():
            attempt = opened.attempt
            if attempt is not None and attempt.replica.name == head:
                return attempt.replica
        return None

    # Arrival and choice.

    def _arrive(
        self, request: model.Request, now: float
    ) -> list[events.Effect]:
        limit_s = request.route.timeout_s
        if request.metadata.budget_s is not None:
            limit_s = min(limit_s, request.metadata.budget_s)
        arrived_at = now - request.waited_s
        opened = state.PendingRequest(
            request,
            arrived_at,
            arrived_at + limit_s,
            last_event_id=request.metadata.last_event_id,
            content=request_hash.hash_request(
                request.workspace,
                (request.method.encode(), request.target, request.body),
            ),
        )
        self._open[request.request_id] = opened
        self._budgets.get_budget(request.service).deposit()
        self._book.note_prompt(
            request.metadata.model, request.metadata.prompt_tokens, now
        )
        return self._try(opened, now)

    def _try(
        self, opened: state.PendingRequest, now: float
    ) -> list[events.Effect]:
        request = opened.request
        if opened.ends_at - now < MIN_BUDGET_S:
            return self._give_up(opened, now)
        # A request that ends its server is sent again by its caller, through
        # any gateway; without a look here, each time two more ended. What all
        # gateways know counts, and arrivals, retries and waiting requests all
        # come by here.
        blocked_s = self._guard.get_block_remaining_s(opened.content, now)
        if blocked_s is not None:
            return self._refuse_blocked(opened, blocked_s, now)
        if self._must_defer(opened, now):
            if refusals.may_wait(opened, now):
                opened.phase = "waiting"
                return []
            return self._refuse_blocked(opened, SUSPECTED_RETRY_S, now)
        chosen = self._chooser.choose(
            request,
            self._find_engine(request.service),
            avoid=opened.failed,
            may_probe=self._budgets.get_budget(request.service).has_balance(
                PROBE_RETRIES
            ),
            max_own_requests=self._find_max_own_requests(request.service),
            now=now,
        )
        match chosen:
            case choice_module.Choice(withheld=withheld):
                if withheld is not None:
                    self._permits.request_permit(
                        withheld, is_needed=False, now=now
                    )
                return self._send(opened, chosen, now)
            case choice_module.NoChoice(withheld=withheld, wait_s=wait_s):
                if withheld is not None:
                    self._permits.request_permit(
                        withheld, is_needed=True, now=now
                    )
                if refusals.may_wait(opened, now + wait_s):
                    opened.phase = "waiting"
                    return []
                return self._refuse(
                    opened, refusals.describe_no_choice(opened, chosen), now
                )

    def _must_defer(self, opened: state.PendingRequest, now: float) -> bool:
        """Returns whether a request must not be sent yet: it may end a server.

        A request whose answer has started is not deferred. Submissions of a
        suspected content are sent one at a time: in parallel, each could end a
        server before the first loss is known.
        """
        content = opened.content
        if opened.started or not self._guard.is_suspected(content, now):
            return False
        if not self._guard.may_send(content, runs=opened.runs, now=now):
            return True
        return any(
            other.content == content
            and other.attempt is not None
            and not other.attempt.has_given
            for other in self._open.values()
            if other is not opened
        )

    def _send(
        self,
        opened: state.PendingRequest,
        chosen: choice_module.Choice,
        now: float,
    ) -> list[events.Effect]:
        request, replica = opened.request, chosen.replica
        opened.attempts += 1
        if opened.first_sent_at is None:
            opened.first_sent_at = now
        opened.phase = "running"
        opened.offered = True
        attempt = state.Attempt(opened.attempts, replica, now, now)
        if request.is_stream:
            attempt.cutter = stream.EventCutter(opened.last_event_id)
        opened.attempt = opened.last = attempt
        seen = self._book.get(replica)
        attempt.choice = state.Choice(
            chosen.weighed,
            chosen.estimate_s,
            seen.own_requests,
            now - seen.told_at if seen.told_at > 0 else None,
            self._permits.get_limit_per_s(replica, now),
            chosen.paused,
        )
        self._permits.consume_permit(replica, now)
        seen.own_requests += 1
        seen.reading += request.metadata.prompt_tokens
        effects: list[events.Effect] = [
            events.StartAttempt(
                request=request,
                attempt=attempt.number,
                replica=replica,
                budget_s=opened.ends_at - now,
                last_event_id=opened.last_event_id,
                rank=ranks.find_rank(opened),
            )
        ]
        if attempt.number > 1:
            # Of the first one the line at the end tells.
            effects.append(descriptions.describe_attempt(opened, attempt))
        return effects

    # What comes back.

    def _find(
        self, request_id: str, attempt: int
    ) -> state.PendingRequest | None:
        """Returns the request whose present try this is.

        What a former try still brings is dropped here: its request has moved
        on, or is answered.
        """
        opened = self._open.get(request_id)
        if opened is None or opened.attempt is None:
            return None
        return opened if opened.attempt.number == attempt else None

    def _begin(
        self, event: events.ResponseHeadArrived, now: float
    ) -> list[events.Effect]:
        opened = self._find(event.request_id, event.attempt)
        if opened is None:
            return []
        attempt, head = opened.attempt, event.head
        assert attempt is not None
        attempt.head = head
        if head.load is not None:
            self._book.note_load(attempt.replica, head.load, now)
        effects = self._note_limit(opened, attempt.replica, head, now)
        # An answer to another request still describes the state of its server.
        # That request may have been sent before the latest refusal, so its
        # answer ends neither an estimated pause nor the doubt after a named
        # one. Refusals always count: some servers omit the attempt id.
        is_own_answer = (
            head.echoed_attempt_id == opened.request.metadata.attempt_id
        )
        if self._notices.record_response(
            attempt.replica,
            head,
            sent_at=(
                attempt.sent_at if is_own_answer or head.not_run else -math.inf
            ),
            now=now,
        ):
            effects.append(descriptions.describe_leaving(attempt.replica))
        if head.malformed_headers:
            effects.append(
                descriptions.describe_unreadable(
                    attempt.replica, head.malformed_headers
                )
            )
        return effects + self._take_head(opened, attempt, head, now)

    def _note_limit(
        self,
        opened: state.PendingRequest,
        replica: model.Replica,
        head: model.ResponseHead,
        now: float,
    ) -> list[events.Effect]:
        """Takes whether a replica names a rate limit.

        An answer to another request may have been held up for long. A refusal
        may leave out what other answers tell, so it ends no limit.
        """
        if head.echoed_attempt_id != opened.request.metadata.attempt_id or (
            head.not_run and head.limit_per_s is None
        ):
            return []
        if not self._permits.record_response(replica, head.limit_per_s, now):
            return []
        return [descriptions.describe_limit(replica, head.limit_per_s)]

    def _take_head(
        self,
        opened: state.PendingRequest,
        attempt: state.Attempt,
        head: model.ResponseHead,
        now: float,
    ) -> list[events.Effect]:
        if head.echoed_attempt_id != opened.request.metadata.attempt_id:
            # The answer to another request: this connection is mixed up, and
            # nothing of it may reach this caller.
            verdict = Verdict.NOT_RUN if head.not_run else Verdict.MAY_HAVE_RUN
            if head.echoed_attempt_id or not head.not_run:
                verdict = Verdict.MAY_HAVE_RUN
            return self._fail(opened, verdict, "foreign_answer", now)
        if head.not_run:
            if (
                head.faulty_server not in ("", attempt.replica.name)
                and len(self._faulty_servers) < MAX_FAULTY_SERVERS
            ):
                self._faulty_servers[head.faulty_server] = None
            return self._fail(opened, Verdict.NOT_RUN, "refused", now)
        if head.has_content_encoding or (
            head.status < 300 and not head.is_signed
        ):
            return self._fail(
                opened, Verdict.MAY_HAVE_RUN, "spoiled_answer", now
            )
        if opened.started and head.status != 200:
            # The caller has a part of a stream. The whole answer of a replica
            # that failed to go on would end it as whole, and too short.
            return self._fail(opened, Verdict.RAN, f"status_{head.status}", now)
        attempt.heard_at = now
        if attempt.cutter is not None and head.status != 200:
            attempt.cutter = None
        return []

    def _take_piece(
        self, event: events.ChunkArrived, now: float
    ) -> list[events.Effect]:
        opened = self._find(event.request_id, event.attempt)
        if opened is None or opened.attempt is None:
            return []
        attempt = opened.attempt
        attempt.heard_at = now
        if attempt.cutter is None:
            attempt.body += event.data
            if len(attempt.body) > MAX_WHOLE_BYTES:
                return answers.give_begun(opened)
            return []
        self._book.note_progress(attempt.replica, now)
        cut = attempt.cutter.feed(event.data)
        effects: list[events.Effect] = []
        if cut.data:
            opened.note_events(now)
            effects += answers.start_stream(opened, self._book)
            effects.append(events.WriteChunk(event.request_id, cut.data))
            opened.last_event_id = attempt.cutter.last_event_id
        if cut.problem:
            effects += self._fail(
                opened, Verdict.MAY_HAVE_RUN, cut.problem, now
            )
        return effects

    def _end(
        self, event: events.ResponseCompleted, now: float
    ) -> list[events.Effect]:
        opened = self._find(event.request_id, event.attempt)
        if opened is None or opened.attempt is None:
            return []
        attempt = opened.attempt
        if attempt.cutter is not None:
            if not attempt.cutter.is_between:
                return self._fail(
                    opened, Verdict.MAY_HAVE_RUN, "cut_in_event", now
                )
            effects = answers.start_stream(opened, self._book)
        elif answers.is_worth_another(opened):
            return self._fail(
                opened,
                Verdict.RAN,
                f"status_{attempt.head.status if attempt.head else 0}",
                now,
            )
        else:
            effects = answers.give_whole(opened)
        head = attempt.head
        if head is not None and head.status < 500:
            self._book.note_success(attempt.replica)
            if attempt.cutter is None or attempt.has_given:
                self._guard.record_complete_response(opened.content, now)
        elif head is not None:
            self._book.note_failure(attempt.replica, now)
        effects.append(events.FinishResponse(event.request_id))
        return effects + self._close(opened, "answered", now)

    # Failures.

    def _fail(
        self,
        opened: state.PendingRequest,
        verdict: verdict_module.Verdict,
        reason: str,
        now: float,
    ) -> list[events.Effect]:
        attempt = opened.attempt
        assert attempt is not None
        kept = attempt
        if reason != "refused":
            self._book.note_failure(attempt.replica, now)
        if reason == model.CONNECT_TIMEOUT:
            # Cut off or dark: the next request would lose the same time.
            self._book.mark_stalled(attempt.replica, now)
        if verdict is Verdict.MAY_HAVE_RUN:
            self._note_lost(opened, attempt, now)
        effects = self._end_attempt(opened, verdict)
        effects.append(
            descriptions.describe_failure(
                opened, kept, verdict=verdict, reason=reason, now=now
            )
        )
        return effects + self._retry(opened, reason, now)

    def _end_attempt(
        self, opened: state.PendingRequest, verdict: verdict_module.Verdict
    ) -> list[events.Effect]:
        attempt = opened.attempt
        assert attempt is not None
        self._release(opened)
        opened.verdict = verdict_module.combine_verdicts(
            opened.verdict, verdict
        )
        if verdict is not Verdict.NOT_RUN:
            opened.runs += 1
        opened.failed.add(attempt.replica.name)
        return [events.CancelAttempt(opened.request.request_id, attempt.number)]

    def _retry(
        self, opened: state.PendingRequest, reason: str, now: float
    ) -> list[events.Effect]:
        has_time = opened.ends_at - now > MIN_BUDGET_S
        if not (has_time and opened.may_repeat and opened.attempts < MAX_SENDS):
            return self._end_failed(opened, reason, now)
        if not self._budgets.get_budget(opened.request.service).try_withdraw():
            return self._end_failed(opened, "retry_budget_spent", now)
        return self._try(opened, now)

    def _end_failed(
        self, opened: state.PendingRequest, reason: str, now: float
    ) -> list[events.Effect]:
        if opened.started:
            broken = events.AbortResponse(opened.request.request_id)
            return [broken, *self._close(opened, f"broken_{reason}", now)]
        return self._refuse(
            opened, refusals.describe_failure(opened, reason), now
        )

    def _can_move(self, opened: state.PendingRequest, now: float) -> bool:
        """Says whether a request surely finds another replica.

        One that gives nothing may still go on; to leave it without another
        one would end an answer that could have come.
        """
        attempt = opened.attempt
        if (
            attempt is None
            or not opened.request.route.is_retryable
            or opened.runs + 1 >= opened.request.route.max_attempts
            or opened.attempts >= MAX_SENDS
            or opened.ends_at - now <= MIN_BUDGET_S
            or not self._budgets.get_budget(opened.request.service).has_balance(
                1
            )
        ):
            return False
        chosen = self._chooser.choose(
            opened.request,
            self._find_engine(opened.request.service),
            avoid={*opened.failed, attempt.replica.name},
            may_probe=False,
            max_own_requests=self._find_max_own_requests(
                opened.request.service
            ),
            now=now,
        )
        return isinstance(chosen, choice_module.Choice)

    def _leave_replica(
        self, stall: stalls.Stall, now: float
    ) -> list[events.Effect]:
        """Moves all requests away from a replica that has stopped."""
        replica = stall.replica
        is_sure = stall.basis is stalls.Basis.RUNNING
        self._book.mark_stalled(replica, now, is_sure=is_sure)
        streams = [
            opened
            for opened in self._open.values()
            if opened.attempt is not None
            and opened.attempt.replica.name == replica.name
            and opened.request.is_stream
        ]
        effects: list[events.Effect] = [
            descriptions.describe_stall(
                stall, self._book.get(replica), len(streams), now
            )
        ]
        for opened in streams:
            if self._can_move(opened, now):
                effects += self._fail(
                    opened, Verdict.MAY_HAVE_RUN, "stalled", now
                )
        return effects

    # Ends.

    def _give_up(
        self, opened: state.PendingRequest, now: float
    ) -> list[events.Effect]:
        effects = self._end_unanswered(opened, now)
        return effects + self._end_failed(opened, "deadline", now)

    def _refuse_blocked(
        self, opened: state.PendingRequest, blocked_s: float, now: float
    ) -> list[events.Effect]:
        if opened.started:
            return self._end_failed(opened, refusals.BLOCKED_REASON, now)
        refusal = refusals.describe_block(opened, blocked_s)
        return self._refuse(opened, refusal, now)

    def _end_unanswered(
        self, opened: state.PendingRequest, now: float
    ) -> list[events.Effect]:
        """Ends a try that is under way, if there is one."""
        attempt = opened.attempt
        if attempt is None:
            return []
        if now - attempt.heard_at > SILENT_S:
            self._note_lost(opened, attempt, now)
        return self._end_attempt(opened, Verdict.MAY_HAVE_RUN)

    def _note_lost(
        self, opened: state.PendingRequest, attempt: state.Attempt, now: float
    ) -> None:
        replica = attempt.replica
        self._guard.record_lost_run(
            opened.content, replica.name, replica.born, now
        )

    def _leave(self, request_id: str, now: float) -> list[events.Effect]:
        opened = self._open.get(request_id)
        if opened is None:
            return []
        effects = self._end_unanswered(opened, now)
        return effects + self._close(opened, "caller_left", now)

    def _refuse(
        self, opened: state.PendingRequest, refusal: events.Refuse, now: float
    ) -> list[events.Effect]:
        return [
            refusal,
            *self._close(opened, f"refused_{refusal.reason}", now),
        ]

    def _close(
        self, opened: state.PendingRequest, outcome: str, now: float
    ) -> list[events.Effect]:
        self._release(opened)
        request = opened.request
        del self._open[request.request_id]
        return [
            descriptions.describe_end(
                opened,
                outcome,
                version=self.document.version if self.document else 0,
                now=now,
            )
        ]

    def _release(self, opened: state.PendingRequest) -> None:
        attempt = opened.attempt
        if attempt is None:
            return
        seen = self._book.get(attempt.replica)
        seen.own_requests -= 1
        if not attempt.has_given:
            seen.reading -= opened.request.metadata.prompt_tokens
        opened.attempt = None

    def _find_max_own_requests(self, service: str) -> int | None:
        """Returns how many requests of this gateway a replica may run at once.

        A replica resets connections above its limit, along with the requests on
        them. Gateways share the limit equally. Each may run at least one
        request, so that none is locked out when gateways outnumber connections.
        """
        found = self.document.find_service(service) if self.document else None
        if found is None or not (
            found.max_connections and self._has_gateway_count
        ):
            return None
        available = int(CONNECTION_SHARE * found.max_connections)
        return max(1, available // self._budgets.gateway_count)

    def _find_engine(
        self, service: str
    ) -> document_module.EngineProfile | None:
        if self.document is None:
            return None
        found = self.document.find_service(service)
        return found.engine if found else None
