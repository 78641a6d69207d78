"""Log lines about backend servers and the orders sent to them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hickorylead import notes
from hickorylead.fleet import orders

if TYPE_CHECKING:
    from hickorylead.fleet import instances


def describe_change(
    instance: instances.Instance, known: instances.Instance | None
) -> notes.Note:
    """Returns the log line about a change in a server's reported state."""
    member = instance.member
    return notes.note(
        "instance_changed",
        server=instance.name,
        service=instance.service,
        zone=instance.zone,
        domain=instance.domain,
        phase=instance.phase,
        silent=instance.silent,
        group=member.group,
        epoch=member.epoch,
        state=member.state,
        models=list(instance.models),
        staged=list(instance.staged),
        state_before=known.member.state if known else "new",
    )


def describe_order(
    item: orders.SendOrder | orders.RequestReport,
) -> list[notes.Note]:
    """Returns the log lines about an order; report requests have none."""
    if isinstance(item, orders.RequestReport):
        return []
    fields = attrs.asdict(item.order)
    return [
        notes.note(
            "order_given",
            server=item.name,
            order=type(item.order).__name__.lower(),
            expected=item.expected,
            **fields,
        )
    ]
