"""Which contents ended how many servers, merged from all nodes.

All of it can be merged in any order, any number of times: nodes that were cut
off or restarted tell each other everything, and end up with the same.
"""

from __future__ import annotations

import collections
import hashlib
from typing import TYPE_CHECKING

import attrs

from hickorylead.crashes import messages

if TYPE_CHECKING:
    from collections.abc import Callable

# Servers that ended under a content until it is blocked. Two are no proof: a
# stream that loses its server goes on at another one, which may end as well. A
# request and its caller's retry have four tries, so one that is innocent can
# meet a third end, and loses its last try then.
BLOCK_THRESHOLD = 3
# A lost run counts only if the life of its server ends within this, in seconds.
# Coordinators may be away for some seconds and hear of servers only after that.
PENDING_S = 30.0
# A content is blocked until the third last server under it ended this long ago,
# in seconds: long against the seconds in which a caller tries again, and short
# for one that was blocked wrongly. One that still ends servers costs three of
# them each time.
MEMORY_S = 900.0
# A content under which `BLOCK_THRESHOLD` - 1 servers ended is suspected until
# the first of these losses is this old, in seconds.
SUSPICION_S = 60.0
# If more contents than this are suspected, all suspicions are ignored: a zone
# or switch failure ends many servers at once, under requests that did not cause
# it.
MAX_SUSPECTED = 8
# Lost runs that are kept, some 300 bytes each. A zone of 120 replicas that goes
# dark loses 2,800 of them at 3,500 requests/s.
MAX_CRASHES = 4096
# Cleared contents that are kept, the newest.
MAX_CLEARED = 256


@attrs.frozen
class Incarnation:
    """One life of a server; see `messages.Crash`."""

    server: str
    born: int


@attrs.frozen(order=True)
class RunKey:
    """A content at one life of a server."""

    content: int
    server: str
    born: int


@attrs.define
class _Loss:
    at: float
    has_ended: bool


