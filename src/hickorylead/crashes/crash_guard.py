"""Blocked requests and lost runs at one gateway."""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

import attrs

from hickorylead.crashes import (
    crash_history,
    messages,
    run_evidence,
    trait_blocks,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from hickorylead.turns import own_pauses

# Time after which the gateway reports a lost run a second time, in seconds: the
# first message is lost if the coordinator's process ends, and the coordinator
# restarts in a second or less.
RESEND_AFTER_S = 1.5
# Maximum number of lost runs that a gateway keeps for its next home
# coordinator: at the peak a lost replica causes some 23 lost runs, and many
# replicas may be lost together.
MAX_LOST_RUNS = 512
# How long after a complete response a request is not treated as the cause of
# server losses, in seconds: a request that many callers repeat is in flight at
# every server that is lost. The time is longer than a series of losses, which
# takes 5 to 10 s.
COMPLETED_RETENTION_S = 60.0
# Maximum number of completed requests that are kept, some 150 bytes each. A
# gateway completes 600 requests in 60 s at its peak load of 10 requests/s.
MAX_COMPLETED = 2048


@attrs.define
class _LostRun:
    """A run that this gateway lost.

    Attributes:
        crash: The lost run, as of the time of its loss.
        lost_at: When the run was lost.
        sent_at: When the run was last reported.
        is_resent: Whether the run was reported more than once.
    """

    crash: messages.Crash
    lost_at: float
    sent_at: float = -1e9
    is_resent: bool = False


class CrashGuard:
    """Blocked and suspected requests at a gateway, and its lost runs.

    Requests are identified by their hash.
    """

    def __init__(self, node: str) -> None:
        """Makes a guard without blocked requests and lost runs.

        Args:
            node: Name of the gateway.
        """
        self._node = node
        self._blocked: dict[int, float] = {}
        # For each suspected request: end of the suspicion, and whether this
        # gateway may send the request.
        self._suspected: dict[int, tuple[float, bool]] = {}
        self._lost_runs: collections.deque[_LostRun] = collections.deque(
            maxlen=MAX_LOST_RUNS
        )
        self._completed: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        # Requests that coordinators suspect or block, but that got a complete
        # response at this gateway; it has not reported these responses yet.
        self._cleared: set[int] = set()
        self._home_coordinator = ""
        # What runs say about parts of prompts that requests share.
        self.evidence = run_evidence.RunEvidence()
        self.traits = trait_blocks.TraitBlocks(node, self.evidence)

    def count_blocked(self) -> int:
        """Returns the number of blocked requests and traits."""
        return len(self._blocked) + self.traits.count()

    def compute_digest(self, now: float) -> int:
        """Returns a digest of the blocked and suspected requests and traits."""
        self._prune(now)
        return digest_request_hashes(
            self._blocked, self._suspected
        ) ^ self.traits.compute_digest(now)

    def get_block_remaining_s(
        self, request_hash: int, now: float
    ) -> float | None:
        """Returns how much longer a request is blocked, in seconds.

        Returns None if the request is not blocked.
        """
        until = self._blocked.get(request_hash, now)
        return until - now if until > now else None

    def find_block_remaining_s(
        self, traits: tuple[int, ...], now: float
    ) -> float | None:
        """Returns how much longer a request is blocked, in seconds.

        Args:
            traits: The request hash, then its other traits.
            now: Present time.
        """
        remaining_s = self.get_block_remaining_s(traits[0], now)
        if remaining_s is not None:
            return remaining_s
        return self.traits.find_block_remaining_s(traits, now)

    def may_send(self, request_hash: int, *, runs: int, now: float) -> bool:
        """Returns whether this gateway may send a request that is not blocked.

        Only one gateway may send a suspected request, and it may send each
        submission of the request to one server only.

        Args:
            request_hash: The request hash.
            runs: Number of servers that may have run this submission.
            now: Present time.
        """
        until, is_allowed = self._suspected.get(request_hash, (now, True))
        return until <= now or (is_allowed and not runs)

    def is_suspected(self, request_hash: int, now: float) -> bool:
        """Returns whether a request may have ended a server recently.

        This holds if coordinators suspect the request, or if this gateway lost
        a run of it in the last `crash_history.PENDING_S` seconds and got no
        complete response to it.
        """
        until, _ = self._suspected.get(request_hash, (now, True))
        if until > now:
            return True
        return not self._was_completed(request_hash, now) and any(
            run.crash.content == request_hash
            and now - run.lost_at <= crash_history.PENDING_S
            for run in self._lost_runs
        )

    def record_lost_run(
        self, request_hash: int, server: str, born: int, now: float
    ) -> None:
        """Records that a server may have run a request without completing it.

        Coordinators find out whether the server's incarnation has ended.
        """
        if self._was_completed(request_hash, now):
            return
        crash = messages.Crash(request_hash, server, born, 0)
        self._lost_runs.append(_LostRun(crash, now))

    def record_complete_response(self, request_hash: int, now: float) -> None:
        """Records that a request got a complete response."""
        if self._suspected.pop(request_hash, None) is not None:
            self._cleared.add(request_hash)
        self._completed[request_hash] = now
        self._completed.move_to_end(request_hash)
        if len(self._completed) > MAX_COMPLETED:
            self._completed.popitem(last=False)

    def decide_ended_runs(
        self,
        has_ended: Callable[[str, int], bool],
        now: float,
        *,
        informed_since: float = -math.inf,
        pauses: own_pauses.OwnPauses | None = None,
    ) -> None:
        """Decides about runs that ended without the loss of a connection.

        Args:
            has_ended: Returns whether an incarnation of a server has ended.
            now: Present time.
            informed_since: Time since which coordinators tell this gateway
                which servers have ended; infinite if none does.
            pauses: Times at which the gateway did not handle what they sent.
        """
        for run in self.evidence.decide_ended(
            has_ended, now, informed_since=informed_since, pauses=pauses
        ):
            if run.is_proven:
                self.record_complete_response(run.traits[0], now)
            elif run.is_complete:
                self.record_lost_run(run.traits[0], run.server, run.born, now)

    def apply_blocks(self, update: messages.BlockNews, now: float) -> None:
        """Applies the blocked and suspected requests of a coordinator.

        Blocks that the update does not list stay until they expire, because the
        coordinator may have restarted and lost some blocks. Suspicions that the
        update does not list are dropped.
        """
        for block in update.blocks:
            if self._was_completed(block.content, now):
                self._cleared.add(block.content)
                continue
            self._blocked[block.content] = now + block.left_ms / 1000.0
        for request_hash in update.cleared:
            self._blocked.pop(request_hash, None)
        self._suspected = {}
        for suspicion in update.suspicions:
            if self._was_completed(suspicion.content, now):
                self._cleared.add(suspicion.content)
                continue
            until = now + suspicion.left_ms / 1000.0
            is_allowed = suspicion.gateway == self._node
            self._suspected[suspicion.content] = until, is_allowed
        self.traits.apply(update, now)

    def collect_messages(
        self, home_coordinator: str, now: float
    ) -> list[tuple[str, messages.CrashNews]]:
        """Returns the messages that are due to the home coordinator.

        Args:
            home_coordinator: Name of the gateway's home coordinator; empty if
                it has none.
            now: Present time.
        """
        while (
            self._lost_runs
            and now - self._lost_runs[0].lost_at > crash_history.PENDING_S
        ):
            self._lost_runs.popleft()
        has_new_home_coordinator = home_coordinator != self._home_coordinator
        self._home_coordinator = home_coordinator
        if not home_coordinator:
            return []
        due = [
            run
            for run in self._lost_runs
            if has_new_home_coordinator or _is_due(run, now)
        ]
        cleared, self._cleared = self._cleared, set()
        accusations = self.evidence.collect_accusations(
            has_new_home_coordinator=has_new_home_coordinator, now=now
        )
        trait_clearances = self.traits.collect_clearances(now)
        if not (due or cleared or accusations or trait_clearances):
            return []
        for run in due:
            run.is_resent = run.sent_at > 0
            run.sent_at = now
        crashes = tuple(
            attrs.evolve(run.crash, age_ms=int((now - run.lost_at) * 1000))
            for run in due
        )
        # Age 0 clears all losses of the request up to now, not only the losses
        # before the response: a request that got a complete response does not
        # crash servers.
        clearances = tuple(messages.Clearance(c, 0) for c in sorted(cleared))
        return [
            (
                home_coordinator,
                messages.CrashNews(
                    self._node,
                    crashes,
                    clearances,
                    accusations,
                    trait_clearances,
                ),
            )
        ]

    def _was_completed(self, request_hash: int, now: float) -> bool:
        return (
            now - self._completed.get(request_hash, -1e9)
            <= COMPLETED_RETENTION_S
        )

    def _prune(self, now: float) -> None:
        for request_hash, until in list(self._blocked.items()):
            if until <= now:
                del self._blocked[request_hash]
        for request_hash, (until, _) in list(self._suspected.items()):
            if until <= now:
                del self._suspected[request_hash]


def digest_request_hashes(*groups: Iterable[int]) -> int:
    """Returns a digest of groups of hashes, independent of their order."""
    digest = 0
    for request_hashes in groups:
        for request_hash in request_hashes:
            digest ^= request_hash
    return digest


def _is_due(run: _LostRun, now: float) -> bool:
    return not run.is_resent and now - run.sent_at >= RESEND_AFTER_S
