"""What a gateway does about requests that end the servers which run them."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from hickorylead.crashes import crash_history, messages

if TYPE_CHECKING:
    from collections.abc import Iterable

# A lost run is told a second time after this, in seconds: the first message is
# lost if the coordinator's process ends, and a restart takes a second or less.
RETELL_S = 1.5
# Lost runs that a gateway keeps for its next home: some 23 a replica at the
# peak, of many replicas that were lost together.
MAX_OWN = 512
# A content that was answered whole within this is not blamed for servers that
# end, in seconds: calls that many callers repeat are under way at every server
# that is lost. It is longer than a series of losses, 5 to 10 s.
ANSWERED_S = 60.0
# Answered contents that are kept: 60 s of the 10 requests/s of a gateway at the
# peak are 600; some 150 bytes each.
MAX_ANSWERED = 2048


@attrs.define
class _Own:
    crash: messages.Crash
    at: float
    told_at: float = -1e9
    is_told_twice: bool = False


class CrashGuard:
    """The blocked contents that a gateway knows, and the runs that it lost."""

    def __init__(self, node: str) -> None:
        """Makes a guard that knows of no blocked content.

        Args:
            node: Name of the gateway.
        """
        self._node = node
        self._blocked: dict[int, float] = {}
        # Suspected contents: end of the suspicion, and whether this gateway may
        # send them.
        self._suspected: dict[int, tuple[float, bool]] = {}
        self._own: collections.deque[_Own] = collections.deque(maxlen=MAX_OWN)
        self._answered: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        # Contents that others blame, but were answered here.
        self._cleared: set[int] = set()
        self._home = ""

    def count_blocked(self) -> int:
        """Returns how many contents are blocked."""
        return len(self._blocked)

    def compute_digest(self, now: float) -> int:
        """Returns a hash over the blocked and suspected contents."""
        self._forget(now)
        return hash_contents(self._blocked, self._suspected)

    def get_block_remaining_s(self, content: int, now: float) -> float | None:
        """Returns how much longer a content is blocked, in seconds.

        None if it is not.
        """
        until = self._blocked.get(content, now)
        return until - now if until > now else None

    def may_send(self, content: int, *, runs: int, now: float) -> bool:
        """Returns whether this gateway may send a request that is not blocked.

        Only one gateway may send a suspected request, and each submission of
        it to one server only.

        Args:
            content: Its hash.
            runs: Servers that may have run this submission.
            now: Present time.
        """
        until, is_allowed = self._suspected.get(content, (now, True))
        return until <= now or (is_allowed and not runs)

    def is_suspected(self, content: int, now: float) -> bool:
        """Returns whether a content may have ended a server recently.

        Coordinators suspect it, or this gateway lost a run of it within
        `crash_history.PENDING_S` and got no whole answer.
        """
        until, _ = self._suspected.get(content, (now, True))
        if until > now:
            return True
        return not self._was_answered(content, now) and any(
            own.crash.content == content
            and now - own.at <= crash_history.PENDING_S
            for own in self._own
        )

    def record_lost_run(
        self, content: int, server: str, born: int, now: float
    ) -> None:
        """Takes that a server gave no whole answer and may have run it.

        Whether its life ended with that is for coordinators to find out.
        """
        if self._was_answered(content, now):
            return
        crash = messages.Crash(content, server, born, 0)
        self._own.append(_Own(crash, now))

    def record_complete_response(self, content: int, now: float) -> None:
        """Takes that a server answered a content whole."""
        if self._suspected.pop(content, None) is not None:
            self._cleared.add(content)
        self._answered[content] = now
        self._answered.move_to_end(content)
        if len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)

    def apply_blocks(self, news: messages.BlockNews, now: float) -> None:
        """Takes the blocked contents that a coordinator knows.

        What it does not name stays blocked for its time: it may have restarted
        and know less. Suspected contents that it does not name are dropped.
        """
        for block in news.blocks:
            if self._was_answered(block.content, now):
                self._cleared.add(block.content)
                continue
            self._blocked[block.content] = now + block.left_ms / 1000.0
        for content in news.cleared:
            self._blocked.pop(content, None)
        self._suspected = {}
        for suspicion in news.suspicions:
            if self._was_answered(suspicion.content, now):
                self._cleared.add(suspicion.content)
                continue
            until = now + suspicion.left_ms / 1000.0
            is_allowed = suspicion.gateway == self._node
            self._suspected[suspicion.content] = until, is_allowed

    def collect_messages(
        self, home: str, now: float
    ) -> list[tuple[str, messages.CrashNews]]:
        """Returns what its home is to be told now.

        Args:
            home: The gateway's coordinator; empty if it has none.
            now: Present time.
        """
        while self._own and now - self._own[0].at > crash_history.PENDING_S:
            self._own.popleft()
        is_new = home != self._home
        self._home = home
        if not home:
            return []
        due = [x for x in self._own if is_new or _is_due(x, now)]
        cleared, self._cleared = self._cleared, set()
        if not due and not cleared:
            return []
        for own in due:
            own.is_told_twice = own.told_at > 0
            own.told_at = now
        crashes = tuple(
            attrs.evolve(x.crash, age_ms=int((now - x.at) * 1000)) for x in due
        )
        # What was lost until now is forgiven, not just what was lost before the
        # answer: a call that was answered does not end servers.
        clearances = tuple(messages.Clearance(c, 0) for c in sorted(cleared))
        return [(home, messages.CrashNews(self._node, crashes, clearances))]

    def _was_answered(self, content: int, now: float) -> bool:
        return now - self._answered.get(content, -1e9) <= ANSWERED_S

    def _forget(self, now: float) -> None:
        for content, until in list(self._blocked.items()):
            if until <= now:
                del self._blocked[content]
        for content, (until, _) in list(self._suspected.items()):
            if until <= now:
                del self._suspected[content]


def hash_contents(*groups: Iterable[int]) -> int:
    """Returns a hash over groups of contents, independent of their order."""
    found = 0
    for contents in groups:
        for content in contents:
            found ^= content
    return found


def _is_due(own: _Own, now: float) -> bool:
    return not own.is_told_twice and now - own.told_at >= RETELL_S
