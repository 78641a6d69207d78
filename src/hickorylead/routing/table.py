"""The replica table of one process, maintained from published updates."""

from __future__ import annotations

import attrs

from hickorylead.routing import messages

# Maximum number of withdrawals that are retained. A withdrawal is needed only
# until the next update of the table.
MAX_WITHDRAWN = 1000
# Maximum number of removed groups whose names are retained. If a run is lost,
# they show whether its replica was lost with it. A zone has 120 replicas.
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
    """The reported load of a replica.

    Attributes:
        requests: Requests running or queued on it.
        reported_at: When the report arrived.
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
        """Applies an update; returns whether to request the full table."""
        zone = self.zones.setdefault(update.zone, ZoneTable())
        if update.fence < zone.fence:
            # The update is from a previous lease holder that has not noticed
            # yet that it was replaced.
            return False
        has_changes = bool(update.added or update.removed)
        expected = zone.sequence + 1 if has_changes else zone.sequence
        if update.full:
            if update.fence == zone.fence and update.sequence < zone.sequence:
                return False
            for group in zone.replicas.keys() - {r.group for r in update.added}:
                self._record_removed(group)
            zone.replicas = {}
            zone.complete = True
        elif update.fence == zone.fence and update.sequence < expected:
            # The update arrived late; its change has already been applied.
            return not zone.complete
        elif update.fence != zone.fence or update.sequence != expected:
            # An update was lost. If the full table were not requested, a
            # replica that the lost update removes would be kept for ever. An
            # update without changes reveals the loss, too.
            zone.complete = False
            zone.last_update_at = now
            return True
        zone.fence, zone.sequence = update.fence, update.sequence
        zone.last_update_at = now
        for group in update.removed:
            zone.replicas.pop(group, None)
            self.loads.pop(group, None)
            self._record_removed(group)
        for replica in update.added:
            zone.replicas[replica.group] = replica
        self._apply_loads(zone, update.loads, now)
        if update.full or update.added or update.removed:
            self._by_service = None
        return not zone.complete

    def _apply_loads(self, zone: ZoneTable, loads: bytes, now: float) -> None:
        if len(loads) != len(zone.replicas):
            return
        for (group, replica), value in zip(
            sorted(zone.replicas.items()), loads, strict=True
        ):
            requests = round(value * replica.slots / messages.LOAD_STEPS)
            self.loads[group] = ReportedLoad(requests, now)

    def withdraw(self, withdrawal: messages.Withdrawal) -> None:
        """Stops listing a replica, even if updates still contain it."""
        key = (withdrawal.group, withdrawal.generation)
        self._withdrawn[key] = None
        while len(self._withdrawn) > MAX_WITHDRAWN:
            del self._withdrawn[next(iter(self._withdrawn))]
        self._by_service = None

    def remove_zone(self, zone: str) -> None:
        """Removes the replicas of a zone that sent no update for long."""
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
        """Returns whether an update has removed a replica from the table.

        Replicas of zones that sent no update for long do not count.
        """
        return group in self._removed

    def _record_removed(self, group: str) -> None:
        self._removed[group] = None
        while len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]

    def has_replica(self, replica: messages.Replica) -> bool:
        """Returns whether exactly this replica still accepts requests."""
        zone = self.zones.get(replica.zone)
        return zone is not None and zone.replicas.get(replica.group) == replica
