"""Servers that ended under runs that share traits, merged from all nodes.

Like `crash_history`, it can be merged in any order and any number of times.
"""

from __future__ import annotations

import collections
import hashlib
from typing import TYPE_CHECKING

import attrs

from hickorylead.crashes import (
    crash_history,
    fault_localization,
    messages,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# Time after the last loss for which traits are blocked, in seconds: for the
# fewest ends that block, and at most; it doubles with each further end. After
# that they are suspected for as long again: a single run decides about them.
FIRST_BLOCK_S = 60.0
MAX_BLOCK_S = 900.0
# Time after the last loss for which traits are suspected that are not blocked,
# and for which losses without blocked traits are kept, in seconds.
SUSPICION_S = 30.0
LOSS_RETENTION_S = 60.0
# If more traits than this are suspected, all suspicions are ignored; see
# `crash_history.MAX_SUSPECTED`.
MAX_SUSPECTED = 16
# Maximum number of blocks, the strongest first, and of lost runs and
# clearances that are kept. A run takes some 400 bytes.
MAX_BLOCKS = 64
MAX_RUNS = 4096
MAX_CLEARED = 1024
# Shortest advance of a clearance that is passed on, in seconds, unless it
# covers another loss: hot traits have sound runs all the time.
CLEARANCE_STEP_S = 0.25

Traits = frozenset[int]


@attrs.frozen
class Limit:
    """End of a block or suspicion.

    Attributes:
        until: When it ends.
        lost_at: The last loss that led to it.
        is_final: Whether the traits were blocked before.
    """

    until: float
    lost_at: float
    is_final: bool = False


@attrs.define
class _Run:
    sent_at: float
    proven: frozenset[int] = frozenset()


@attrs.define
class _End:
    lost_at: float
    has_ended: bool
    # Runs by their traits.
    runs: dict[tuple[int, ...], _Run] = attrs.field(factory=dict)


class TraitHistory:
    """Lost runs by incarnation of a server, and traits that explain them."""

    def __init__(self) -> None:
        """Makes an empty history."""
        self._ends: dict[crash_history.Incarnation, _End] = {}
        self._pending: set[crash_history.Incarnation] = set()
        self._cleared: dict[int, float] = {}
        self._suspects: list[fault_localization.Suspect] | None = None
        self._run_count = 0
        self.digest = 0

    def contains(self, accusation: messages.Accusation) -> bool:
        """Returns whether lost runs of a server's incarnation are stored."""
        return _find_incarnation(accusation) in self._ends

    def merge(self, accusation: messages.Accusation, now: float) -> bool:
        """Merges lost runs; returns whether that changed anything."""
        lost_at = now - accusation.age_ms / 1000.0
        if now - lost_at > 2 * MAX_BLOCK_S:
            return False
        incarnation = _find_incarnation(accusation)
        end = self._ends.get(incarnation)
        if end is None:
            end = self._ends[incarnation] = _End(lost_at, has_ended=False)
            self._pending.add(incarnation)
        # As in `crash_history`, the earliest time counts.
        end.lost_at = min(end.lost_at, lost_at)
        has_changed = False
        for run in accusation.runs:
            sent_at = now - run.sent_ms / 1000.0
            known = end.runs.get(run.traits)
            if known is None:
                known = end.runs[run.traits] = _Run(sent_at)
                self._run_count += 1
                self._update_digest(incarnation, str(run.traits))
                has_changed = True
            known.sent_at = min(sent_at, known.sent_at)
            known.proven |= set(run.proven)
        if accusation.has_ended and not end.has_ended:
            self._record_end(incarnation)
            has_changed = True
        while self._run_count > MAX_RUNS:
            self._evict()
        return has_changed

    def confirm(
        self, has_ended: Callable[[crash_history.Incarnation], bool]
    ) -> None:
        """Records which servers of lost runs ended."""
        for incarnation in [i for i in self._pending if has_ended(i)]:
            self._record_end(incarnation)

    def merge_clearance(
        self, clearance: messages.Clearance, now: float
    ) -> bool:
        """Merges the time up to which losses do not count against a trait."""
        at = now - clearance.age_ms / 1000.0
        trait = clearance.content
        known = self._cleared.get(trait)
        if known is not None and not self._is_needed(at, known):
            return False
        if now - at > LOSS_RETENTION_S and not self._is_blocked(trait):
            return False
        if known is None:
            self._update_digest(None, f"cleared {trait}")
        self._cleared[trait] = at
        self._suspects = None
        while len(self._cleared) > MAX_CLEARED:
            oldest = min(self._cleared, key=lambda t: self._cleared[t])
            self._drop_clearance(oldest)
        return True

    def find_suspects(self) -> list[fault_localization.Suspect]:
        """Returns the traits that explain ends, the strongest first."""
        if self._suspects is None:
            ends = [
                fault_localization.End(
                    f"{incarnation.server} {incarnation.born}",
                    end.lost_at,
                    tuple(
                        fault_localization.LostRun(
                            frozenset(traits), run.sent_at, run.proven
                        )
                        for traits, run in end.runs.items()
                    ),
                )
                for incarnation, end in self._ends.items()
                if end.has_ended
            ]
            self._suspects = fault_localization.localize(ends, self._cleared)
        return self._suspects

    def find_blocked(self, now: float) -> dict[Traits, Limit]:
        """Returns the blocked traits, and until when they are blocked."""
        blocked = {}
        for suspect in self.find_suspects():
            until = suspect.lost_at + _find_block_s(suspect)
            if _may_block(suspect) and until > now:
                blocked[suspect.traits] = Limit(until, suspect.lost_at)
                if len(blocked) >= MAX_BLOCKS:
                    break
        return blocked

    def find_suspected(self, now: float) -> dict[int, Limit]:
        """Returns the suspected traits, and until when they are suspected.

        Returns nothing if more than `MAX_SUSPECTED` traits are suspected.
        """
        suspected: dict[int, Limit] = {}
        for suspect in self.find_suspects():
            may_block = _may_block(suspect)
            block_s = _find_block_s(suspect)
            is_blocked = may_block and now < suspect.lost_at + block_s
            if is_blocked and len(suspect.traits) == 1:
                continue
            limit = Limit(
                suspect.lost_at + (2 * block_s if may_block else SUSPICION_S),
                suspect.lost_at,
                is_final=may_block and not is_blocked,
            )
            if limit.until > now:
                for trait in suspect.traits:
                    suspected.setdefault(trait, limit)
        return suspected if len(suspected) <= MAX_SUSPECTED else {}

    def list_explained(self) -> frozenset[str]:
        """Returns names of the incarnations whose ends blocks explain."""
        return frozenset(
            name
            for suspect in self.find_suspects()
            if _may_block(suspect) and len(suspect.traits) == 1
            for name in suspect.ends
        )

    def list_accusations(self, now: float) -> tuple[messages.Accusation, ...]:
        """Returns messages for all lost runs."""
        return tuple(
            messages.Accusation(
                incarnation.server,
                incarnation.born,
                _to_ms(now - end.lost_at),
                tuple(
                    messages.AccusedRun(
                        traits, _to_ms(now - run.sent_at), tuple(run.proven)
                    )
                    for traits, run in end.runs.items()
                ),
                end.has_ended,
            )
            for incarnation, end in self._ends.items()
        )

    def list_clearances(self, now: float) -> tuple[messages.Clearance, ...]:
        """Returns messages for all clearances."""
        return tuple(
            messages.Clearance(trait, _to_ms(now - at))
            for trait, at in self._cleared.items()
        )

    def prune(self, now: float) -> None:
        """Drops what is too old to count."""
        kept: dict[str, set[int]] = collections.defaultdict(set)
        for suspect in self.find_suspects():
            lasts_s = 2 * _find_block_s(suspect)
            if _may_block(suspect) and now - suspect.lost_at <= lasts_s:
                for name in suspect.ends:
                    kept[name] |= suspect.traits
        for incarnation, end in list(self._ends.items()):
            if now - end.lost_at <= LOSS_RETENTION_S:
                continue
            traits = kept.get(f"{incarnation.server} {incarnation.born}", set())
            for run in list(end.runs):
                if traits.isdisjoint(run):
                    self._drop_run(incarnation, run)
        for trait, at in list(self._cleared.items()):
            if now - at > LOSS_RETENTION_S and not self._is_blocked(trait):
                self._drop_clearance(trait)

    def _is_needed(self, at: float, known: float) -> bool:
        """Returns whether a clearance is worth passing on."""
        return at > known + CLEARANCE_STEP_S or any(
            known < end.lost_at <= at for end in self._ends.values()
        )

    def _is_blocked(self, trait: int) -> bool:
        return any(
            trait in suspect.traits and _may_block(suspect)
            for suspect in self.find_suspects()
        )

    def _record_end(self, incarnation: crash_history.Incarnation) -> None:
        self._ends[incarnation].has_ended = True
        self._pending.discard(incarnation)
        self._update_digest(incarnation, "ended")

    def _evict(self) -> None:
        """Drops the oldest lost run that explains nothing, or the oldest."""
        suspected: set[int] = set()
        for suspect in self.find_suspects():
            suspected |= suspect.traits
        found = [(i, run) for i, end in self._ends.items() for run in end.runs]
        found.sort(key=lambda item: self._ends[item[0]].lost_at)
        found.sort(key=lambda item: not suspected.isdisjoint(item[1]))
        for incarnation, run in found[: MAX_RUNS // 8]:
            self._drop_run(incarnation, run)

    def _drop_run(
        self, incarnation: crash_history.Incarnation, run: tuple[int, ...]
    ) -> None:
        end = self._ends[incarnation]
        del end.runs[run]
        self._run_count -= 1
        self._update_digest(incarnation, str(run))
        if end.runs:
            return
        if end.has_ended:
            self._update_digest(incarnation, "ended")
        self._pending.discard(incarnation)
        del self._ends[incarnation]

    def _drop_clearance(self, trait: int) -> None:
        del self._cleared[trait]
        self._update_digest(None, f"cleared {trait}")

    def _update_digest(
        self, incarnation: crash_history.Incarnation | None, text: str
    ) -> None:
        self.digest ^= _hash(f"{incarnation} {text}")
        self._suspects = None


def hash_traits(traits: Iterable[int]) -> int:
    """Returns a hash of traits, independent of their order."""
    return _hash(str(sorted(traits)))


def _may_block(suspect: fault_localization.Suspect) -> bool:
    return suspect.count >= fault_localization.BLOCK_THRESHOLD


def _find_block_s(suspect: fault_localization.Suspect) -> float:
    doublings = max(0, suspect.count - fault_localization.BLOCK_THRESHOLD)
    return min(MAX_BLOCK_S, FIRST_BLOCK_S * 2.0 ** min(doublings, 16))


def _find_incarnation(
    accusation: messages.Accusation,
) -> crash_history.Incarnation:
    return crash_history.Incarnation(accusation.server, accusation.born)


def _to_ms(seconds: float) -> int:
    return max(0, round(seconds * 1000))


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=6).digest()
    return int.from_bytes(digest)
