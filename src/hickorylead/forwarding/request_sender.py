"""Sends requests that have no attempt, or has them wait or end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead import verdict as verdict_module
from hickorylead.forwarding import choice as choice_module, refusals, state

if TYPE_CHECKING:
    from hickorylead.admission import windowed_budget
    from hickorylead.draining import admission as admission_module
    from hickorylead.forwarding import (
        attempts as attempts_module,
        endings as endings_module,
        events,
        run_guard as run_guard_module,
        selection,
    )
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


class RequestSender:
    """Sends the requests of one gateway that have no attempt."""

    def __init__(
        self,
        *,
        attempts: attempts_module.AttemptTracker,
        endings: endings_module.Endings,
        selector: selection.Selector,
        run_guard: run_guard_module.RunGuard,
        permits: permit_pool_module.PermitPool,
        relays: relay_directory.RelayDirectory,
        retries: windowed_budget.GatewayRetryBudgets,
        admission: admission_module.StopAdmission,
    ) -> None:
        """Initializes the sender.

        Args:
            attempts: Attempts of the pending requests.
            endings: Ends requests.
            selector: Selects replicas by the configuration in force.
            run_guard: Blocks and defers requests.
            permits: Permits for replicas that name a rate limit.
            relays: Gateways that relay requests to the others.
            retries: Retries that this gateway may make.
            admission: Requests that a stopping process can finish.
        """
        self._attempts = attempts
        self._endings = endings
        self._selector = selector
        self._run_guard = run_guard
        self._permits = permits
        self._relays = relays
        self._retries = retries
        self._admission = admission

    def send(
        self,
        pending: state.PendingRequest,
        now: float,
        *,
        has_waited: bool = False,
    ) -> list[events.Effect]:
        """Sends a request, or has it wait or end.

        Args:
            pending: The request; it has no attempt.
            now: Present time.
            has_waited: Whether it has waited for a replica before.
        """
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
                return []
            return self._endings.refuse_blocked(
                pending, SUSPECTED_RETRY_AFTER_S, now
            )
        if pending.was_received and not self._may_repeat(pending, now):
            if pending.started and has_waited:
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
