"""Publication of a zone's replica table by the zone's lease holder."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead.membership import announcements
from hickorylead.routing import messages

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from hickorylead.membership import registry
    from hickorylead.placement import planner

PUBLISH_PERIOD_S = 1.0


def build_table(
    members: Mapping[str, registry.Member], plan: planner.Planner
) -> dict[str, messages.Replica]:
    """Returns the replicas of the zone that accept new requests, by group."""
    replicas = {}
    for group in plan.groups.values():
        if plan.is_serving(group):
            state = members[group.vms[0]].state
            replicas[group.name] = _make_replica(group.name, state)
    for vm, member in members.items():
        state = member.state
        if (
            state.kind == announcements.KIND_PLAIN
            and state.phase == announcements.PHASE_READY
        ):
            replicas[vm] = _make_replica(vm, state)
    return replicas


def _make_replica(
    group: str, state: announcements.ServerState
) -> messages.Replica:
    is_plain = state.kind == announcements.KIND_PLAIN
    return messages.Replica(
        group=group,
        service=state.service,
        zone=state.zone,
        generation=state.generation,
        vm=state.vm,
        address=state.address,
        slots=state.slots,
        keepalive_s=0.0 if is_plain else state.keepalive_s,
    )


class Publisher:
    """Sends the replica table of one zone to listeners."""

    def __init__(self, *, zone: str) -> None:
        """Makes a publisher of an empty table.

        Args:
            zone: The zone whose table it publishes.
        """
        self._zone = zone
        self._fence = 0
        self._sequence = 0
        self._next_publish_at = 0.0
        self.replicas: dict[str, messages.Replica] = {}

    def publish(
        self,
        *,
        replicas: dict[str, messages.Replica],
        members: Mapping[str, registry.Member],
        recipients: Iterable[str],
        fence: int,
        now: float,
    ) -> list[messages.Send]:
        """Returns updates if something changed or a period has passed."""
        added = tuple(
            replica
            for group, replica in sorted(replicas.items())
            if self.replicas.get(group) != replica
        )
        removed = tuple(sorted(set(self.replicas) - set(replicas)))
        is_new_fence = fence != self._fence
        if not (
            added or removed or is_new_fence or now >= self._next_publish_at
        ):
            return []
        if is_new_fence:
            self._fence, self._sequence = fence, 0
        elif added or removed:
            self._sequence += 1
        self.replicas = dict(replicas)
        self._next_publish_at = now + PUBLISH_PERIOD_S
        update = messages.TableUpdate(
            zone=self._zone,
            fence=fence,
            sequence=self._sequence,
            full=is_new_fence,
            added=self._list_all() if is_new_fence else added,
            removed=() if is_new_fence else removed,
            loads=self._pack_loads(members),
        )
        return [messages.Send(node, update) for node in recipients]

    def make_full_update(
        self, members: Mapping[str, registry.Member]
    ) -> messages.TableUpdate:
        """Returns an update with the full table."""
        return messages.TableUpdate(
            zone=self._zone,
            fence=self._fence,
            sequence=self._sequence,
            full=True,
            added=self._list_all(),
            loads=self._pack_loads(members),
        )

    def _list_all(self) -> tuple[messages.Replica, ...]:
        return tuple(replica for _, replica in sorted(self.replicas.items()))

    def _pack_loads(self, members: Mapping[str, registry.Member]) -> bytes:
        packed = bytearray()
        for _, replica in sorted(self.replicas.items()):
            member = members.get(replica.vm)
            load = member.load if member else announcements.Load()
            share = (load.running + load.queued) / replica.slots
            packed.append(
                min(messages.MAX_LOAD_BYTE, round(share * messages.LOAD_STEPS))
            )
        return bytes(packed)
