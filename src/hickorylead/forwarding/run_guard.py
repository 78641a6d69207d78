"""Decides which requests may end their servers, for one gateway's forwarder."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hickorylead.crashes import crash_guard as crash_guard_module
    from hickorylead.forwarding import model, state

# If an attempt has had no output for this long, in seconds, when the caller
# disconnects or the deadline passes, its server may be lost. A working replica
# sends its first event within 0.3 s and output every 0.1 s after that.
OUTPUT_TIMEOUT_S = 0.5


class RunGuard:
    """Blocks and defers requests, and records what becomes of their runs."""

    def __init__(
        self,
        guard: crash_guard_module.CrashGuard,
        pending: Mapping[str, state.PendingRequest],
    ) -> None:
        """Makes a guard of the pending requests.

        Args:
            guard: Blocked and suspected requests, and lost runs.
            pending: All pending requests, by id; kept up to date by its owner.
        """
        self._guard = guard
        self._pending = pending

    def find_block_remaining_s(
        self, pending: state.PendingRequest, now: float
    ) -> float | None:
        """Returns how long a request is blocked, in seconds; None if not."""
        return self._guard.find_block_remaining_s(pending.traits, now)

    def must_defer(self, pending: state.PendingRequest, now: float) -> bool:
        """Returns whether a request that may end a server must not be sent yet.

        Suspected requests are sent one at a time: in parallel, each could end a
        server before the first loss is known.
        """
        return self._must_defer_submission(
            pending, now
        ) or self._must_defer_traits(pending, now)

    def is_withheld(self, pending: state.PendingRequest, now: float) -> bool:
        """Returns whether a request may not be sent to one more replica now."""
        return self.find_block_remaining_s(
            pending, now
        ) is not None or self.must_defer(pending, now)

    def start_run(
        self, pending: state.PendingRequest, attempt: state.Attempt, now: float
    ) -> None:
        """Records that an attempt is sent."""
        replica = attempt.replica
        attempt.run = self._guard.evidence.start_run(
            pending.traits, replica.name, replica.born, now
        )

    def record_output(self, attempt: state.Attempt, now: float) -> None:
        """Records output of an attempt."""
        if attempt.run is not None:
            self._guard.evidence.record_output(attempt.run, now)

    def complete_run(
        self,
        pending: state.PendingRequest,
        attempt: state.Attempt,
        *,
        is_framed: bool,
        now: float,
    ) -> None:
        """Records a complete response.

        Args:
            pending: The request.
            attempt: Its attempt.
            is_framed: Whether the response had a length or chunks. One without
                ends with its connection, maybe because its server has ended.
            now: Present time.
        """
        if is_framed:
            self._guard.record_complete_response(pending.request_hash, now)
        if attempt.run is not None:
            self._guard.evidence.end_run(
                attempt.run, is_complete=True, is_framed=is_framed, now=now
            )

    def end_run(self, attempt: state.Attempt, now: float) -> None:
        """Records an attempt that ended without a loss or a response."""
        if attempt.run is not None:
            self._guard.evidence.end_run(
                attempt.run, is_complete=False, now=now
            )

    def record_refused_connection(self, replica: model.Replica) -> None:
        """Records that a replica does not accept connections."""
        self._guard.evidence.suspect_end(replica.name, replica.born)

    def lose_run(
        self, pending: state.PendingRequest, attempt: state.Attempt, now: float
    ) -> None:
        """Records an attempt whose server may have ended."""
        replica = attempt.replica
        self._guard.record_lost_run(
            pending.request_hash, replica.name, replica.born, now
        )
        if attempt.run is not None:
            self._guard.evidence.lose_run(attempt.run, now)

    def cancel_run(
        self, pending: state.PendingRequest, attempt: state.Attempt, now: float
    ) -> None:
        """Records a cancelled attempt, which may have lost its server."""
        if now - attempt.last_received_at > OUTPUT_TIMEOUT_S:
            self.lose_run(pending, attempt, now)
        else:
            self.end_run(attempt, now)

    def _must_defer_submission(
        self, pending: state.PendingRequest, now: float
    ) -> bool:
        own_hash = pending.request_hash
        if pending.started or not self._guard.is_suspected(own_hash, now):
            # A response that has started continues.
            return False
        runs = pending.run_count
        if not self._guard.may_send(own_hash, runs=runs, now=now):
            return True
        return any(
            other.request_hash == own_hash
            and any(not attempt.has_output for attempt in other.live_attempts)
            for other in self._pending.values()
            if other is not pending
        )

    def _must_defer_traits(
        self, pending: state.PendingRequest, now: float
    ) -> bool:
        suspected = self._guard.traits.find_suspected(pending.traits, now)
        if not suspected:
            return False
        if pending.run_count or not all(suspected.values()):
            return True
        return any(
            any(
                attempt.run is not None and not attempt.run.is_proven
                for attempt in other.live_attempts
            )
            and not suspected.keys().isdisjoint(other.traits)
            for other in self._pending.values()
            if other is not pending
        )
