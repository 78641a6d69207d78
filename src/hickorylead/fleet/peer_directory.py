"""The other control nodes that one node knows of, found from a few seeds."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hickorylead import rendezvous
from hickorylead.roles import nodes

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hickorylead.fleet import messages

# Control nodes greet each other this often, in seconds.
HELLO_PERIOD_S = 0.3
# One that was not heard for this long is taken for lost, in seconds: four
# greetings, above the pauses of a loop that syncs to a slow disk.
PEER_TIMEOUT_S = 1.3
# One that was not heard for this long is forgotten, in seconds.
FORGET_S = 60.0


@attrs.define
class Peer:
    """One other control node.

    Attributes:
        address: `ip:port` for its peers.
        heard_at: When it was last heard.
        incarnation: Member that it is in the configuration log.
        is_empty: Whether it belongs to no cluster.
        digest: Hash over the instances that it knows.
        gateways: Gateways whose home it is.
    """

    address: str
    heard_at: float
    incarnation: str = ""
    is_empty: bool = False
    digest: int = 0
    gateways: int = 0


class PeerDirectory:
    """All other control nodes."""

    def __init__(self, *, node: str, seeds: Iterable[str]) -> None:
        """Makes the view of a node that has heard nobody.

        Args:
            node: Name of this node.
            seeds: Addresses to begin with, as `ip:port`.
        """
        self._node = node
        self.seeds = tuple(seeds)
        self.known: dict[str, Peer] = {}

    def handle_hello(
        self, hello: messages.CoordinatorHello, now: float
    ) -> None:
        """Takes a greeting, and whom the other one knows."""
        if hello.node == self._node:
            return
        neighbour = self.known.setdefault(hello.node, Peer(hello.address, now))
        neighbour.address = hello.address
        neighbour.heard_at = now
        neighbour.incarnation = hello.incarnation
        neighbour.is_empty = hello.is_empty
        neighbour.digest = hello.check
        neighbour.gateways = hello.gateways
        for node, address in zip(hello.nodes, hello.addresses, strict=False):
            if node not in self.known and node != self._node:
                # Told by another one only: greeted, but not alive yet.
                self.known[node] = Peer(address, now - PEER_TIMEOUT_S)

    def prune(self, now: float) -> None:
        """Drops those that were not heard for long."""
        for node, neighbour in list(self.known.items()):
            if now - neighbour.heard_at > FORGET_S:
                del self.known[node]

    def list_alive(self, now: float) -> list[str]:
        """Returns those that were heard lately, sorted."""
        return sorted(
            node
            for node, neighbour in self.known.items()
            if now - neighbour.heard_at <= PEER_TIMEOUT_S
        )

    def list_homes(self, now: float) -> list[str]:
        """Returns the alive nodes that are home to gateways, sorted."""
        return [n for n in self.list_alive(now) if self.known[n].gateways]

    def count_gateways(self, now: float) -> int:
        """Returns how many gateways the others are home to."""
        return sum(self.known[n].gateways for n in self.list_alive(now))

    def list_hello_targets(self) -> list[str]:
        """Returns whom to greet: nodes by name, those not heard by address.

        Connections know the way to a name from that node's own messages alone.
        Two nodes that were only told of each other would never meet.
        """
        addresses = {n.address for n in self.known.values()}
        unknown = [f"@{s}" for s in self.seeds if s not in addresses]
        known = [
            node if neighbour.incarnation else f"@{neighbour.address}"
            for node, neighbour in sorted(self.known.items())
        ]
        return [*known, *unknown]

    def find_owner(self, zone: str, domain: str, now: float) -> str:
        """Returns the control node that plans a domain.

        One of the domain's own zone does, if any is alive: it still reaches
        the domain when the zone is cut off.
        """
        alive = [self._node, *self.list_alive(now)]
        local = [node for node in alive if nodes.get_zone(node) == zone]
        return rendezvous.rank_names(f"{zone}/{domain}", local or alive)[0]
