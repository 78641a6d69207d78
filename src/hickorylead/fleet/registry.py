"""The backend servers known to a node."""

from __future__ import annotations

import collections
import hashlib
from typing import TYPE_CHECKING

import attrs

from hickorylead.fleet import address_index, instances

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hickorylead.turns import own_pauses

# Time for which an incarnation that has ended is retained, in seconds, so that
# its late heartbeats are recognized as such. Heartbeats that a partition
# delayed arrive when the partition heals; partitions are reported to last
# seconds.
GONE_RETENTION_S = 120.0
# Time after a restart for which a server that is known from the disk alone is
# not treated as lost, in seconds: two heartbeat periods, as one heartbeat may
# go to a coordinator that is gone. With a shorter time a working group was
# closed 1.85 s after all coordinators restarted, as the heartbeat of one member
# arrived at 1.88 s.
FIRST_HEARTBEAT_WAIT_S = 2.5
# Time for which this node keeps its previous digests, in seconds. Another node
# whose digest equals one of them gets no full sync: the changes since then are
# in transit. A batch of changes is sent within 0.05 s, and the hello with the
# digest every 0.25 s.
DIGEST_RETENTION_S = 0.6


class Registry:
    """Instances by name, with the time of the last update of each."""

    def __init__(self) -> None:
        """Makes an empty registry."""
        self.instances: dict[str, instances.Instance] = {}
        self.last_update_at: dict[str, float] = {}
        # Number of the heartbeat that last reported a change, by server.
        self.changed_sequences: dict[str, int] = {}
        # When each server was restored from disk, for servers that have sent no
        # heartbeat since.
        self._restored: dict[str, float] = {}
        self._addresses = address_index.AddressIndex()
        # Number of changes, so that users can detect a change cheaply.
        self.change_count = 0
        self._hashes: dict[str, int] = {}
        self._digest = 0
        # Previous digests, and until when each was the current one.
        self._previous_digests: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    @property
    def digest(self) -> int:
        """A digest of all instances, equal at nodes with equal state."""
        return self._digest

    def had_digest(
        self, digest: int, pauses: own_pauses.OwnPauses, now: float
    ) -> bool:
        """Returns whether a digest is this node's, or was until recently.

        Args:
            digest: The digest of another node.
            pauses: Times at which this node did not handle other nodes'
                digests.
            now: Present time.
        """
        while (
            self._previous_digests
            and pauses.measure_silence(self._previous_digests[0][0], now)
            > DIGEST_RETENTION_S
        ):
            self._previous_digests.popleft()
        return digest == self._digest or any(
            digest == previous for _, previous in self._previous_digests
        )

    def merge(self, update: instances.Instance, now: float) -> bool:
        """Merges an update; returns whether it changed anything."""
        known = self.instances.get(update.name)
        if not instances.is_newer(update, known):
            return False
        update = instances.fill_unreported(update, known)
        if not update.silent:
            self.last_update_at[update.name] = now
            self._restored.pop(update.name, None)
        changed = known is None or not instances.is_same_state(known, update)
        if changed:
            self.changed_sequences[update.name] = update.sequence
        self.instances[update.name] = update
        if changed:
            self._addresses.record(update, known)
            self._record_change(update, now)
        return changed

    def touch(
        self, name: str, sequence: int, since: int, now: float, *, born: int = 0
    ) -> bool:
        """Records a heartbeat; returns whether it ended a silent period.

        Args:
            name: The server.
            sequence: Number of its newest heartbeat.
            since: Number of the heartbeat that last reported a change. If that
                change has not arrived here yet, the state known here is old.
                With the newer number, the old state would take precedence over
                the change.
            now: Present time.
            born: Start time of the incarnation that sent the heartbeats. With
                the higher number of a previous incarnation, heartbeats of the
                present incarnation would seem old.
        """
        known = self.instances.get(name)
        if known is None or known.phase == instances.PHASE_GONE:
            return False
        if known.born != born:
            return False
        if sequence <= known.sequence or known.sequence < since:
            return False
        self.last_update_at[name] = now
        recovered = known.silent
        self.instances[name] = attrs.evolve(
            known, sequence=sequence, silent=False
        )
        if recovered:
            self._record_change(self.instances[name], now)
        return recovered

    def restore(self, stored: Iterable[instances.Instance], now: float) -> None:
        """Restores servers that were known before a restart.

        Without this, after a power loss of all nodes, gateways would refuse
        all requests until the last server of each group had sent a heartbeat.
        Restored servers may be used, but count as silent, and any later update
        of their state counts as newer. Servers that were gone stay so: other
        nodes may have restored them as ready.
        """
        for instance in stored:
            if instance.phase == instances.PHASE_GONE:
                self.merge(instance, now)
                continue
            old = attrs.evolve(
                instance, silent=True, sequence=instance.sequence - 1
            )
            if self.merge(old, now):
                self.last_update_at[old.name] = now
                self._restored[old.name] = now

    def awaits_first_heartbeat(
        self,
        name: str,
        now: float,
        *,
        pauses: own_pauses.OwnPauses | None = None,
    ) -> bool:
        """Returns whether a restored server still has time for a heartbeat.

        Args:
            name: The server.
            now: Present time.
            pauses: Times at which this node did not handle heartbeats; None if
                there are none.
        """
        restored_at = self._restored.get(name)
        if restored_at is None:
            return False
        if pauses is None:
            return now - restored_at < FIRST_HEARTBEAT_WAIT_S
        silence_s = pauses.measure_silence(restored_at, now)
        return silence_s < FIRST_HEARTBEAT_WAIT_S

    def has_ended(self, name: str, born: int, now: float) -> bool:
        """Returns whether an incarnation is known to have ended unannounced.

        Returns False for an incarnation that announced its end: the planned
        shutdown ended the requests that it still ran.
        """
        known = self.instances.get(name)
        if known is None:
            return False
        if known.born != born:
            return known.born > born
        return (
            known.silent
            and known.phase != instances.PHASE_GONE
            and not self.awaits_first_heartbeat(name, now)
        )

    def find_start_time(self, name: str) -> int:
        """Returns the start time of a server's incarnation; 0 if unknown."""
        known = self.instances.get(name)
        return known.born if known else 0

    def list_present(self) -> list[instances.Instance]:
        """Returns the instances whose incarnation has not ended."""
        return [
            instance
            for instance in self.instances.values()
            if instance.phase != instances.PHASE_GONE
        ]

    def list_silent(
        self, timeout_s: float, pauses: own_pauses.OwnPauses, now: float
    ) -> list[instances.Instance]:
        """Returns servers without updates for `timeout_s`, not yet silent.

        Args:
            timeout_s: The silence, in seconds.
            pauses: Times at which this node did not handle updates.
            now: Present time.
        """
        return [
            instance
            for instance in self.list_present()
            if not instance.silent
            and pauses.measure_silence(
                self.last_update_at.get(instance.name, now), now
            )
            > timeout_s
        ]

    def list_superseded(
        self, quiet_s: float, pauses: own_pauses.OwnPauses, now: float
    ) -> list[instances.Instance]:
        """Returns the servers that have ended and whose address is in use.

        The end of an incarnation is final, so it takes more than a report of
        another server with the same address: that report may be a late one.
        Of two servers, the one that started earlier has ended, or the one that
        sends no heartbeats while the other one does.

        Args:
            quiet_s: Time without a heartbeat that shows the end of a server, in
                seconds. A server that runs is never quiet for so long.
            pauses: Times at which this node did not handle heartbeats.
            now: Present time.
        """

        def is_quiet(other: instances.Instance) -> bool:
            if other.silent:
                return not self.awaits_first_heartbeat(
                    other.name, now, pauses=pauses
                )
            heard_at = self.last_update_at.get(other.name, now)
            return pauses.measure_silence(heard_at, now) > quiet_s

        superseded = []
        for names in self._addresses.list_shared():
            found = [self.instances[name] for name in names]
            running = [i for i in found if not is_quiet(i)]
            superseded += [
                instance
                for instance in found
                if any(
                    user.name != instance.name
                    and not user.silent
                    and (
                        instance not in running or 0 < instance.born < user.born
                    )
                    for user in running
                )
            ]
        return superseded

    def list_stale(self, timeout_s: float, now: float) -> frozenset[str]:
        """Returns the names of servers without updates for `timeout_s`."""
        return frozenset(
            name
            for name in self.instances
            if now - self.last_update_at.get(name, now) > timeout_s
        )

    def prune(self, now: float, timeout_s: float) -> list[str]:
        """Removes servers that ended or fell silent long ago; returns them."""
        dropped = []
        for name, instance in list(self.instances.items()):
            age_s = now - self.last_update_at.get(name, now)
            is_old = (
                instance.phase == instances.PHASE_GONE
                and age_s > GONE_RETENTION_S
            ) or (instance.silent and age_s > timeout_s)
            if is_old:
                dropped.append(name)
                self._addresses.remove(self.instances.pop(name))
                self.last_update_at.pop(name, None)
                self.changed_sequences.pop(name, None)
                self._restored.pop(name, None)
                self._previous_digests.append((now, self._digest))
                self._digest ^= self._hashes.pop(name, 0)
                self.change_count += 1
        return dropped

    def _record_change(self, instance: instances.Instance, now: float) -> None:
        self.change_count += 1
        self._previous_digests.append((now, self._digest))
        self._digest ^= self._hashes.pop(instance.name, 0)
        if instance.phase != instances.PHASE_GONE:
            value = _hash(instance)
            self._hashes[instance.name] = value
            self._digest ^= value


def _hash(instance: instances.Instance) -> int:
    text = repr(attrs.astuple(attrs.evolve(instance, sequence=0)))
    digest = hashlib.blake2b(text.encode(), digest_size=6).digest()
    return int.from_bytes(digest)


def merge_updates(
    registry: Registry, updates: Iterable[instances.Instance], now: float
) -> list[instances.Instance]:
    """Merges several updates; returns those that changed anything."""
    return [item for item in updates if registry.merge(item, now)]
