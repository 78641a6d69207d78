"""Handles what replicas send in response to the requests of one gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from hickorylead import verdict as verdict_module
from hickorylead.forwarding import events, response_heads, responses, state

if TYPE_CHECKING:
    from hickorylead.forwarding import (
        attempts as attempts_module,
        health as health_module,
        run_guard as run_guard_module,
    )
    from hickorylead.relaying import relay_directory

Verdict = verdict_module.Verdict

# Maximum size of a response that is buffered until it is complete, in bytes;
# streams are not buffered. If a buffered response breaks off, its request can
# be retried on another replica.
MAX_BUFFERED_BYTES = 512 * 1024
# Maximum size of all buffered responses, in bytes, if nothing else is set, and
# size of a response that is buffered nevertheless.
MAX_ALL_BUFFERED_BYTES = 16 * 1024 * 1024
SMALL_RESPONSE_BYTES = 16 * 1024


class FailAttempt(Protocol):
    """Ends an attempt of a request, which may be sent again."""

    def __call__(
        self,
        pending: state.PendingRequest,
        attempt: state.Attempt,
        verdict: verdict_module.Verdict,
        reason: str,
        now: float,
    ) -> list[events.Effect]:
        """Returns the effects."""


class Finish(Protocol):
    """Ends a request."""

    def __call__(
        self, pending: state.PendingRequest, outcome: str, now: float
    ) -> list[events.Effect]:
        """Returns the effects."""


class ResponseHandler:
    """Sends callers the first response to each request, and no other one."""

    def __init__(
        self,
        *,
        attempts: attempts_module.AttemptTracker,
        heads: response_heads.HeadEvaluator,
        health: health_module.HealthTracker,
        relays: relay_directory.RelayDirectory,
        run_guard: run_guard_module.RunGuard,
        fail_attempt: FailAttempt,
        finish: Finish,
    ) -> None:
        """Makes a handler.

        Args:
            attempts: Attempts of the pending requests.
            heads: Evaluates the heads of responses.
            health: Output and failures observed of replicas.
            relays: Gateways that relay requests.
            run_guard: Records what becomes of runs.
            fail_attempt: Ends an attempt that has no complete response.
            finish: Ends a request that has one.
        """
        self._attempts = attempts
        self._heads = heads
        self._health = health
        self._relays = relays
        self._run_guard = run_guard
        self._fail_attempt = fail_attempt
        self._finish = finish
        self.max_buffered_bytes = MAX_ALL_BUFFERED_BYTES

    def handle_head(
        self, event: events.ResponseHeadArrived, now: float
    ) -> list[events.Effect]:
        """Handles the head of a response."""
        found = self._attempts.find(event.request_id, event.attempt)
        if found is None:
            return []
        pending, attempt = found
        head = event.head
        attempt.head = head
        effects = self._heads.record(pending, attempt, head, now)
        problem = self._heads.find_problem(pending, head)
        if problem is not None:
            verdict, reason = problem
            return effects + self._fail_attempt(
                pending, attempt, verdict, reason, now
            )
        attempt.last_received_at = now
        if attempt.splitter is not None and head.status != 200:
            attempt.splitter = None
        return effects

    def handle_chunk(
        self, event: events.ChunkArrived, now: float
    ) -> list[events.Effect]:
        """Handles a chunk of a response."""
        found = self._attempts.find(event.request_id, event.attempt)
        if found is None:
            return []
        pending, attempt = found
        attempt.last_received_at = now
        self._run_guard.record_output(attempt, now)
        if attempt.splitter is None:
            attempt.body += event.data
            if self._may_buffer(attempt):
                return []
            return [
                *self._attempts.select(pending, attempt, now),
                *responses.flush_buffer(pending, attempt),
            ]
        self._health.record_progress(attempt.replica, now)
        result = attempt.splitter.feed(event.data)
        effects: list[events.Effect] = []
        if result.data:
            effects += self._attempts.select(pending, attempt, now)
            pending.record_events(now)
            effects += responses.start_stream(pending, attempt, self._health)
            effects.append(events.WriteChunk(event.request_id, result.data))
            pending.last_event_id = attempt.splitter.last_event_id
        problem = result.problem
        if not problem and not self._has_room(attempt.splitter.buffered_bytes):
            # Others need the memory; no caller gets a part of an event.
            problem = "event_too_long"
        if problem:
            effects += self._fail_attempt(
                pending, attempt, Verdict.MAY_HAVE_RUN, problem, now
            )
        return effects

    def _may_buffer(self, attempt: state.Attempt) -> bool:
        size = len(attempt.body)
        return size <= MAX_BUFFERED_BYTES and self._has_room(size)

    def _has_room(self, size: int) -> bool:
        """Returns whether a response may keep so many bytes buffered."""
        return size <= SMALL_RESPONSE_BYTES or (
            self._attempts.count_buffered_bytes() <= self.max_buffered_bytes
        )

    def handle_completion(
        self, event: events.ResponseCompleted, now: float
    ) -> list[events.Effect]:
        """Handles the end of a response."""
        found = self._attempts.find(event.request_id, event.attempt)
        if found is None:
            return []
        pending, attempt = found
        head = attempt.head
        if attempt.splitter is not None:
            if not attempt.splitter.is_at_boundary:
                return self._fail_attempt(
                    pending, attempt, Verdict.MAY_HAVE_RUN, "cut_in_event", now
                )
            effects = self._attempts.select(pending, attempt, now)
            effects += responses.start_stream(pending, attempt, self._health)
        elif responses.should_drop_failure(pending, attempt):
            return self._fail_attempt(
                pending,
                attempt,
                Verdict.RAN,
                f"status_{head.status if head else 0}",
                now,
            )
        else:
            effects = self._attempts.select(pending, attempt, now)
            effects += responses.send_buffered(pending, attempt)
        if attempt.relay is not None:
            self._relays.extend_offer(attempt.relay, now)
        if head is not None and head.status < 500:
            self._health.record_success(attempt.replica)
            if attempt.splitter is None or attempt.has_output:
                self._run_guard.complete_run(
                    pending, attempt, is_framed=event.is_framed, now=now
                )
        elif head is not None:
            self._health.record_failure(attempt.replica, now)
        effects.append(events.FinishResponse(event.request_id))
        return effects + self._finish(pending, "answered", now)
