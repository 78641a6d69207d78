"""Tracks requests that crash servers, at one coordinator.

Gateways report their lost runs to their home coordinator. Coordinators exchange
the lost runs, find out which servers ended, and send their gateways the
requests to block.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from hickorylead import notes, rendezvous
from hickorylead.crashes import (
    crash_guard,
    crash_history,
    messages,
    request_hash as request_hash_module,
    trait_tracker,
)
from hickorylead.fleet import divergence

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from hickorylead.crashes import trait_history
    from hickorylead.turns import own_pauses

Sent: TypeAlias = tuple[str, messages.Message]

PRUNE_PERIOD_S = 1.0
# Where digests are not compared: interval at which all lost runs, if there are
# any, are sent again, in seconds. A process that restarted has the blocked
# requests again within this time.
FULL_SYNC_PERIOD_S = 5.0


class CrashTracker:
    """The crash history of one coordinator, and its updates to other nodes."""

    def __init__(
        self, node: str, pauses: own_pauses.OwnPauses | None = None
    ) -> None:
        """Makes a tracker without lost runs.

        Args:
            node: Name of the coordinator.
            pauses: Times at which it did not handle other nodes' digests, if
                they are known.
        """
        self._node = node
        self._history = crash_history.CrashHistory()
        self._traits = trait_tracker.TraitTracker()
        self._sent_blocked: frozenset[int] = frozenset()
        self._sent_suspected: dict[int, str] = {}
        # When requests were released that were blocked before.
        self._released: dict[int, float] = {}
        # Gateways whose home coordinator is this node.
        self._own_gateways: tuple[str, ...] = ()
        self._other_home_coordinators: tuple[str, ...] = ()
        self._next_prune_at = 0.0
        self._coordinators = divergence.DivergenceDetector(pauses)
        self._gateways = divergence.DivergenceDetector(pauses)

    @property
    def digest(self) -> int:
        """Digest of the complete history, equal at nodes with equal history."""
        return self._history.digest ^ self._traits.history.digest

    def count_blocked(self) -> int:
        """Returns the number of blocked requests and traits."""
        return len(self._find_blocked()) + self._traits.count_blocked()

    def find_blocked_traits(
        self, now: float
    ) -> dict[trait_history.Traits, trait_history.Limit]:
        """Returns the blocked traits, and until when they are blocked."""
        return self._traits.history.find_blocked(now)

    def find_new_losses(
        self, update: messages.CrashNews, now: float
    ) -> dict[str, float]:
        """Returns when servers lost runs that were not reported before.

        Includes only servers that are not known to have ended.
        """
        new: list[messages.Crash | messages.Accusation] = [
            *(c for c in update.crashes if not self._history.contains(c)),
            *(
                a
                for a in update.accusations
                if not self._traits.history.contains(a)
            ),
        ]
        losses: dict[str, float] = {}
        for loss in new:
            if not loss.has_ended:
                lost_at = now - loss.age_ms / 1000.0
                losses[loss.server] = max(
                    lost_at, losses.get(loss.server, lost_at)
                )
        return losses

    def merge(
        self, update: messages.CrashNews, targets: Iterable[str], now: float
    ) -> list[Sent]:
        """Merges an update; returns the messages to send to other nodes.

        Args:
            update: Lost runs and cleared requests.
            targets: Coordinators that have not received the update; none if a
                coordinator sent it.
            now: Present time.
        """
        crashes = tuple(
            c for c in update.crashes if self._history.merge(c, now)
        )
        cleared = tuple(
            c
            for c in update.clearances
            if self._history.merge_clearance(c, now)
        )
        accusations, trait_clearances = self._traits.merge(update, now)
        if not (crashes or cleared or accusations or trait_clearances):
            return []
        forwarded = messages.CrashNews(
            self._node, crashes, cleared, accusations, trait_clearances
        )
        return [(node, forwarded) for node in targets]

    def restore(self, saved: messages.CrashNews, now: float) -> None:
        """Restores the state that was saved before a restart.

        The saved ages are as of the time of saving, so the losses look later
        than they were. The earlier times of a node that has the real ages take
        precedence.
        """
        self.merge(saved, (), now)

    def sync_coordinator(
        self, node: str, digest: int, *, is_new: bool, now: float
    ) -> list[Sent]:
        """Returns a full update if another coordinator's digest differs.

        Both coordinators send their full history. After that, a coordinator
        that was partitioned or lost its disk has the same state as the other.
        """
        differs = self._coordinators.needs_full_sync(
            node, digest, self.digest, now
        )
        if not differs and not (is_new and digest != self.digest):
            return []
        return [(node, self.make_full_update(now))]

    def sync_gateway(
        self, node: str, digest: int, *, is_new: bool, now: float
    ) -> list[Sent]:
        """Returns a block update if digests of gateway and coordinator differ.

        A gateway that started or changed its home coordinator gets the update
        at once: it would otherwise send requests that all other gateways block.

        Args:
            node: The gateway.
            digest: Digest of the hashes of the requests that the gateway blocks
                or treats as suspected.
            is_new: Whether this node has just become the gateway's home
                coordinator.
            now: Present time.
        """
        own_digest = crash_guard.digest_request_hashes(
            self._find_blocked(), self._history.find_suspected(now)
        ) ^ self._traits.compute_digest(now)
        differs = self._gateways.needs_full_sync(node, digest, own_digest, now)
        if not differs and not (is_new and digest != own_digest):
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
        """Records ended servers; returns changed blocks and their log notes.

        Args:
            has_ended: Returns whether a server's incarnation is known to have
                ended.
            gateways: Gateways whose home coordinator is this node.
            now: Present time.
            other_home_coordinators: Other coordinators that are home
                coordinators of gateways.
        """
        self._history.confirm(has_ended)
        self._traits.history.confirm(has_ended)
        if now >= self._next_prune_at:
            self._next_prune_at = now + PRUNE_PERIOD_S
            self._history.prune(now)
            self._traits.prune(now)
            self._released = {
                request_hash: at
                for request_hash, at in self._released.items()
                if now - at <= trait_tracker.RELEASE_RETENTION_S
            }
        self._own_gateways = tuple(gateways)
        self._other_home_coordinators = tuple(other_home_coordinators)
        blocked = frozenset(self._find_blocked())
        suspected = self._choose_gateways(self._history.find_suspected(now))
        has_new_traits, trait_notes = self._traits.update(
            self._choose_gateways, now
        )
        if (
            not has_new_traits
            and blocked == self._sent_blocked
            and suspected == self._sent_suspected
        ):
            return [], []
        log_notes = [*self._make_notes(blocked), *trait_notes]
        for request_hash in self._sent_blocked - blocked:
            self._released[request_hash] = now
        self._sent_blocked, self._sent_suspected = blocked, suspected
        update = self.make_block_update(now)
        return [(node, update) for node in self._own_gateways], log_notes

    def make_block_update(self, now: float) -> messages.BlockNews:
        """Returns all blocked and suspected requests, for the gateways.

        At most one of these gateways may send a suspected request, so that the
        request ends no more than one further server before it is blocked.
        """
        blocked = self._find_blocked()
        blocks = tuple(
            messages.Block(request_hash, max(0, int((until - now) * 1000)))
            for request_hash, until in sorted(blocked.items())
        )
        cleared = tuple(
            c.content
            for c in self._history.list_clearances(now)
            if c.content not in blocked
        ) + tuple(c for c in self._released if c not in blocked)
        suspected = self._history.find_suspected(now)
        suspicions = tuple(
            messages.Suspicion(
                request_hash,
                int((suspected[request_hash] - now) * 1000),
                gateway,
            )
            for request_hash, gateway in self._choose_gateways(
                suspected
            ).items()
        )
        return messages.BlockNews(
            self._node,
            blocks,
            cleared,
            suspicions,
            *self._traits.make_limits(self._choose_gateways, now),
        )

    def _find_blocked(self) -> dict[int, float]:
        """Returns when the block of each request ends, by its hash.

        A request whose losses are explained by blocked traits of others is not
        blocked: it was only sent to the same servers.
        """
        blocked = self._history.find_blocked()
        if not blocked:
            return blocked
        explained = self._traits.history.list_explained()
        return {
            request_hash: until
            for request_hash, until in blocked.items()
            if not explained.issuperset(self._history.list_ends(request_hash))
        }

    def _choose_gateways(self, suspected: Iterable[int]) -> dict[int, str]:
        """Returns the gateway that may send each suspected request or trait.

        The gateway's name is empty if another coordinator chooses the gateway.
        """
        coordinators = self._other_home_coordinators
        if self._own_gateways:
            coordinators = (self._node, *coordinators)
        chosen = {}
        for request_hash in sorted(suspected):
            key = str(request_hash)
            is_owned = rendezvous.rank_names(key, coordinators)[:1] == [
                self._node
            ]
            gateways = rendezvous.rank_names(key, self._own_gateways)
            chosen[request_hash] = gateways[0] if is_owned else ""
        return chosen

    def make_evidence_update(self, now: float) -> messages.CrashNews:
        """Returns only the lost runs for which a request is blocked.

        After the loss of a zone there are thousands of lost runs that do not
        lead to a block.
        """
        blocked = self._history.find_blocked()
        crashes = tuple(
            crash
            for crash in self._history.list_crashes(now)
            if crash.content in blocked and crash.has_ended
        )
        return messages.CrashNews(
            self._node,
            crashes,
            accusations=self._traits.history.list_accusations(now)
            if self._traits.count_blocked()
            else (),
        )

    def make_full_update(self, now: float) -> messages.CrashNews:
        """Returns the complete history, for another node or for the disk."""
        return messages.CrashNews(
            self._node,
            self._history.list_crashes(now),
            self._history.list_clearances(now),
            self._traits.history.list_accusations(now),
            self._traits.history.list_clearances(now),
        )

    def _make_notes(self, blocked: frozenset[int]) -> list[notes.Note]:
        log_notes = [
            notes.note(
                "content_blocked",
                content=request_hash_module.format_request_hash(request_hash),
                servers=self._history.list_servers(request_hash),
            )
            for request_hash in sorted(blocked - self._sent_blocked)
        ]
        log_notes += [
            notes.note(
                "content_unblocked",
                content=request_hash_module.format_request_hash(request_hash),
            )
            for request_hash in sorted(self._sent_blocked - blocked)
        ]
        return log_notes
