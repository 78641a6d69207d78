"""Replica groups, as tracked by the holder of the zone lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hickorylead.membership import announcements

if TYPE_CHECKING:
    from collections.abc import Mapping

    from hickorylead.membership import registry


@attrs.define
class Group:
    """One replica group.

    Attributes:
        name: Unique in the deployment; never reused.
        service: Service that it runs.
        weights: Weights that its members hold or load.
        domain: Fabric domain of all members.
        generation: Incremented each time the member list changes.
        vms: Members by rank; an empty name stands for a lost member.
        broken_since: When a member was found lost; None if the group is
            complete.
        draining_since: When it stopped accepting new requests; None if it
            accepts them.
        was_ready: Whether it has been ready to serve at any time.
    """

    name: str
    service: str
    weights: str
    domain: str
    generation: int
    vms: list[str]
    broken_since: float | None = None
    draining_since: float | None = None
    was_ready: bool = False

    @property
    def size(self) -> int:
        """Number of VMs that the group needs."""
        return len(self.vms)


def is_ready(group: Group, members: Mapping[str, registry.Member]) -> bool:
    """Returns whether every VM of a group is present and ready to serve.

    Only the announcements of the VMs count: an order may have been lost,
    refused, or overtaken by an older one, and then the group must not serve.
    """
    for rank, vm in enumerate(group.vms):
        member = members.get(vm)
        if member is None:
            return False
        state = member.state
        if (
            state.phase != announcements.PHASE_READY
            or state.group != group.name
            or state.generation != group.generation
            or state.rank != rank
            or state.size != group.size
            or state.domain != group.domain
        ):
            return False
    return group.size > 0


def adopt_groups(members: Mapping[str, registry.Member]) -> dict[str, Group]:
    """Returns the groups that the present servers announce as theirs.

    A new lease holder adopts these groups instead of forming new ones, so that
    running groups continue to run.
    """
    newest: dict[str, int] = {}
    for member in members.values():
        state = member.state
        if state.group:
            known = newest.get(state.group, 0)
            newest[state.group] = max(known, state.generation)
    groups: dict[str, Group] = {}
    for vm, member in sorted(members.items()):
        state = member.state
        if not state.group or state.generation != newest[state.group]:
            continue
        group = groups.setdefault(
            state.group,
            Group(
                name=state.group,
                service=state.service,
                weights=state.weights,
                domain=state.domain,
                generation=state.generation,
                vms=[""] * state.size,
            ),
        )
        if state.rank < group.size and not group.vms[state.rank]:
            group.vms[state.rank] = vm
    return groups
