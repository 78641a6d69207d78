"""The backend servers that one node knows of."""

from __future__ import annotations

import collections
import hashlib
from typing import TYPE_CHECKING

import attrs

from hickorylead.fleet import instances

if TYPE_CHECKING:
    from collections.abc import Iterable

# A life that has ended is remembered for this long, in seconds, so that a late
# heartbeat of it is known for what it is. Heartbeats that a partition held up
# come when it heals; partitions that we were told of last seconds.
REMEMBER_GONE_S = 120.0
# A server that is known from the disk alone is not taken for lost for this long
# after a restart, in seconds: two heartbeat periods, as one heartbeat may go to
# a control node that is gone. A working group was closed, 1.85 s after all
# control nodes restarted, as the heartbeat of one member came at 1.88 s.
UNHEARD_S = 2.5
# A node whose hash was ours this long ago or less is not told everything: the
# changes since are on their way. In seconds; a batch of changes leaves within
# 0.05 s, and the greeting with the hash comes each 0.25 s.
CHECK_MEMORY_S = 0.6


class Registry:
    """Instances by name, with when each was last heard of."""

    def __init__(self) -> None:
        """Makes a registry that knows nobody."""
        self.instances: dict[str, instances.Instance] = {}
        self.heard_at: dict[str, float] = {}
        # Number of the heartbeat that last told something new.
        self.changed_sequences: dict[str, int] = {}
        # Servers known from the disk that were not heard yet, since when.
        self._recalled: dict[str, float] = {}
        # Counts what changed, so that others can tell cheaply.
        self.changes = 0
        self._checks: dict[str, int] = {}
        self._check = 0
        # Former hashes, and until when they were the present one.
        self._former: collections.deque[tuple[float, int]] = collections.deque()

    @property
    def digest(self) -> int:
        """A hash over all instances, the same at nodes that know the same."""
        return self._check

    def had_digest(self, check: int, now: float) -> bool:
        """Says whether a hash is ours, or was until a moment ago."""
        while self._former and now - self._former[0][0] > CHECK_MEMORY_S:
            self._former.popleft()
        return check == self._check or any(
            check == former for _, former in self._former
        )

    def merge(self, news: instances.Instance, now: float) -> bool:
        """Takes news of an instance; says whether they changed anything."""
        known = self.instances.get(news.name)
        if not instances.is_newer(news, known):
            return False
        news = instances.keep_known(news, known)
        if not news.silent:
            self.heard_at[news.name] = now
            self._recalled.pop(news.name, None)
        changed = known is None or not instances.says_the_same(known, news)
        if changed:
            self.changed_sequences[news.name] = news.sequence
        self.instances[news.name] = news
        if changed:
            self._note(news, now)
            self._end_others(news, now)
        return changed

    def touch(
        self, name: str, sequence: int, since: int, now: float, *, born: int = 0
    ) -> bool:
        """Takes a sign of life; says whether it ended a silence.

        Args:
            name: The server.
            sequence: Number of its newest heartbeat.
            since: Number of the one that last told something new. If that has
                not come here yet, the state known here is old, and with the
                newer number it would be kept against the news.
            now: Present time.
            born: When the life began that sent them. With the higher number of
                a former life, the heartbeats of the present one would seem old.
        """
        known = self.instances.get(name)
        if known is None or known.phase == instances.PHASE_GONE:
            return False
        if known.born != born:
            return False
        if sequence <= known.sequence or known.sequence < since:
            return False
        self.heard_at[name] = now
        revived = known.silent
        self.instances[name] = attrs.evolve(
            known, sequence=sequence, silent=False
        )
        if revived:
            self._note(self.instances[name], now)
        return revived

    def restore(
        self, remembered: Iterable[instances.Instance], now: float
    ) -> None:
        """Takes servers that were known before a restart.

        After all nodes lost power, gateways would refuse everything until the
        last server of each group had sent a heartbeat. These may be used, but
        count as silent, and anything heard of them is newer.
        """
        for instance in remembered:
            if instance.phase == instances.PHASE_GONE:
                continue
            old = attrs.evolve(
                instance, silent=True, sequence=instance.sequence - 1
            )
            if self.merge(old, now):
                self.heard_at[old.name] = now
                self._recalled[old.name] = now

    def may_be_unheard(self, name: str, now: float) -> bool:
        """Says whether a silent server may just not have been heard yet."""
        recalled_at = self._recalled.get(name)
        return recalled_at is not None and now - recalled_at < UNHEARD_S

    def has_ended(self, name: str, born: int, now: float) -> bool:
        """Says whether a life of a server is known to have ended by itself.

        One that said so before has not: whatever it still ran was cut by its
        planned end.
        """
        known = self.instances.get(name)
        if known is None:
            return False
        if known.born != born:
            return known.born > born
        return (
            known.silent
            and known.phase != instances.PHASE_GONE
            and not self.may_be_unheard(name, now)
        )

    def find_born(self, name: str) -> int:
        """Returns when the present life of a server began; 0 if unknown."""
        known = self.instances.get(name)
        return known.born if known else 0

    def list_present(self) -> list[instances.Instance]:
        """Returns the instances whose life has not ended."""
        return [
            instance
            for instance in self.instances.values()
            if instance.phase != instances.PHASE_GONE
        ]

    def list_silent(
        self, silence_s: float, now: float
    ) -> list[instances.Instance]:
        """Returns those not heard of for a time, and not yet marked so."""
        return [
            instance
            for instance in self.list_present()
            if not instance.silent
            and now - self.heard_at.get(instance.name, now) > silence_s
        ]

    def list_stale(self, silence_s: float, now: float) -> frozenset[str]:
        """Returns the names of all not heard of for longer than `silence_s`."""
        return frozenset(
            name
            for name in self.instances
            if now - self.heard_at.get(name, now) > silence_s
        )

    def prune(self, now: float, silence_s: float) -> list[str]:
        """Drops lives that ended or fell silent long ago; returns them."""
        dropped = []
        for name, instance in list(self.instances.items()):
            age_s = now - self.heard_at.get(name, now)
            is_old = (
                instance.phase == instances.PHASE_GONE
                and age_s > REMEMBER_GONE_S
            ) or (instance.silent and age_s > silence_s)
            if is_old:
                dropped.append(name)
                del self.instances[name]
                self.heard_at.pop(name, None)
                self.changed_sequences.pop(name, None)
                self._recalled.pop(name, None)
                self._former.append((now, self._check))
                self._check ^= self._checks.pop(name, 0)
                self.changes += 1
        return dropped

    def _end_others(self, news: instances.Instance, now: float) -> None:
        """Ends the lives that a newcomer at the same address shows as over.

        An address is used again by another service once its server is gone;
        requests for the old one must not reach it.
        """
        if news.phase == instances.PHASE_GONE or news.silent:
            return
        for other in list(self.instances.values()):
            if (
                other.address == news.address
                and other.name != news.name
                and other.phase != instances.PHASE_GONE
                and (other.silent or self._is_older(other, news))
            ):
                gone = attrs.evolve(other, phase=instances.PHASE_GONE)
                self.instances[other.name] = gone
                self.heard_at[other.name] = now
                self._note(gone, now)

    def _is_older(
        self, other: instances.Instance, news: instances.Instance
    ) -> bool:
        if other.born and news.born:
            return other.born < news.born
        # A life that begins counts its heartbeats from the start. A held-up
        # heartbeat of an older life comes with a number that is no lower
        # than those of the life that took its address.
        return news.sequence <= other.sequence

    def _note(self, instance: instances.Instance, now: float) -> None:
        self.changes += 1
        self._former.append((now, self._check))
        self._check ^= self._checks.pop(instance.name, 0)
        if instance.phase != instances.PHASE_GONE:
            value = _hash(instance)
            self._checks[instance.name] = value
            self._check ^= value


def _hash(instance: instances.Instance) -> int:
    text = repr(attrs.astuple(attrs.evolve(instance, sequence=0)))
    digest = hashlib.blake2b(text.encode(), digest_size=6).digest()
    return int.from_bytes(digest)


def merge_all(
    registry: Registry, news: Iterable[instances.Instance], now: float
) -> list[instances.Instance]:
    """Takes much news at once; returns what changed something."""
    return [item for item in news if registry.merge(item, now)]
