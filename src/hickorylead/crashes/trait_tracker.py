"""Tracks traits that crash servers, at one coordinator; see `trait_history`."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead import notes
from hickorylead.crashes import (
    messages,
    request_hash,
    trait_blocks,
    trait_history,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

# Time for which gateways are told that a block was released, in seconds.
RELEASE_RETENTION_S = 60.0


class TraitTracker:
    """The trait history of one coordinator, and what its gateways were told."""

    def __init__(self) -> None:
        """Makes a tracker without lost runs."""
        self.history = trait_history.TraitHistory()
        self._sent_blocked: frozenset[trait_history.Traits] = frozenset()
        self._sent_suspected: Mapping[int, str] = {}
        # When traits were released that were blocked before.
        self._released: dict[trait_history.Traits, float] = {}

    def count_blocked(self) -> int:
        """Returns the number of blocks that gateways were told."""
        return len(self._sent_blocked)

    def compute_digest(self, now: float) -> int:
        """Returns the digest of gateways that hold the present blocks."""
        return trait_blocks.digest_limits(
            self.history.find_blocked(now), self.history.find_suspected(now)
        )

    def merge(
        self, update: messages.CrashNews, now: float
    ) -> tuple[tuple[messages.Accusation, ...], tuple[messages.Clearance, ...]]:
        """Merges an update; returns what of it was new."""
        return (
            tuple(a for a in update.accusations if self.history.merge(a, now)),
            tuple(
                c
                for c in update.trait_clearances
                if self.history.merge_clearance(c, now)
            ),
        )

    def prune(self, now: float) -> None:
        """Drops what is too old to count."""
        self.history.prune(now)
        self._released = {
            traits: at
            for traits, at in self._released.items()
            if now - at <= RELEASE_RETENTION_S
        }

    def update(
        self,
        choose_gateways: Callable[[Iterable[int]], dict[int, str]],
        now: float,
    ) -> tuple[bool, list[notes.Note]]:
        """Returns whether gateways must be told, and log notes of changes.

        Args:
            choose_gateways: Returns the gateway that may send each of some
                suspected traits.
            now: Present time.
        """
        blocked = frozenset(self.history.find_blocked(now))
        suspected = choose_gateways(self.history.find_suspected(now))
        if blocked == self._sent_blocked and suspected == self._sent_suspected:
            return False, []
        log_notes = self._make_notes(blocked, suspected)
        for traits in self._sent_blocked - blocked:
            self._released[traits] = now
        self._sent_blocked, self._sent_suspected = blocked, suspected
        return True, log_notes

    def make_limits(
        self,
        choose_gateways: Callable[[Iterable[int]], dict[int, str]],
        now: float,
    ) -> tuple[
        tuple[messages.TraitBlock, ...],
        tuple[messages.TraitSuspicion, ...],
        tuple[messages.TraitBlock, ...],
    ]:
        """Returns the blocks, suspicions and released blocks, for gateways."""
        blocked = self.history.find_blocked(now)
        suspected = self.history.find_suspected(now)
        return (
            tuple(
                messages.TraitBlock(
                    tuple(sorted(traits)),
                    _to_ms(limit.until - now),
                    _to_ms(now - limit.lost_at),
                )
                for traits, limit in blocked.items()
            ),
            tuple(
                messages.TraitSuspicion(
                    trait,
                    _to_ms(suspected[trait].until - now),
                    _to_ms(now - suspected[trait].lost_at),
                    gateway,
                    0
                    if suspected[trait].is_final
                    else max(1, _to_ms(now - suspected[trait].lost_at)),
                )
                for trait, gateway in choose_gateways(suspected).items()
            ),
            tuple(
                messages.TraitBlock(tuple(sorted(traits)), 0, 0)
                for traits in self._released
                if traits not in blocked
            ),
        )

    def _make_notes(
        self,
        blocked: frozenset[trait_history.Traits],
        suspected: Mapping[int, str],
    ) -> list[notes.Note]:
        new_blocks = blocked - self._sent_blocked
        new_suspicions = suspected.keys() - self._sent_suspected.keys()
        log_notes = [
            notes.note(
                "parts_blocked"
                if suspect.traits in new_blocks
                else "parts_suspected",
                parts=_format_traits(suspect.traits),
                servers=sorted(name.split()[0] for name in suspect.ends),
            )
            for suspect in self.history.find_suspects()
            if suspect.traits in new_blocks
            or (
                suspect.traits not in blocked
                and suspect.traits & new_suspicions
            )
        ]
        log_notes += [
            notes.note("parts_unblocked", parts=_format_traits(traits))
            for traits in sorted(self._sent_blocked - blocked, key=sorted)
        ]
        return log_notes


def _format_traits(traits: Iterable[int]) -> list[str]:
    return sorted(map(request_hash.format_request_hash, traits))


def _to_ms(seconds: float) -> int:
    return max(0, round(seconds * 1000))
