"""Reducer that forwards the requests of one gateway.

A request is sent to a replica, is retried on another replica if that is
allowed, and ends with exactly one final effect. It is never sent a second time
unless it may run twice or certainly has not run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead import isolation, verdict as verdict_module
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
    request_mover,
    request_sender,
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
        self._sender = request_sender.RequestSender(
            attempts=self._attempts,
            endings=self._endings,
            selector=self._selector,
            run_guard=self._run_guard,
            permits=permits,
            relays=relays,
            retries=limits.retries,
            admission=self._admission,
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
        """Handles one event.

        A request whose event cannot be handled ends with a log line.
        """
        try:
            return self._handle(event, now)
        except Exception as error:  # noqa: BLE001 - logged, with its place
            pending = self._find_pending(event)
            if pending is None:
                raise
            return self._endings.end_failed(pending, error, now)

    def _find_pending(self, event: events.Event) -> state.PendingRequest | None:
        match event:
            case events.ServerProbed() | events.RequestOpened():
                return None
            case events.RequestArrived(request):
                return self._pending.get(request.request_id)
            case _:
                return self._pending.get(event.request_id)

    def _handle(self, event: events.Event, now: float) -> list[events.Effect]:
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
        return isolation.collect_effects(
            {
                "check of connections": lambda: self._connections.tick(now),
                "check of arrivals": lambda: self._arrivals.check(now),
                "check of requests": lambda: self._check_pending(late_s, now),
                "dispatch": lambda: self.dispatch_waiting(now),
                "check of stalls": lambda: self.mover.check_stalls(late_s, now),
            }
        )

    def _check_pending(self, late_s: float, now: float) -> list[events.Effect]:
        """Handles deadlines and silent attempts."""
        effects: list[events.Effect] = []
        for pending in list(self._pending.values()):
            try:
                effects += self._check(pending, late_s, now)
            except Exception as error:  # noqa: BLE001 - logged, with its place
                effects += self._endings.end_failed(pending, error, now)
        return effects

    def _check(
        self, pending: state.PendingRequest, late_s: float, now: float
    ) -> list[events.Effect]:
        if now >= pending.ends_at:
            return self._endings.expire(pending, now)
        phase = pending.phase
        if not phase.attempt:
            return []
        if stalls.is_overdue(pending, now - late_s):
            return self.mover.handle_overdue(pending, phase.attempt, now)
        if phase.needs_successor:
            return self.mover.replace_successor(pending, phase.attempt, now)
        return []

    def pop_faulty_servers(self) -> tuple[str, ...]:
        """Returns and clears the servers that refusals named as at fault."""
        return self._heads.pop_faulty_servers()

    def dispatch_waiting(self, now: float) -> list[events.Effect]:
        """Tries to send the waiting requests, the most urgent first."""
        waiting = [o for o in self._pending.values() if o.is_waiting]
        waiting.sort(key=lambda o: (ranks.find_rank(o), o.arrived_at))
        effects: list[events.Effect] = []
        for pending in waiting:
            try:
                effects += self._sender.send(pending, now, has_waited=True)
            except Exception as error:  # noqa: BLE001 - logged, with its place
                effects += self._endings.end_failed(pending, error, now)
        return effects

    def find_next_wakeup(self, now: float) -> float:
        """Returns the earliest time at which `tick` may have something to do.

        Events from replicas and callers are handled when they arrive; they can
        only postpone this time.
        """
        due = now + MAX_WAKEUP_DELAY_S
        for pending in self._pending.values():
            phase = pending.phase
            if not phase.attempt or phase.needs_successor:
                return now
            if not pending.request.is_stream:
                overdue_at = stalls.find_overdue_at(
                    pending.request, phase.attempt
                )
                due = min(due, overdue_at)
            due = min(due, pending.ends_at)
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
        return self._sender.send(pending, now)

    def _record_prompt(self, request: model.Request, now: float) -> None:
        """Records the size of a prompt that its service can read."""
        document = self.document
        service = document.find_service(request.service) if document else None
        engine = service.engine if service else None
        name = request.metadata.model
        if engine is not None and engine.find_model(name) is not None:
            tokens = min(request.metadata.prompt_tokens, engine.kv_cache_tokens)
            self._health.record_prompt(name, tokens, now)

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
        match pending.phase:
            case state.Waiting():
                effects += self._retry(pending, reason, now)
            case state.Running(previous) as phase if is_current:
                # The previous attempt is still there, though silent.
                phase.needs_successor = True
                effects += self.mover.replace_successor(pending, previous, now)
        return effects

    def _retry(
        self, pending: state.PendingRequest, reason: str, now: float
    ) -> list[events.Effect]:
        if not (pending.may_send_again(now)):
            return self._endings.fail(pending, reason, now)
        return self._sender.send(pending, now)
