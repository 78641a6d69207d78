"""Lost runs by request and server, merged from all nodes.

Lost runs can be merged in any order and any number of times: nodes that were
partitioned or restarted send each other their complete state and converge.
"""

from __future__ import annotations

import collections
import hashlib
from typing import TYPE_CHECKING

import attrs

from hickorylead.crashes import messages

if TYPE_CHECKING:
    from collections.abc import Callable

# Number of servers that must end while running a request before the request is
# blocked. Two servers are not enough evidence: a stream that loses its server
# continues at another server, which may end as well. A request and its caller's
# retry make four attempts, so a harmless request can lose a third server; only
# its last attempt is then refused.
BLOCK_THRESHOLD = 3
# Time within which the server's incarnation must be known to have ended for a
# lost run to count, in seconds. Coordinators may be down for some seconds and
# receive the first heartbeats of servers only after that.
PENDING_S = 30.0
# A request is blocked until this many seconds after the third last loss of a
# server that ran it. The block is long compared to the seconds in which a
# caller retries, and short for a request that was blocked wrongly. A request
# that still crashes servers costs three servers in each such period.
RETENTION_S = 900.0
# If `BLOCK_THRESHOLD` - 1 servers ended while running a request, the request is
# suspected until this many seconds after the first of these losses.
SUSPICION_S = 60.0
# If more requests than this are suspected, all suspicions are ignored: the
# failure of a zone or switch ends many servers at once, while they run requests
# that did not cause it.
MAX_SUSPECTED = 8
# Maximum number of lost runs that are kept, some 300 bytes each. The failure of
# a zone with 120 replicas at 3,500 requests/s causes 2,800 lost runs.
MAX_CRASHES = 4096
# Maximum number of cleared requests that are kept; the newest stay.
MAX_CLEARED = 256


@attrs.frozen
class Incarnation:
    """One incarnation of a server; see `messages.Crash`."""

    server: str
    born: int


@attrs.frozen(order=True)
class RunKey:
    """A request that ran at one incarnation of a server."""

    request_hash: int
    server: str
    born: int


@attrs.define
class _Loss:
    lost_at: float
    has_ended: bool


