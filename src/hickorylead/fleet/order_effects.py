"""Which orders a server's reported state shows to have taken effect."""

from __future__ import annotations

from hickorylead.fleet import instances, orders


def shows_effect(order: orders.Order, instance: instances.Instance) -> bool:
    """Returns whether a server reports the effect of an order."""
    member = instance.member
    found = (member.group, member.epoch)
    match order:
        case orders.Join(group, epoch):
            return found == (group, epoch)
        case orders.Open(group, epoch):
            return (
                found == (group, epoch) and member.state == instances.GROUP_OPEN
            )
        case orders.Close(group, epoch):
            return found == (group, epoch) and member.state in (
                instances.GROUP_CLOSING,
                instances.GROUP_READY,
            )
        case orders.Leave(group, epoch):
            return found != (group, epoch)
        case orders.Stage(model):
            return model in instance.staged


def is_pointless(order: orders.Order, instance: instances.Instance) -> bool:
    """Returns whether an open or close is for a group a server has left."""
    match order:
        case orders.Open(group, epoch) | orders.Close(group, epoch):
            member = instance.member
            return (member.group, member.epoch) != (group, epoch)
        case _:
            return False