class CrashHistory:
    """Lost runs by content and server."""

    def __init__(self) -> None:
        """Makes a ledger that knows nothing."""
        self._losses: dict[int, dict[Incarnation, _Loss]] = {}
        self._cleared: dict[int, float] = {}
        # Contents that wait for news of a server's life, by that life.
        self._pending: dict[Incarnation, set[int]] = collections.defaultdict(
            set
        )
        # Contents with one lost run, the oldest first.
        self._single: dict[int, None] = {}
        self._count = 0
        self._check = 0
        self._blocked: dict[int, float] | None = None
        self._suspected: dict[int, float] = {}

    @property
    def check(self) -> int:
        """A hash over all of it, the same at nodes that know the same."""
        return self._check

    def knows(self, crash: messages.Crash) -> bool:
        """Says whether a lost run was told before."""
        life = Incarnation(crash.server, crash.born)
        return life in self._losses.get(crash.content, {})

    def take(self, crash: messages.Crash, now: float) -> bool:
        """Takes a lost run; says whether it tells anything new."""
        at = now - crash.age_ms / 1000.0
        if at <= self._cleared.get(crash.content, -1e9):
            return False
        life = Incarnation(crash.server, crash.born)
        known = self._losses.get(crash.content, {}).get(life)
        if known is not None:
            # The oldest time counts: told again and again, by nodes whose disk
            # kept an age, a loss would never be forgotten.
            known.at = min(known.at, at)
            return crash.has_ended and self._note_end(crash.content, life)
        loss = _Loss(at, crash.has_ended)
        if _is_over(loss, now):
            return False
        if self._count >= MAX_CRASHES:
            self._drop_least()
        self._losses.setdefault(crash.content, {})[life] = loss
        self._count += 1
        self._sort(crash.content)
        if not loss.has_ended:
            self._pending[life].add(crash.content)
        self._turn(_hash_loss(crash.content, life, loss))
        return True

    def confirm(
        self, has_ended: Callable[[Incarnation], bool]
    ) -> list[Incarnation]:
        """Finds which servers of lost runs have ended since; returns them."""
        ended = [life for life in self._pending if has_ended(life)]
        for life in ended:
            for content in list(self._pending[life]):
                self._note_end(content, life)
        return ended

    def clear(self, clearance: messages.Clearance, now: float) -> bool:
        """Forgets what a content is blamed for; says whether that is new."""
        content = clearance.content
        at = now - clearance.age_ms / 1000.0
        if at <= max(self._cleared.get(content, -1e9), now - MEMORY_S):
            return False
        if content not in self._cleared:
            self._turn(_hash(f"cleared {content}"))
        self._cleared[content] = at
        for life, loss in list(self._losses.get(content, {}).items()):
            if loss.at <= at:
                self._drop(content, life)
        while len(self._cleared) > MAX_CLEARED:
            oldest = min(self._cleared, key=lambda c: self._cleared[c])
            self._forget_clearance(oldest)
        return True

    def forget(self, now: float) -> None:
        """Drops what is over."""
        for content, losses in list(self._losses.items()):
            for life, loss in list(losses.items()):
                if _is_over(loss, now):
                    self._drop(content, life)
        for content, at in list(self._cleared.items()):
            if now - at > MEMORY_S:
                self._forget_clearance(content)

    def find_blocked(self) -> dict[int, float]:
        """Returns until when each blocked content is blocked."""
        if self._blocked is None:
            self._blocked, self._suspected = {}, {}
            for content, losses in self._losses.items():
                ends = sorted(x.at for x in losses.values() if x.has_ended)
                if len(ends) >= BLOCK_THRESHOLD:
                    self._blocked[content] = ends[-BLOCK_THRESHOLD] + MEMORY_S
                elif len(ends) == BLOCK_THRESHOLD - 1:
                    self._suspected[content] = ends[0] + SUSPICION_S
        return self._blocked

    def find_suspected(self, now: float) -> dict[int, float]:
        """Returns until when each suspected content is suspected.

        Empty if there are more than `MAX_SUSPECTED`.
        """
        self.find_blocked()
        found = {c: at for c, at in self._suspected.items() if at > now}
        return found if len(found) <= MAX_SUSPECTED else {}

    def list_servers(self, content: int) -> list[str]:
        """Returns the servers that ended under a content."""
        losses = self._losses.get(content, {})
        return [life.server for life, x in losses.items() if x.has_ended]

    def list_crashes(self, now: float) -> tuple[messages.Crash, ...]:
        """Returns all lost runs, as another node is told them."""
        return tuple(
            messages.Crash(
                content,
                life.server,
                life.born,
                _to_ms(now - loss.at),
                loss.has_ended,
            )
            for content, losses in self._losses.items()
            for life, loss in losses.items()
        )

    def list_clearances(self, now: float) -> tuple[messages.Clearance, ...]:
        """Returns all cleared contents, as another node is told them."""
        return tuple(
            messages.Clearance(content, _to_ms(now - at))
            for content, at in self._cleared.items()
        )

    def _note_end(self, content: int, life: Incarnation) -> bool:
        loss = self._losses[content][life]
        if loss.has_ended:
            return False
        before = _hash_loss(content, life, loss)
        loss.has_ended = True
        self._settle(content, life)
        self._turn(before ^ _hash_loss(content, life, loss))
        return True

    def _drop(self, content: int, life: Incarnation) -> None:
        losses = self._losses[content]
        self._turn(_hash_loss(content, life, losses.pop(life)))
        self._settle(content, life)
        self._count -= 1
        if not losses:
            del self._losses[content]
        self._sort(content)

    def _settle(self, content: int, life: Incarnation) -> None:
        """Ends the wait for news of a life under a content."""
        waiting = self._pending.get(life)
        if waiting is None:
            return
        waiting.discard(content)
        if not waiting:
            del self._pending[life]

    def _sort(self, content: int) -> None:
        """Keeps apart which contents have one lost run only."""
        if len(self._losses.get(content, ())) == 1:
            self._single[content] = None
        else:
            self._single.pop(content, None)

    def _drop_least(self) -> None:
        """Drops the oldest content with one lost run, or the oldest of all.

        Many contents that lost one server each can't push out one that lost
        several.
        """
        least = next(iter(self._single or self._losses))
        for life in list(self._losses[least]):
            self._drop(least, life)

    def _forget_clearance(self, content: int) -> None:
        del self._cleared[content]
        self._turn(_hash(f"cleared {content}"))

    def _turn(self, value: int) -> None:
        self._check ^= value
        self._blocked = None


def _is_over(loss: _Loss, now: float) -> bool:
    return now - loss.at > (MEMORY_S if loss.has_ended else PENDING_S)


def _to_ms(seconds: float) -> int:
    return max(0, round(seconds * 1000))


def _hash_loss(content: int, life: Incarnation, loss: _Loss) -> int:
    return _hash(f"{content} {life.server} {life.born} {loss.has_ended}")


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=6).digest()
    return int.from_bytes(digest)
