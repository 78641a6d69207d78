"""Identity of a coordinator."""

from __future__ import annotations

import attrs

from hickorylead.fleet import group_builder


@attrs.frozen
class Identity:
    """Identity and settings of a coordinator.

    Attributes:
        node: Name of the coordinator.
        address: `ip:port` for its peers.
        incarnation: Name of the present incarnation of the data folder.
        seeds: Peer addresses of a few coordinators.
        may_bootstrap: Whether this is the first start of the cluster.
        heartbeat_s: Heartbeat period of backend servers, in seconds.
        zones: All availability zones.
        max_lost_disks: Number of disks that may be lost together.
    """

    node: str
    address: str
    incarnation: str
    seeds: tuple[str, ...]
    may_bootstrap: bool
    heartbeat_s: float
    zones: tuple[str, ...]
    max_lost_disks: int = 1


def number_node(node: str) -> int:
    """Returns a number for a node's epochs, below `EPOCH_STEP`."""
    total = 0
    for byte in node.encode():
        total = (total * 31 + byte) % group_builder.EPOCH_STEP
    return total
