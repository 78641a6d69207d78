"""Replica groups, as reported by their members."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from hickorylead.fleet import instances

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hickorylead.configuration import document as document_module


@attrs.frozen
class Group:
    """A group under one epoch, with the members that reported it.

    Attributes:
        name: Name of the group.
        epoch: Epoch that its members reported.
        members: Its members, by rank.
    """

    name: str
    epoch: int
    members: dict[int, instances.Instance]

    @property
    def head(self) -> instances.Instance | None:
        """The member that handles the requests, if it has reported."""
        return self.members.get(0)

    @property
    def model(self) -> str:
        """The model of the group; empty if no member has one in memory."""
        for member in self.members.values():
            if member.models:
                return member.models[0]
        return ""


def collect_groups(
    present: Iterable[instances.Instance],
) -> dict[tuple[str, int], Group]:
    """Returns the groups that servers report, by name and epoch."""
    members: dict[tuple[str, int], dict[int, instances.Instance]] = (
        collections.defaultdict(dict)
    )
    for instance in present:
        if instance.has_group and instance.phase != instances.PHASE_GONE:
            member = instance.member
            members[member.group, member.epoch][member.rank] = instance
    return {key: Group(key[0], key[1], found) for key, found in members.items()}


def is_complete(group: Group, size: int) -> bool:
    """Returns whether every member of a group is present and has loaded.

    Only the state that the members themselves report counts: an order may have
    been lost or overtaken by another order.
    """
    return len(group.members) == size and all(
        rank in group.members
        and group.members[rank].member.state
        in (instances.GROUP_READY, instances.GROUP_OPEN)
        for rank in range(size)
    )


def may_serve(group: Group, profile: document_module.ModelProfile) -> bool:
    """Returns whether new requests may be sent to the head of a group."""
    head = group.head
    return (
        head is not None
        and head.member.state == instances.GROUP_OPEN
        and is_complete(group, profile.group_size)
        and all(
            member.phase == instances.PHASE_READY
            for member in group.members.values()
        )
    )
