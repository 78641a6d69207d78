"""The replicas known to one process, kept up to date by updates."""

from __future__ import annotations

import attrs

from hickorylead.routing import messages

# Withdrawals remembered; each is of use until the next update only.
MAX_WITHDRAWN = 1000
# Groups that left the table and are remembered, to tell whether a run that was
# lost was lost with its replica; a zone has 120 replicas.
MAX_REMOVED = 1000


@attrs.define
class ZoneTable:
    """Replicas of one zone."""

    fence: int = 0
    sequence: int = -1
    last_update_at: float = -1e9
    complete: bool = False
    replicas: dict[str, messages.Replica] = attrs.field(factory=dict)


@attrs.define
class ReportedLoad:
    """A load as reported.

    Attributes:
        requests: Requests that run or wait there.
        reported_at: When the report came.
    """

    requests: int
    reported_at: float


class ReplicaTable:
    """Replicas of all zones."""

    def __init__(self) -> None:
        """Makes an empty table."""
        self.zones: dict[str, ZoneTable] = {}
        self.loads: dict[str, ReportedLoad] = {}
        self._withdrawn: dict[tuple[str, int], None] = {}
        self._removed: dict[str, None] = {}
        self._by_service: dict[str, list[messages.Replica]] | None = None

    def apply_update(self, update: messages.TableUpdate, now: float) -> bool:
        """Takes an update; says whether the whole table must be asked for."""
        zone = self.zones.setdefault(update.zone, ZoneTable())
        if update.fence < zone.fence:
            # From a holder that was replaced and does not know it yet.
            return False
        has_changes = bool(update.added or update.removed)
        expected = zone.sequence + 1 if has_changes else zone.sequence
        if update.full:
            if update.fence == zone.fence and update.sequence < zone.sequence:
                return False
            for group in zone.replicas.keys() - {r.group for r in update.added}:
                self._note_removed(group)
            zone.replicas = {}
            zone.complete = True
        elif update.fence == zone.fence and update.sequence < expected:
            # A change that is known already, delivered late.
            return not zone.complete
        elif update.fence != zone.fence or update.sequence != expected:
            # An update was lost; without the whole table a replica that is
            # gone would be kept for ever. A sign of life that follows a lost
            # change shows it just as the next change does.
            zone.complete = False
            zone.last_update_at = now
            return True
        zone.fence, zone.sequence = update.fence, update.sequence
        zone.last_update_at = now
        for group in update.removed:
            zone.replicas.pop(group, None)
            self.loads.pop(group, None)
            self._note_removed(group)
        for replica in update.added:
            zone.replicas[replica.group] = replica
        self._take_loads(zone, update.loads, now)
        if update.full or update.added or update.removed:
            self._by_service = None
        return not zone.complete

    def _take_loads(self, zone: ZoneTable, loads: bytes, now: float) -> None:
        if len(loads) != len(zone.replicas):
            return
        for (group, replica), value in zip(
            sorted(zone.replicas.items()), loads, strict=True
        ):
            requests = round(value * replica.slots / messages.LOAD_STEPS)
            self.loads[group] = ReportedLoad(requests, now)

    def withdraw(self, withdrawal: messages.Withdrawal) -> None:
        """Stops offering a replica, whatever updates still say of it."""
        key = (withdrawal.group, withdrawal.generation)
        self._withdrawn[key] = None
        while len(self._withdrawn) > MAX_WITHDRAWN:
            del self._withdrawn[next(iter(self._withdrawn))]
        self._by_service = None

    def remove_zone(self, zone: str) -> None:
        """Drops the replicas of a zone that was not heard for long."""
        if self.zones.pop(zone, None) is not None:
            self._by_service = None

    def list_replicas(self, service: str) -> list[messages.Replica]:
        """Returns the replicas of a service, in a stable order."""
        if self._by_service is None:
            self._by_service = {}
            for _, zone in sorted(self.zones.items()):
                for _, replica in sorted(zone.replicas.items()):
                    if (replica.group, replica.generation) in self._withdrawn:
                        continue
                    self._by_service.setdefault(replica.service, []).append(
                        replica
                    )
        return self._by_service.get(service, [])

    def was_removed(self, group: str) -> bool:
        """Says whether a replica has left the table of a zone that is heard."""
        return group in self._removed

    def _note_removed(self, group: str) -> None:
        self._removed[group] = None
        while len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]

    def has_replica(self, replica: messages.Replica) -> bool:
        """Says whether exactly this replica still takes requests."""
        zone = self.zones.get(replica.zone)
        return zone is not None and zone.replicas.get(replica.group) == replica
