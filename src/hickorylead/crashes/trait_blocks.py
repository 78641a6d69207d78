"""Blocked and suspected traits at one gateway; see `run_evidence`."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import attrs

from hickorylead.crashes import messages, run_evidence, trait_history

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

# Time in which the number of gateways that may try a suspected trait doubles,
# in seconds, and the most doublings.
DOUBLING_S = 1.0
MAX_DOUBLINGS = 16.0
# Time for which a reported clearance is not reported again, in seconds.
CLEARANCE_PERIOD_S = 0.5


@attrs.define
class _Block:
    until: float
    lost_at: float
    is_listed: bool = True


@attrs.frozen
class _Suspicion:
    until: float
    lost_at: float
    is_allowed: bool
    since: float | None


class TraitBlocks:
    """Traits that coordinators block or suspect.

    A gateway that knows of a sound run newer than the losses ignores them and
    reports that run.
    """

    def __init__(self, node: str, evidence: run_evidence.RunEvidence) -> None:
        """Makes an object without blocks.

        Args:
            node: Name of the gateway.
            evidence: Runs of the gateway.
        """
        self._node = node
        self._evidence = evidence
        self._blocks: dict[trait_history.Traits, _Block] = {}
        self._suspicions: dict[int, _Suspicion] = {}
        self._reported: dict[int, float] = {}
        # Number of gateways of all zones, as last reported.
        self.gateway_count = 1

    def count(self) -> int:
        """Returns the number of blocks."""
        return len(self._blocks)

    def compute_digest(self, now: float) -> int:
        """Returns a digest of what the coordinators listed last."""
        self._prune(now)
        return digest_limits(
            (traits for traits, b in self._blocks.items() if b.is_listed),
            self._suspicions,
        )

    def find_block_remaining_s(
        self, traits: Collection[int], now: float
    ) -> float | None:
        """Returns how long a request is blocked, in seconds; None if not."""
        if not self._blocks:
            return None
        remaining = [
            block.until - now
            for blocked, block in self._blocks.items()
            if block.until > now
            and blocked.issubset(traits)
            and not self._is_cleared(blocked, block.lost_at)
        ]
        return max(remaining, default=None)

    def find_suspected(
        self, traits: Iterable[int], now: float
    ) -> dict[int, bool]:
        """Returns the suspected traits, and whether they may be sent here."""
        if not self._suspicions:
            return {}
        return {
            trait: found.is_allowed or self._may_help(trait, found, now)
            for trait in traits
            if (found := self._suspicions.get(trait)) is not None
            and found.until > now
            and not self._evidence.is_sound(trait, found.lost_at)
        }

    def apply(self, update: messages.BlockNews, now: float) -> None:
        """Applies the blocked and suspected traits of a coordinator.

        Blocks that are neither listed nor released stay until they expire, as
        the coordinator may have lost them.
        """
        for block in self._blocks.values():
            block.is_listed = False
        for released in update.released:
            self._blocks.pop(frozenset(released.traits), None)
        for listed in update.trait_blocks:
            self._blocks[frozenset(listed.traits)] = _Block(
                now + listed.left_ms / 1000.0, now - listed.lost_ms / 1000.0
            )
        self._suspicions = {
            listed.trait: _Suspicion(
                now + listed.left_ms / 1000.0,
                now - listed.lost_ms / 1000.0,
                listed.gateway == self._node,
                now - listed.since_ms / 1000.0 if listed.since_ms else None,
            )
            for listed in update.trait_suspicions
        }

    def collect_clearances(self, now: float) -> tuple[messages.Clearance, ...]:
        """Returns sound runs that contradict blocks or suspicions."""
        lost = {t: s.lost_at for t, s in self._suspicions.items()}
        for traits, block in self._blocks.items():
            for trait in traits:
                lost[trait] = max(block.lost_at, lost.get(trait, -1e9))
        if not lost:
            self._reported.clear()
            return ()
        found = []
        for trait, lost_at in lost.items():
            if not self._evidence.is_sound(trait, lost_at):
                continue
            if now - self._reported.get(trait, -1e9) < CLEARANCE_PERIOD_S:
                continue
            self._reported[trait] = now
            sound_at = self._evidence.find_sound_time(trait) or 0.0
            cleared_s = now - sound_at - run_evidence.CLEARANCE_S
            found.append(
                messages.Clearance(trait, max(0, int(cleared_s * 1000)))
            )
        return tuple(found)

    def _may_help(self, trait: int, found: _Suspicion, now: float) -> bool:
        """Returns whether this gateway, too, may try requests with a trait.

        Such requests may be too rare to reach the chosen gateway soon. The
        number of gateways that may try them doubles each second; if a first
        one ends its server, that is known before many more have come.
        """
        if found.since is None:
            return False
        doublings = min(MAX_DOUBLINGS, (now - found.since) / DOUBLING_S)
        key = f"{trait} {self._node}".encode()
        digest = hashlib.blake2b(key, digest_size=8).digest()
        share = int.from_bytes(digest) / 2**64
        return share * self.gateway_count < 2**doublings - 1

    def _is_cleared(self, traits: trait_history.Traits, lost_at: float) -> bool:
        return any(self._evidence.is_sound(t, lost_at) for t in traits)

    def _prune(self, now: float) -> None:
        self._blocks = {t: b for t, b in self._blocks.items() if b.until > now}
        self._suspicions = {
            t: s for t, s in self._suspicions.items() if s.until > now
        }


def digest_limits(
    blocked: Iterable[trait_history.Traits], suspected: Iterable[int]
) -> int:
    """Returns a digest of blocked and suspected traits, in any order."""
    digest = 0
    for traits in blocked:
        digest ^= trait_history.hash_traits(traits)
    for trait in suspected:
        digest ^= trait
    return digest