class CrashHistory:
    """Lost runs by request hash and server."""

    def __init__(self) -> None:
        """Makes an empty history."""
        self._losses: dict[int, dict[Incarnation, _Loss]] = {}
        self._cleared: dict[int, float] = {}
        # Requests that lost a run at a server incarnation that is not known to
        # have ended, by incarnation.
        self._pending: dict[Incarnation, set[int]] = collections.defaultdict(
            set
        )
        # Requests with exactly one lost run, the oldest first.
        self._single: dict[int, None] = {}
        self._count = 0
        self._digest = 0
        self._blocked: dict[int, float] | None = None
        self._suspected: dict[int, float] = {}

    @property
    def digest(self) -> int:
        """Digest of the complete state, equal at nodes with equal state."""
        return self._digest

    def contains(self, crash: messages.Crash) -> bool:
        """Returns whether a lost run is stored."""
        incarnation = Incarnation(crash.server, crash.born)
        return incarnation in self._losses.get(crash.content, {})

    def merge(self, crash: messages.Crash, now: float) -> bool:
        """Merges a lost run; returns whether it changed anything."""
        at = now - crash.age_ms / 1000.0
        if at <= self._cleared.get(crash.content, -1e9):
            return False
        incarnation = Incarnation(crash.server, crash.born)
        known = self._losses.get(crash.content, {}).get(incarnation)
        if known is not None:
            # The earliest loss time counts. A restarted node reports the age
            # that it saved on its disk, which is too low by now; such reports
            # would otherwise keep a loss from ever expiring.
            known.lost_at = min(known.lost_at, at)
            return crash.has_ended and self._record_end(
                crash.content, incarnation
            )
        loss = _Loss(at, crash.has_ended)
        if _is_expired(loss, now):
            return False
        if self._count >= MAX_CRASHES:
            self._evict()
        self._losses.setdefault(crash.content, {})[incarnation] = loss
        self._count += 1
        self._update_single(crash.content)
        if not loss.has_ended:
            self._pending[incarnation].add(crash.content)
        self._update_digest(_hash_loss(crash.content, incarnation, loss))
        return True

    def confirm(
        self, has_ended: Callable[[Incarnation], bool]
    ) -> list[Incarnation]:
        """Records which servers of lost runs ended; returns incarnations."""
        ended = [
            incarnation
            for incarnation in self._pending
            if has_ended(incarnation)
        ]
        for incarnation in ended:
            for request_hash in list(self._pending[incarnation]):
                self._record_end(request_hash, incarnation)
        return ended

    def merge_clearance(
        self, clearance: messages.Clearance, now: float
    ) -> bool:
        """Merges a clearance and removes losses; returns whether it is new."""
        request_hash = clearance.content
        at = now - clearance.age_ms / 1000.0
        if at <= max(self._cleared.get(request_hash, -1e9), now - RETENTION_S):
            return False
        if request_hash not in self._cleared:
            self._update_digest(_hash(f"cleared {request_hash}"))
        self._cleared[request_hash] = at
        for incarnation, loss in list(
            self._losses.get(request_hash, {}).items()
        ):
            if loss.lost_at <= at:
                self._drop(request_hash, incarnation)
        while len(self._cleared) > MAX_CLEARED:
            oldest = min(self._cleared, key=lambda c: self._cleared[c])
            self._drop_clearance(oldest)
        return True

    def prune(self, now: float) -> None:
        """Drops expired losses and clearances."""
        for request_hash, losses in list(self._losses.items()):
            for incarnation, loss in list(losses.items()):
                if _is_expired(loss, now):
                    self._drop(request_hash, incarnation)
        for request_hash, at in list(self._cleared.items()):
            if now - at > RETENTION_S:
                self._drop_clearance(request_hash)

    def find_blocked(self) -> dict[int, float]:
        """Returns when the block of each blocked request ends, by its hash."""
        if self._blocked is None:
            self._blocked, self._suspected = {}, {}
            for request_hash, losses in self._losses.items():
                ends = sorted(x.lost_at for x in losses.values() if x.has_ended)
                if len(ends) >= BLOCK_THRESHOLD:
                    self._blocked[request_hash] = (
                        ends[-BLOCK_THRESHOLD] + RETENTION_S
                    )
                elif len(ends) == BLOCK_THRESHOLD - 1:
                    self._suspected[request_hash] = ends[0] + SUSPICION_S
        return self._blocked

    def find_suspected(self, now: float) -> dict[int, float]:
        """Returns when the suspicion of each suspected request ends, by hash.

        Returns nothing if more than `MAX_SUSPECTED` requests are suspected.
        """
        self.find_blocked()
        suspected = {c: at for c, at in self._suspected.items() if at > now}
        return suspected if len(suspected) <= MAX_SUSPECTED else {}

    def list_servers(self, request_hash: int) -> list[str]:
        """Returns the servers that ended while running a request."""
        losses = self._losses.get(request_hash, {})
        return [
            incarnation.server
            for incarnation, x in losses.items()
            if x.has_ended
        ]

    def list_ends(self, request_hash: int) -> list[str]:
        """Returns names of the incarnations that ended under a request."""
        return [
            f"{incarnation.server} {incarnation.born}"
            for incarnation, x in self._losses.get(request_hash, {}).items()
            if x.has_ended
        ]

    def list_crashes(self, now: float) -> tuple[messages.Crash, ...]:
        """Returns messages for all lost runs."""
        return tuple(
            messages.Crash(
                request_hash,
                incarnation.server,
                incarnation.born,
                _to_ms(now - loss.lost_at),
                loss.has_ended,
            )
            for request_hash, losses in self._losses.items()
            for incarnation, loss in losses.items()
        )

    def list_clearances(self, now: float) -> tuple[messages.Clearance, ...]:
        """Returns messages for all cleared requests."""
        return tuple(
            messages.Clearance(request_hash, _to_ms(now - at))
            for request_hash, at in self._cleared.items()
        )

    def _record_end(self, request_hash: int, incarnation: Incarnation) -> bool:
        loss = self._losses[request_hash][incarnation]
        if loss.has_ended:
            return False
        before = _hash_loss(request_hash, incarnation, loss)
        loss.has_ended = True
        self._remove_pending(request_hash, incarnation)
        self._update_digest(
            before ^ _hash_loss(request_hash, incarnation, loss)
        )
        return True

    def _drop(self, request_hash: int, incarnation: Incarnation) -> None:
        losses = self._losses[request_hash]
        self._update_digest(
            _hash_loss(request_hash, incarnation, losses.pop(incarnation))
        )
        self._remove_pending(request_hash, incarnation)
        self._count -= 1
        if not losses:
            del self._losses[request_hash]
        self._update_single(request_hash)

    def _remove_pending(
        self, request_hash: int, incarnation: Incarnation
    ) -> None:
        """Stops waiting for the end of an incarnation that ran a request."""
        pending = self._pending.get(incarnation)
        if pending is None:
            return
        pending.discard(request_hash)
        if not pending:
            del self._pending[incarnation]

    def _update_single(self, request_hash: int) -> None:
        """Updates whether a request is stored as one with one lost run."""
        if len(self._losses.get(request_hash, ())) == 1:
            self._single[request_hash] = None
        else:
            self._single.pop(request_hash, None)

    def _evict(self) -> None:
        """Drops the oldest request with one lost run, or the oldest of all.

        Many requests that lost one run each can't evict a request that lost
        several runs.
        """
        evicted = next(iter(self._single or self._losses))
        for incarnation in list(self._losses[evicted]):
            self._drop(evicted, incarnation)

    def _drop_clearance(self, request_hash: int) -> None:
        del self._cleared[request_hash]
        self._update_digest(_hash(f"cleared {request_hash}"))

    def _update_digest(self, value: int) -> None:
        self._digest ^= value
        self._blocked = None


def _is_expired(loss: _Loss, now: float) -> bool:
    return now - loss.lost_at > (RETENTION_S if loss.has_ended else PENDING_S)


def _to_ms(seconds: float) -> int:
    return max(0, round(seconds * 1000))


def _hash_loss(request_hash: int, incarnation: Incarnation, loss: _Loss) -> int:
    return _hash(
        f"{request_hash} {incarnation.server} {incarnation.born} "
        f"{loss.has_ended}"
    )


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=6).digest()
    return int.from_bytes(digest)
