"""Sends requests to other replicas while theirs are silent for too long."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead.forwarding import (
    choice as choice_module,
    descriptions,
    events,
    stall_monitor,
    stalls,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hickorylead.admission import windowed_budget
    from hickorylead.forwarding import (
        attempts as attempts_module,
        health as health_module,
        model,
        run_guard as run_guard_module,
        selection,
        state,
    )


class RequestMover:
    """Moves the pending requests of one gateway.

    All silence is judged as of a time up to which all input of the process has
    been handled. Otherwise a pause of the process would count as silence of all
    replicas.
    """

    def __init__(
        self,
        pending: Mapping[str, state.PendingRequest],
        *,
        chooser: choice_module.Chooser,
        health: health_module.HealthTracker,
        monitor: stall_monitor.StallMonitor,
        selector: selection.Selector,
        attempts: attempts_module.AttemptTracker,
        run_guard: run_guard_module.RunGuard,
        retries: windowed_budget.GatewayRetryBudgets,
    ) -> None:
        """Makes a mover.

        Args:
            pending: All pending requests, by id; kept up to date by its owner.
            chooser: The choice of a replica.
            health: Statistics of the replicas.
            monitor: Finds stalled replicas.
            selector: Selects replicas by the configuration in force.
            attempts: Attempts of the pending requests.
            run_guard: Blocks and defers requests.
            retries: Retries that this gateway may make.
        """
        self._pending = pending
        self._chooser = chooser
        self._health = health
        self._monitor = monitor
        self._selector = selector
        self._attempts = attempts
        self._run_guard = run_guard
        self._retries = retries
        # Heads of groups whose stalls other gateways reported since the last
        # check, in the order of the reports.
        self._reported: dict[str, None] = {}

    def record_reported_stalls(self, heads: tuple[str, ...]) -> None:
        """Records stalls that another gateway reported, for the next check."""
        self._reported.update(dict.fromkeys(heads))

    def check_stalls(self, late_s: float, now: float) -> list[events.Effect]:
        """Moves streams from replicas that have stalled.

        Args:
            late_s: How much later than planned this is called, in seconds.
            now: Present time.
        """
        effects: list[events.Effect] = []
        heads, self._reported = self._reported, {}
        for head in heads:
            replica = self._find_replica(head)
            if replica is not None and self._monitor.is_report_credible(
                replica, now - late_s
            ):
                stall = stalls.Stall(
                    replica, stalls.Basis.REPORTED, late_s=late_s
                )
                effects += self.move_streams(stall, now)
        for stall in self._monitor.find_stalled(late_s, now):
            effects += self.move_streams(stall, now)
        return effects

    def _find_replica(self, head: str) -> model.Replica | None:
        found = self._chooser.find(head)
        if found is not None:
            return found
        for pending in self._pending.values():
            attempt = pending.attempt
            if attempt is not None and attempt.replica.name == head:
                return attempt.replica
        return None

    def handle_overdue(
        self,
        pending: state.PendingRequest,
        attempt: state.Attempt,
        now: float,
    ) -> list[events.Effect]:
        """Handles a call that has waited too long for its response."""
        effects: list[events.Effect] = []
        if not attempt.was_probed and attempt.relay is None:
            attempt.was_probed = True
            effects.append(events.ProbeServer(attempt.replica))
        return effects + self._start_successor(
            pending, attempt, "no_answer", now
        )

    def move_streams(
        self, stall: stalls.Stall, now: float
    ) -> list[events.Effect]:
        """Moves streams from a stalled replica to others where possible."""
        replica = stall.replica
        streams = [
            (pending, attempt)
            for pending in self._pending.values()
            if (attempt := pending.attempt) is not None
            and attempt.replica.name == replica.name
            and pending.request.is_stream
        ]
        # Streams through a relay may have stopped because of the relay.
        is_direct = any(attempt.relay is None for _, attempt in streams)
        is_confirmed = is_direct and stall.basis is stalls.Basis.RUNNING
        self._health.mark_stalled(replica, now, is_confirmed=is_confirmed)
        effects: list[events.Effect] = [
            descriptions.describe_stall(
                stall, self._health.get(replica), len(streams), now
            )
        ]
        if is_direct and stall.basis is not stalls.Basis.REPORTED:
            effects.append(events.ProbeServer(replica))
        for pending, attempt in streams:
            effects += self._start_successor(pending, attempt, "stalled", now)
        return effects

    def replace_successor(
        self,
        pending: state.PendingRequest,
        attempt: state.Attempt,
        now: float,
    ) -> list[events.Effect]:
        """Sends a request whose successor failed to another replica."""
        return self._start_successor(pending, attempt, attempt.suspicion, now)

    def _start_successor(
        self,
        pending: state.PendingRequest,
        attempt: state.Attempt,
        reason: str,
        now: float,
    ) -> list[events.Effect]:
        """Sends a request to one more replica and keeps its current attempt.

        Everything that may prevent this is checked first: the request stays
        where it is otherwise.
        """
        if (
            not pending.request.route.is_retryable
            or not pending.may_send_again(now)
            or not self._retries.may_retry(pending.request.service, now)
        ):
            return []
        live = {attempt.replica.name for attempt in pending.live_attempts}
        chosen = self._selector.choose(
            pending,
            avoid=pending.failed_replicas | live,
            may_probe=False,
            now=now,
        )
        if not isinstance(chosen, choice_module.Choice):
            return []
        effects = self._attempts.suspect(pending, attempt, reason, now)
        if self._run_guard.is_withheld(pending, now):
            return effects
        return effects + self._attempts.start(pending, chosen, now)
