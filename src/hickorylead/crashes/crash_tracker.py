"""What one coordinator does about requests that end servers.

Gateways tell their home which runs they lost. Coordinators tell each other,
find out which servers ended, and tell their gateways what no replica may get.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from hickorylead import notes, rendezvous
from hickorylead.crashes import (
    crash_guard,
    crash_history,
    messages,
    request_hash,
)
from hickorylead.fleet import divergence

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

Sent: TypeAlias = tuple[str, messages.Message]

FORGET_PERIOD_S = 1.0
# Where hashes are not compared, all is told again this often, in seconds, while
# there is anything: within it a process that restarted knows what is blocked.
RETELL_PERIOD_S = 5.0


class CrashTracker:
    """The ledger of one coordinator, and whom it tells of it."""

    def __init__(self, node: str) -> None:
        """Makes an exchange that knows of no lost run.

        Args:
            node: Name of the coordinator.
        """
        self._node = node
        self._ledger = crash_history.CrashHistory()
        self._told: frozenset[int] = frozenset()
        self._told_suspected: dict[int, str] = {}
        # Gateways whose home this coordinator is.
        self._own_gateways: tuple[str, ...] = ()
        # Other coordinators that are home to gateways.
        self._other_homes: tuple[str, ...] = ()
        self._next_forget = 0.0
        self._coordinators = divergence.DivergenceDetector()
        self._gateways = divergence.DivergenceDetector()

    @property
    def digest(self) -> int:
        """A hash over all that is known, the same at those that know it."""
        return self._ledger.check

    def count_blocked(self) -> int:
        """Returns how many contents are blocked."""
        return len(self._ledger.find_blocked())

    def list_new_servers(self, news: messages.CrashNews) -> list[str]:
        """Returns the servers of lost runs that were not told before.

        Those that are not known to have ended, each once, sorted.
        """
        found = {
            crash.server
            for crash in news.crashes
            if not crash.has_ended and not self._ledger.knows(crash)
        }
        return sorted(found)

    def merge(
        self, news: messages.CrashNews, others: Iterable[str], now: float
    ) -> list[Sent]:
        """Takes news; returns what others are to be told.

        Args:
            news: Lost runs and cleared contents.
            others: Coordinators that have not heard it; none if one of them
                tells.
            now: Present time.
        """
        crashes = tuple(c for c in news.crashes if self._ledger.take(c, now))
        cleared = tuple(
            c for c in news.clearances if self._ledger.clear(c, now)
        )
        if not crashes and not cleared:
            return []
        passed = messages.CrashNews(self._node, crashes, cleared)
        return [(node, passed) for node in others]

    def restore(self, remembered: messages.CrashNews, now: float) -> None:
        """Takes what was known before a restart.

        Its ages are those of the time when it was saved; another node that
        knows how old it really is goes first.
        """
        self.merge(remembered, (), now)

    def sync_coordinator(
        self, node: str, check: int, *, is_new: bool, now: float
    ) -> list[Sent]:
        """Returns what another coordinator lacks, by the hash that it told.

        Both tell all they know. One that was cut off or lost its disk knows
        the same after that.
        """
        differs = self._coordinators.needs_full_sync(
            node, check, self.digest, now
        )
        if not differs and not (is_new and check != self.digest):
            return []
        return [(node, self.make_full_update(now))]

    def sync_gateway(
        self, node: str, check: int, *, is_new: bool, now: float
    ) -> list[Sent]:
        """Returns what a gateway lacks, by the hash that it told.

        One that has started or turned here is told at once: it would send what
        all others block.
        """
        ours = crash_guard.hash_contents(
            self._ledger.find_blocked(), self._ledger.find_suspected(now)
        )
        differs = self._gateways.needs_full_sync(node, check, ours, now)
        if not differs and not (is_new and check != ours):
            return []
        return [(node, self.make_block_update(now))]

    def tick(
        self,
        has_ended: Callable[[crash_history.Incarnation], bool],
        gateways: Iterable[str],
        now: float,
        *,
        other_home_coordinators: Iterable[str] = (),
    ) -> tuple[list[Sent], list[notes.Note]]:
        """Lets time pass: servers end, contents are blocked.

        Args:
            has_ended: Says whether a server's life is known to have ended.
            gateways: Gateways whose home this coordinator is.
            now: Present time.
            other_home_coordinators: Other coordinators that are home to
                gateways.
        """
        self._ledger.confirm(has_ended)
        if now >= self._next_forget:
            self._next_forget = now + FORGET_PERIOD_S
            self._ledger.forget(now)
        self._own_gateways = tuple(gateways)
        self._other_homes = tuple(other_home_coordinators)
        blocked = frozenset(self._ledger.find_blocked())
        suspected = self._choose_gateways(now)
        if blocked == self._told and suspected == self._told_suspected:
            return [], []
        written = self._describe_change(blocked)
        self._told, self._told_suspected = blocked, suspected
        news = self.make_block_update(now)
        return [(node, news) for node in self._own_gateways], written

    def make_block_update(self, now: float) -> messages.BlockNews:
        """Returns all blocked and suspected contents, for the gateways.

        At most one of these gateways may send a suspected content, so that it
        ends no more than one further server before it is blocked.
        """
        blocked = self._ledger.find_blocked()
        blocks = tuple(
            messages.Block(content, max(0, int((until - now) * 1000)))
            for content, until in sorted(blocked.items())
        )
        cleared = tuple(
            c.content
            for c in self._ledger.list_clearances(now)
            if c.content not in blocked
        )
        suspected = self._ledger.find_suspected(now)
        suspicions = tuple(
            messages.Suspicion(
                content, int((suspected[content] - now) * 1000), gateway
            )
            for content, gateway in self._choose_gateways(now).items()
        )
        return messages.BlockNews(self._node, blocks, cleared, suspicions)

    def _choose_gateways(self, now: float) -> dict[int, str]:
        """Returns the gateway that may send each suspected content.

        The name is empty if another coordinator chooses the gateway.
        """
        homes = self._other_homes
        if self._own_gateways:
            homes = (self._node, *homes)
        chosen = {}
        for content in sorted(self._ledger.find_suspected(now)):
            key = str(content)
            is_mine = rendezvous.rank_names(key, homes)[:1] == [self._node]
            gateways = rendezvous.rank_names(key, self._own_gateways)
            chosen[content] = gateways[0] if is_mine else ""
        return chosen

    def make_evidence_update(self, now: float) -> messages.CrashNews:
        """Returns the lost runs for which something is blocked, no others.

        After the loss of a zone thousands of runs are known that block nothing.
        """
        blocked = self._ledger.find_blocked()
        crashes = tuple(
            crash
            for crash in self._ledger.list_crashes(now)
            if crash.content in blocked and crash.has_ended
        )
        return messages.CrashNews(self._node, crashes)

    def make_full_update(self, now: float) -> messages.CrashNews:
        """Returns all that is known, for another node or for the disk."""
        return messages.CrashNews(
            self._node,
            self._ledger.list_crashes(now),
            self._ledger.list_clearances(now),
        )

    def _describe_change(self, blocked: frozenset[int]) -> list[notes.Note]:
        found = [
            notes.note(
                "content_blocked",
                content=request_hash.format_request_hash(content),
                servers=self._ledger.list_servers(content),
            )
            for content in sorted(blocked - self._told)
        ]
        found += [
            notes.note(
                "content_unblocked",
                content=request_hash.format_request_hash(content),
            )
            for content in sorted(self._told - blocked)
        ]
        return found
