"""How the requests of one gateway end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead import isolation, verdict as verdict_module
from hickorylead.forwarding import descriptions, events, refusals

if TYPE_CHECKING:
    from hickorylead.draining import admission as admission_module
    from hickorylead.forwarding import (
        arrivals as arrivals_module,
        attempts as attempts_module,
        selection,
        state,
    )

# Reason code of a request that could not be handled because of a fault here.
FAILED_REASON = "internal_error"


class Endings:
    """Ends requests, each with one final effect and one log line."""

    def __init__(
        self,
        pending: dict[str, state.PendingRequest],
        *,
        attempts: attempts_module.AttemptTracker,
        admission: admission_module.StopAdmission,
        arrivals: arrivals_module.Arrivals,
        selector: selection.Selector,
    ) -> None:
        """Makes the ends of requests.

        Args:
            pending: The pending requests, which are shared with the forwarder.
            attempts: Their attempts.
            admission: Learns how long requests take.
            arrivals: Requests whose body still comes.
            selector: Knows the configuration in force.
        """
        self._pending = pending
        self._attempts = attempts
        self._admission = admission
        self._arrivals = arrivals
        self._selector = selector

    def fail(
        self, pending: state.PendingRequest, reason: str, now: float
    ) -> list[events.Effect]:
        """Ends a request whose attempts have failed."""
        if pending.started:
            abort = events.AbortResponse(pending.request.request_id)
            return [abort, *self.finish(pending, f"broken_{reason}", now)]
        return self.refuse(
            pending, refusals.refuse_after_failure(pending, reason), now
        )

    def end_failed(
        self, pending: state.PendingRequest, error: Exception, now: float
    ) -> list[events.Effect]:
        """Ends a request that could not be handled, with a log line."""
        request_id = pending.request.request_id
        failure = isolation.describe_failure(
            "request", error, request_id=request_id
        )
        if self._pending.get(request_id) is not pending:
            # It has its final effect already.
            return [failure]
        if pending.was_sent:
            pending.verdict = verdict_module.Verdict.MAY_HAVE_RUN
        return [
            failure,
            *self._attempts.cancel_all(pending, now),
            *self.fail(pending, FAILED_REASON, now),
        ]

    def expire(
        self, pending: state.PendingRequest, now: float
    ) -> list[events.Effect]:
        """Ends a request whose time is over."""
        effects = self._attempts.cancel_all(pending, now)
        return effects + self.fail(pending, "deadline", now)

    def stop(self, request_id: str, now: float) -> list[events.Effect]:
        """Ends a request at the end of a planned stop."""
        pending = self._pending.get(request_id)
        if pending is None:
            return self._arrivals.end(request_id, now)
        effects = self._attempts.cancel_all(pending, now)
        if pending.started:
            return effects + self.fail(pending, refusals.STOPPING_REASON, now)
        refusal = refusals.refuse_stopping(pending)
        return effects + self.refuse(pending, refusal, now)

    def refuse_blocked(
        self, pending: state.PendingRequest, blocked_s: float, now: float
    ) -> list[events.Effect]:
        """Refuses a request that may end servers."""
        if pending.started:
            return self.fail(pending, refusals.BLOCKED_REASON, now)
        refusal = refusals.refuse_blocked(pending, blocked_s)
        return self.refuse(pending, refusal, now)

    def handle_disconnect(
        self, request_id: str, now: float
    ) -> list[events.Effect]:
        """Ends a request whose caller has left."""
        pending = self._pending.get(request_id)
        if pending is None:
            return []
        effects = self._attempts.cancel_all(pending, now)
        return effects + self.finish(pending, "caller_left", now)

    def refuse(
        self, pending: state.PendingRequest, refusal: events.Refuse, now: float
    ) -> list[events.Effect]:
        """Refuses a request."""
        return [
            refusal,
            *self.finish(pending, f"refused_{refusal.reason}", now),
        ]

    def finish(
        self, pending: state.PendingRequest, outcome: str, now: float
    ) -> list[events.Effect]:
        """Removes a request that has its final effect; returns its log line."""
        for attempt in pending.live_attempts:
            self._attempts.release(pending, attempt)
        request = pending.request
        document = self._selector.document
        del self._pending[request.request_id]
        if outcome == descriptions.ANSWERED:
            self._admission.record(request.route.name, now - pending.arrived_at)
        return [
            descriptions.describe_end(
                pending,
                outcome,
                version=document.version if document else 0,
                now=now,
            )
        ]
