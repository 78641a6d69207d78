"""Who a coordinator is."""

from __future__ import annotations

import attrs

from hickorylead.fleet import group_builder


@attrs.frozen
class Identity:
    """Who a coordinator is, and what its settings say.

    Attributes:
        node: Its name.
        address: `ip:port` for its peers.
        incarnation: Name of the data folder's present life.
        seeds: Addresses of a few control nodes, for their peers.
        may_bootstrap: Whether the whole system starts for the first time.
        heartbeat_s: Pause between heartbeats of backend servers, in seconds.
        zones: All availability zones.
    """

    node: str
    address: str
    incarnation: str
    seeds: tuple[str, ...]
    may_bootstrap: bool
    heartbeat_s: float
    zones: tuple[str, ...]


def number_node(node: str) -> int:
    """Returns a number for a node's epochs, below `EPOCH_STEP`."""
    total = 0
    for byte in node.encode():
        total = (total * 31 + byte) % group_builder.EPOCH_STEP
    return total
