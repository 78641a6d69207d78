"""Reducer that forwards the requests of one gateway.

A request is sent to a replica, is retried on another replica if that is
allowed, and ends with exactly one final effect. It is never sent a second time
unless it may run twice or certainly has not run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead import verdict as verdict_module
from hickorylead.crashes import crash_guard as crash_guard_module
from hickorylead.draining import admission as admission_module
from hickorylead.forwarding import (
    arrivals as arrivals_module,
    attempts as attempts_module,
    choice as choice_module,
    connection_monitor,
    endings as endings_module,
    events,
    model,
    ranks,
    refusals,
    request_mover,
    response_handler,
    response_heads,
    run_guard,
    selection,
    shared_limits,
    stall_monitor,
    stalls,
    state,
)

if TYPE_CHECKING:
    from hickorylead.configuration import document as document_module
    from hickorylead.forwarding import health as health_module
    from hickorylead.notices import notice_store as notice_store_module
    from hickorylead.ratelimits import permit_pool as permit_pool_module
    from hickorylead.relaying import relay_directory

Verdict = verdict_module.Verdict

# Number of retries that the budget must cover before a request may be sent as a
# probe to a server whose pause has ended and that may refuse it: one retry for
# this request, and one for another request that needs it.
PROBE_RETRIES = 2
# Retry time for a request that is suspected to end servers, in seconds. After
# this time, the current run of the request has sent its first event or has
# ended its server.
SUSPECTED_RETRY_AFTER_S = 1.0
# Maximum time between two checks of the pending requests, in seconds. A replica
# may count as stalled earlier than expected, because of reports by other
# gateways.
MAX_WAKEUP_DELAY_S = 0.25
# Time after a limit at which it is checked, in seconds. Silence is judged as of
# the planned time of a check, which must therefore be past the limit.
CHECK_DELAY_S = 0.001


class Forwarder:
    """All pending requests of one gateway."""

    def __init__(
        self,
        *,
        chooser: choice_module.Chooser,
        health: health_module.HealthTracker,
        guard: crash_guard_module.CrashGuard,
        notices: notice_store_module.NoticeStore,
        permits: permit_pool_module.PermitPool,
        connections: connection_monitor.ConnectionMonitor,
        relays: relay_directory.RelayDirectory,
        limits: shared_limits.SharedLimits,
        started_at: float = -1e9,
    ) -> None:
        """Makes a forwarder without requests.

        Args:
            chooser: The choice of a replica.
            health: Load, stalls and failures observed of replicas.
            guard: Requests that no replica may run, and lost runs.
            notices: Pauses and departures that replicas announced.
            permits: Permits for replicas that name a rate limit.
            connections: Servers to which this gateway can connect.
            relays: Gateways that relay requests to the others.
            limits: This gateway's part of limits that all gateways share.
            started_at: When the gateway started.
        """
        self._selector = selection.Selector(chooser, limits)
        self._health = health
        self._notices = notices
        self._permits = permits
        self._connections = connections
        self._relays = relays
        self._limits = limits
        self._retries = limits.retries
        self._pending: dict[str, state.PendingRequest] = {}
        self._admission = admission_module.StopAdmission()
        self._arrivals = arrivals_module.Arrivals(self._admission)
        self._run_guard = run_guard.RunGuard(guard, self._pending)
        self._heads = response_heads.HeadEvaluator(
            health=health, notices=notices, permits=permits
        )
        self._attempts = attempts_module.AttemptTracker(
            self._pending,
            health=health,
            permits=permits,
            connections=connections,
            relays=relays,
            retries=limits.retries,
            run_guard=self._run_guard,
        )
        self._endings = endings_module.Endings(
            self._pending,
            attempts=self._attempts,
            admission=self._admission,
            arrivals=self._arrivals,
            selector=self._selector,
        )
        self._responses = response_handler.ResponseHandler(
            attempts=self._attempts,
            heads=self._heads,
            health=health,
            relays=relays,
            run_guard=self._run_guard,
            fail_attempt=self._fail_attempt,
            finish=self._endings.finish,
        )
        self._stall_monitor = stall_monitor.StallMonitor(
            self._pending,
            health=health,
            find_engine=self._selector.find_engine,
            started_at=started_at,
        )
        self.mover = request_mover.RequestMover(
            self._pending,
            chooser=chooser,
            health=health,
            monitor=self._stall_monitor,
            selector=self._selector,
            attempts=self._attempts,
            run_guard=self._run_guard,
            retries=limits.retries,
        )

    @property
    def document(self) -> document_module.Document | None:
        """The configuration in force."""
        return self._selector.document

    @document.setter
    def document(self, document: document_module.Document) -> None:
        self._selector.document = document

    def count_pending(self) -> int:
        """Returns the number of pending requests."""
        return len(self._pending)

    def handle(self, event: events.Event, now: float) -> list[events.Effect]:
        """Handles one event."""
        match event:
            case events.ChunkArrived():
                return self._responses.handle_chunk(event, now)
            case events.RequestOpened():
                return self._arrivals.open(event, now)
            case events.RequestDropped(request_id):
                self._arrivals.close(request_id)
                return []
            case events.RequestArrived(request):
                return self._handle_arrival(request, now)
            case events.TimeOver(request_id):
                return self._endings.stop(request_id, now)
            case events.AttemptConnected(request_id, attempt):
                found = self._attempts.find(request_id, attempt)
                if found is None:
                    return []
                return self._connections.record_connected(found[1].replica, now)
            case events.ResponseHeadArrived():
                return self._responses.handle_head(event, now)
            case events.ResponseCompleted():
                return self._responses.handle_completion(event, now)
            case events.AttemptFailed(request_id, attempt, verdict, reason):
                found = self._attempts.find(request_id, attempt)
                if found is None:
                    return []
                return self._fail_attempt(*found, verdict, reason, now)
            case events.CallerDisconnected(request_id):
                return self._endings.handle_disconnect(request_id, now)
            case events.ServerProbed():
                effects = self._connections.handle_probe(event, now)
                return [*effects, *self.dispatch_waiting(now)]

    def set_buffer_limit(self, max_bytes: int) -> None:
        """Sets the maximum size of all buffered responses, in bytes."""
        self._responses.max_buffered_bytes = max_bytes

    def stop(self, ends_at: float) -> None:
        """Refuses from now on what cannot be finished by a given time."""
        self._admission.stop(ends_at)

    def tick(self, now: float, late_s: float = 0.0) -> list[events.Effect]:
        """Handles deadlines, waiting requests and stalled replicas.

        Args:
            now: Present time.
            late_s: How much later than planned this is called, in seconds. All
                input of the process up to the planned time has been handled.
        """
        effects = [*self._connections.tick(now), *self._arrivals.check(now)]
        for pending in list(self._pending.values()):
            if now >= pending.ends_at:
                effects += self._endings.expire(pending, now)
            elif stalls.is_overdue(pending, now - late_s):
                effects += self.mover.handle_overdue(pending, now)
            elif pending.needs_successor:
                effects += self.mover.replace_successor(pending, now)
        effects += self.dispatch_waiting(now)
        return effects + self.mover.check_stalls(late_s, now)

    def pop_faulty_servers(self) -> tuple[str, ...]:
        """Returns and clears the servers that refusals named as at fault."""
        return self._heads.pop_faulty_servers()

    def dispatch_waiting(self, now: float) -> list[events.Effect]:
        """Tries to send the waiting requests, the most urgent first."""
        waiting = [o for o in self._pending.values() if o.phase == "waiting"]
        waiting.sort(key=lambda o: (ranks.find_rank(o), o.arrived_at))
        effects: list[events.Effect] = []
        for pending in waiting:
            effects += self._try_send(pending, now)
        return effects

    def find_next_wakeup(self, now: float) -> float:
        """Returns the earliest time at which `tick` may have something to do.

        Events from replicas and callers are handled when they arrive; they can
        only postpone this time.
        """
        due = now + MAX_WAKEUP_DELAY_S
        for pending in self._pending.values():
            if pending.phase == "waiting" or pending.needs_successor:
                return now
            due = min(due, pending.ends_at)
            if pending.attempt is not None and not pending.request.is_stream:
                due = min(due, stalls.find_overdue_at(pending))
        return self._stall_monitor.find_next_check(now, due) + CHECK_DELAY_S

    # Arrival and choice.

    def _handle_arrival(
        self, request: model.Request, now: float
    ) -> list[events.Effect]:
        self._arrivals.close(request.request_id)
        pending = state.make_pending(request, now)
        self._pending[request.request_id] = pending
        self._retries.record_request(request.service, now)
        self._record_prompt(request, now)
        return self._try_send(pending, now)

    def _record_prompt(self, request: model.Request, now: float) -> None:
        """Records the size of a prompt that its service can read."""
        document = self.document
        service = document.find_service(request.service) if document else None
        engine = service.engine if service else None
        name = request.metadata.model
        if engine is not None and engine.find_model(name) is not None:
            tokens = min(request.metadata.prompt_tokens, engine.kv_cache_tokens)
            self._health.record_prompt(name, tokens, now)

    def _try_send(
        self, pending: state.PendingRequest, now: float
    ) -> list[events.Effect]:
        request = pending.request
        if pending.ends_at - now < state.MIN_TIME_LEFT_S:
            return self._endings.expire(pending, now)
        # Arrivals, retries and waiting requests all pass through this method.
        if not self._may_finish(pending, now):
            return self._endings.refuse(
                pending, refusals.refuse_stopping(pending), now
            )
        blocked_s = self._run_guard.find_block_remaining_s(pending, now)
        if blocked_s is not None:
            return self._endings.refuse_blocked(pending, blocked_s, now)
        if self._run_guard.must_defer(pending, now):
            if refusals.may_wait(pending, now) and not pending.runs:
                pending.phase = "waiting"
                return []
            return self._endings.refuse_blocked(
                pending, SUSPECTED_RETRY_AFTER_S, now
            )
        if pending.was_received and not self._may_repeat(pending, now):
            if pending.started and pending.phase == "waiting":
                return []
            return self._endings.fail(pending, "retry_budget_spent", now)
        balance = self._retries.get_balance(request.service, now)
        chosen = self._selector.choose(
            pending,
            avoid=pending.failed_replicas,
            may_probe=balance >= PROBE_RETRIES,
            now=now,
        )
        match chosen:
            case choice_module.Choice(withheld=withheld):
                if withheld is not None:
                    self._permits.request_permit(
                        withheld, is_needed=False, now=now
                    )
                return self._attempts.start(pending, chosen, now)
            case choice_module.NoChoice(withheld=withheld, wait_s=wait_s):
                if withheld is not None:
                    self._permits.request_permit(
                        withheld, is_needed=True, now=now
                    )
                if chosen.unreachable_count:
                    self._relays.record_need(is_lacking=True, now=now)
                if self._may_wait(pending, chosen, now + wait_s):
                    pending.phase = "waiting"
                    return []
                return self._endings.refuse(
                    pending,
                    refusals.refuse_without_choice(pending, chosen),
                    now,
                )

    def _may_finish(self, pending: state.PendingRequest, now: float) -> bool:
        """Returns whether a request can still end before the process does.

        One that may have run is sent again: refusing it would help nobody.
        """
        if pending.started or pending.verdict is not Verdict.NOT_RUN:
            return True
        return self._admission.may_finish(
            pending.request.route.name, pending.ends_at - now, now
        )

    def _may_repeat(self, pending: state.PendingRequest, now: float) -> bool:
        """Returns whether the budget covers a retry of a request."""
        return self._retries.may_retry(pending.request.service, now)

    def _may_wait(
        self,
        pending: state.PendingRequest,
        chosen: choice_module.NoChoice,
        now: float,
    ) -> bool:
        if chosen.is_unreachable and not pending.started:
            return self._relays.may_get_offers(now)
        return refusals.may_wait(pending, now)

    # Failures.

    def _fail_attempt(
        self,
        pending: state.PendingRequest,
        attempt: state.Attempt,
        verdict: verdict_module.Verdict,
        reason: str,
        now: float,
    ) -> list[events.Effect]:
        is_current = attempt is pending.attempt
        effects = self._attempts.fail(pending, attempt, verdict, reason, now)
        if not pending.live_attempts:
            return effects + self._retry(pending, reason, now)
        if is_current:
            # The previous attempt is still there, though silent.
            self._attempts.restore(pending)
            pending.needs_successor = True
            effects += self.mover.replace_successor(pending, now)
        return effects

    def _retry(
        self, pending: state.PendingRequest, reason: str, now: float
    ) -> list[events.Effect]:
        if not (pending.may_send_again(now)):
            return self._endings.fail(pending, reason, now)
        return self._try_send(pending, now)
