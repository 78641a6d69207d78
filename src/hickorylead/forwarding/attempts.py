"""Attempts of one gateway's requests: sent, suspected, failed and cancelled.

An attempt whose replica is silent may still go on. It is therefore kept beside
the next attempt until one of the two has output; only then the other one is
cancelled.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead import verdict as verdict_module
from hickorylead.forwarding import (
    descriptions,
    events,
    model,
    ranks,
    state,
    stream,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hickorylead.admission import windowed_budget
    from hickorylead.forwarding import (
        choice as choice_module,
        connection_monitor,
        health as health_module,
        run_guard as run_guard_module,
    )
    from hickorylead.ratelimits import permit_pool as permit_pool_module
    from hickorylead.relaying import relay_directory

Verdict = verdict_module.Verdict

# Reason code of an attempt that was cancelled because a previous one went on.
OVERTAKEN = "overtaken"


class AttemptTracker:
    """Attempts of the pending requests of one gateway."""

    def __init__(
        self,
        pending: Mapping[str, state.PendingRequest],
        *,
        health: health_module.HealthTracker,
        permits: permit_pool_module.PermitPool,
        connections: connection_monitor.ConnectionMonitor,
        relays: relay_directory.RelayDirectory,
        retries: windowed_budget.GatewayRetryBudgets,
        run_guard: run_guard_module.RunGuard,
    ) -> None:
        """Makes a tracker.

        Args:
            pending: All pending requests, by id; kept up to date by its owner.
            health: Load, stalls and failures observed of replicas.
            permits: Permits for replicas that name a rate limit.
            connections: Servers to which this gateway can connect.
            relays: Gateways that relay requests to the others.
            retries: Retries that this gateway may make.
            run_guard: Records what becomes of runs.
        """
        self._pending = pending
        self._health = health
        self._permits = permits
        self._connections = connections
        self._relays = relays
        self._retries = retries
        self._run_guard = run_guard

    def count_buffered_bytes(self) -> int:
        """Returns the size of all responses that are buffered."""
        return sum(
            len(attempt.body)
            + (attempt.splitter.buffered_bytes if attempt.splitter else 0)
            for pending in self._pending.values()
            for attempt in pending.live_attempts
        )

    def find(
        self, request_id: str, number: int
    ) -> tuple[state.PendingRequest, state.Attempt] | None:
        """Returns a request and its live attempt with this number, if any.

        Events of other attempts are late: the attempt has failed or was
        cancelled.
        """
        pending = self._pending.get(request_id)
        if pending is None:
            return None
        for attempt in pending.live_attempts:
            if attempt.number == number:
                return pending, attempt
        return None

    def start(
        self,
        pending: state.PendingRequest,
        chosen: choice_module.Choice,
        now: float,
    ) -> list[events.Effect]:
        """Sends a request to a replica."""
        request, replica = pending.request, chosen.replica
        pending.attempt_count += 1
        if pending.first_sent_at is None:
            pending.first_sent_at = now
        attempt = state.Attempt(
            pending.attempt_count,
            replica,
            now,
            now,
            relay=chosen.relay,
            is_repeat=pending.was_received,
        )
        if attempt.is_repeat:
            self._retries.withdraw(request.service, now)
        if chosen.relay is not None:
            self._relays.record_need(is_lacking=False, now=now)
            chosen.relay.requests += 1
        if request.is_stream:
            attempt.splitter = stream.EventSplitter(pending.last_event_id)
        pending.add_attempt(attempt)
        stats = self._health.get(replica)
        attempt.choice = state.Choice(
            chosen.candidates,
            chosen.estimate_s,
            stats.own_requests,
            now - stats.reported_at if stats.reported_at > 0 else None,
            self._permits.get_limit_per_s(replica, now),
            chosen.paused_count,
        )
        self._permits.consume_permit(replica, now)
        self._run_guard.start_run(pending, attempt, now)
        stats.own_requests += 1
        stats.prefill_tokens += request.metadata.prompt_tokens
        effects: list[events.Effect] = [
            events.StartAttempt(
                request=request,
                attempt=attempt.number,
                replica=replica,
                budget_s=pending.ends_at - now,
                last_event_id=pending.last_event_id,
                rank=ranks.find_rank(pending),
                relay=attempt.relay,
                # Idle connections may have been lost along with that of the
                # previous attempt, and the request may not run once more.
                is_fresh=pending.has_lost_connection,
            )
        ]
        if attempt.number > 1:
            # The first attempt needs no log line of its own: the line about the
            # end of the request describes it.
            effects.append(descriptions.describe_attempt(pending, attempt))
        return effects

    def suspect(
        self,
        pending: state.PendingRequest,
        attempt: state.Attempt,
        reason: str,
        now: float,
    ) -> list[events.Effect]:
        """Records that an attempt is silent for too long."""
        if attempt.suspicion:
            return []
        attempt.suspicion = reason
        if attempt.relay is not None:
            self._connections.record_lost_relay(attempt, reason, now)
        self._health.record_failure(attempt.replica, now)
        self._run_guard.lose_run(pending, attempt, now)
        pending.was_received = True
        pending.has_lost_connection = True
        return [descriptions.describe_suspicion(pending, attempt, now)]

    def select(
        self, pending: state.PendingRequest, attempt: state.Attempt, now: float
    ) -> list[events.Effect]:
        """Goes on with an attempt that has output, and cancels the others."""
        if attempt.suspicion:
            attempt.suspicion = ""
            self._health.record_success(attempt.replica)
            # Its run was reported as lost, but goes on.
            self._run_guard.start_run(pending, attempt, now)
        others = [o for o in pending.live_attempts if o is not attempt]
        if not others:
            pending.select_attempt(attempt)
            return []
        effects: list[events.Effect] = []
        for other in others:
            reason = other.suspicion or OVERTAKEN
            if other.suspicion:
                pending.failed_replicas.add(other.replica.name)
            effects += self.cancel(pending, other, now)
            effects.append(
                descriptions.describe_failure(
                    pending,
                    other,
                    verdict=Verdict.MAY_HAVE_RUN,
                    reason=reason,
                    now=now,
                )
            )
            pending.failures.append(reason)
        pending.select_attempt(attempt)
        return effects

    def fail(
        self,
        pending: state.PendingRequest,
        attempt: state.Attempt,
        verdict: verdict_module.Verdict,
        reason: str,
        now: float,
    ) -> list[events.Effect]:
        """Records an attempt that ended without a complete response."""
        effects: list[events.Effect] = []
        if attempt.relay is not None:
            self._connections.record_lost_relay(attempt, reason, now)
        elif reason in model.CONNECT_FAILURES:
            effects += self._connections.record_failure(
                attempt.replica, reason, now
            )
            self._run_guard.record_refused_connection(attempt.replica)
        # A replica that cannot be connected to may be used through a relay.
        is_at_fault = reason not in (
            model.CONNECT_FAILURES | model.RELAY_FAILURES
        )
        is_relay_failure = reason in model.RELAY_FAILURES
        if (
            reason != "refused"
            and not is_relay_failure
            and not attempt.suspicion
        ):
            self._health.record_failure(attempt.replica, now)
        if verdict is not Verdict.MAY_HAVE_RUN or is_relay_failure:
            self._run_guard.end_run(attempt, now)
        elif not attempt.suspicion:
            self._run_guard.lose_run(pending, attempt, now)
        if reason in model.UNSENT_FAILURES:
            pending.unsent_count += 1
            # A relay that refuses is not tried again for a while.
            pending.slow_failure_count += reason not in model.RELAY_REFUSALS
            if attempt.is_repeat:
                self._retries.refund(
                    pending.request.service, attempt.sent_at, now
                )
        else:
            pending.was_received = True
        pending.has_lost_connection = reason in model.CONNECTION_LOSSES
        pending.failures.append(reason)
        effects += self._end(pending, attempt, verdict)
        if is_at_fault:
            pending.failed_replicas.add(attempt.replica.name)
        effects.append(
            descriptions.describe_failure(
                pending, attempt, verdict=verdict, reason=reason, now=now
            )
        )
        return effects

    def cancel(
        self, pending: state.PendingRequest, attempt: state.Attempt, now: float
    ) -> list[events.Effect]:
        """Cancels an attempt, so that its replica stops the run."""
        if not attempt.suspicion:
            self._run_guard.cancel_run(pending, attempt, now)
        return self._end(pending, attempt, Verdict.MAY_HAVE_RUN)

    def cancel_all(
        self, pending: state.PendingRequest, now: float
    ) -> list[events.Effect]:
        """Cancels all live attempts of a request."""
        effects: list[events.Effect] = []
        for attempt in pending.live_attempts:
            effects += self.cancel(pending, attempt, now)
        return effects

    def release(
        self, pending: state.PendingRequest, attempt: state.Attempt
    ) -> None:
        """Removes an attempt that has ended."""
        if attempt.relay is not None:
            attempt.relay.requests -= 1
        stats = self._health.get(attempt.replica)
        stats.own_requests -= 1
        if not attempt.has_output:
            stats.prefill_tokens -= pending.request.metadata.prompt_tokens
        pending.remove_attempt(attempt)

    def _end(
        self,
        pending: state.PendingRequest,
        attempt: state.Attempt,
        verdict: verdict_module.Verdict,
    ) -> list[events.Effect]:
        self.release(pending, attempt)
        pending.verdict = verdict_module.combine_verdicts(
            pending.verdict, verdict
        )
        if verdict is not Verdict.NOT_RUN:
            pending.runs += 1
        return [
            events.CancelAttempt(pending.request.request_id, attempt.number)
        ]
