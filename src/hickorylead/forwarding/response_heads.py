"""Evaluates the heads of replicas' responses."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from hickorylead import verdict as verdict_module
from hickorylead.forwarding import descriptions, events, model

if TYPE_CHECKING:
    from hickorylead.forwarding import health as health_module, state
    from hickorylead.notices import notice_store as notice_store_module
    from hickorylead.ratelimits import permit_pool as permit_pool_module

Verdict = verdict_module.Verdict

# Maximum number of servers at fault that are kept for one report; any others
# are dropped.
MAX_FAULTY_SERVERS = 64


class HeadEvaluator:
    """Records what a head says about its server, and whether it is usable."""

    def __init__(
        self,
        *,
        health: health_module.HealthTracker,
        notices: notice_store_module.NoticeStore,
        permits: permit_pool_module.PermitPool,
    ) -> None:
        """Makes an evaluator.

        Args:
            health: Load, stalls and failures observed of replicas.
            notices: Pauses and departures that replicas announced.
            permits: Permits for replicas that name a rate limit.
        """
        self._health = health
        self._notices = notices
        self._permits = permits
        # Servers that refusals named as at fault and that have not been
        # reported yet, in the order of the refusals.
        self._faulty_servers: dict[str, None] = {}

    def pop_faulty_servers(self) -> tuple[str, ...]:
        """Returns and clears the servers that refusals named as at fault."""
        names = tuple(self._faulty_servers)
        self._faulty_servers.clear()
        return names

    def record(
        self,
        pending: state.PendingRequest,
        attempt: state.Attempt,
        head: model.ResponseHead,
        now: float,
    ) -> list[events.Effect]:
        """Records load, limit, pause and departure of the server."""
        if head.load is not None:
            self._health.record_load(attempt.replica, head.load, now)
        effects = self._record_limit(pending, attempt.replica, head, now)
        # A response to another request still describes the state of the server.
        # As that request may have been sent before the latest refusal, the
        # response ends neither a back-off nor the probation after a pause that
        # the server named. Refusals always count: some servers omit the attempt
        # id.
        is_own_answer = (
            head.echoed_attempt_id == pending.request.metadata.attempt_id
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
                descriptions.describe_malformed_headers(
                    attempt.replica, head.malformed_headers
                )
            )
        if (
            head.not_run
            and is_own_answer
            and head.faulty_server not in ("", attempt.replica.name)
            and len(self._faulty_servers) < MAX_FAULTY_SERVERS
        ):
            self._faulty_servers[head.faulty_server] = None
        return effects

    def _record_limit(
        self,
        pending: state.PendingRequest,
        replica: model.Replica,
        head: model.ResponseHead,
        now: float,
    ) -> list[events.Effect]:
        """Records the rate limit in a response, or that a response has none.

        A response to another request may have been delayed for long and is
        ignored. A refusal without a limit does not end the previous limit.
        """
        if head.echoed_attempt_id != pending.request.metadata.attempt_id or (
            head.not_run and head.limit_per_s is None
        ):
            return []
        if not self._permits.record_response(replica, head.limit_per_s, now):
            return []
        return [descriptions.describe_limit(replica, head.limit_per_s)]

    def find_problem(
        self, pending: state.PendingRequest, head: model.ResponseHead
    ) -> tuple[verdict_module.Verdict, str] | None:
        """Returns why a response cannot be used, with the verdict; or None."""
        if head.echoed_attempt_id != pending.request.metadata.attempt_id:
            # The response belongs to another request: requests and responses no
            # longer match on this connection. Nothing from it may reach this
            # caller.
            verdict = Verdict.NOT_RUN if head.not_run else Verdict.MAY_HAVE_RUN
            if head.echoed_attempt_id or not head.not_run:
                verdict = Verdict.MAY_HAVE_RUN
            return verdict, "foreign_answer"
        if head.not_run:
            return Verdict.NOT_RUN, "refused"
        if head.has_content_encoding or (
            head.status < 300 and not head.is_signed
        ):
            return Verdict.MAY_HAVE_RUN, "spoiled_answer"
        if pending.started and head.status != 200:
            # The caller has a part of a stream, and the replica failed to
            # resume the stream. If its complete error response were forwarded,
            # the truncated stream would look complete.
            return Verdict.RAN, f"status_{head.status}"
        return None
