"""The known other coordinators, discovered from a few seeds."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hickorylead import notes, rendezvous
from hickorylead.roles import nodes

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hickorylead.fleet import messages
    from hickorylead.turns import own_pauses

# Period at which coordinators send each other a hello, in seconds.
HELLO_PERIOD_S = 0.3
# Time without a hello after which a peer is treated as lost, in seconds: over
# four hello periods, above the delays of an event loop that syncs to a slow
# disk.
PEER_TIMEOUT_S = 1.3
# Time without a hello after which a peer is removed, in seconds.
PEER_RETENTION_S = 60.0


@attrs.define
class Peer:
    """One other coordinator.

    Attributes:
        address: `ip:port` for its peers.
        last_hello_at: When its last hello arrived.
        incarnation: Its member id in the configuration log.
        is_empty: Whether it belongs to no cluster.
        digest: Digest of its registry.
        gateways: Number of gateways whose home coordinator it is.
    """

    address: str
    last_hello_at: float
    incarnation: str = ""
    is_empty: bool = False
    digest: int = 0
    gateways: int = 0


class PeerDirectory:
    """The known other coordinators."""

    def __init__(
        self,
        *,
        node: str,
        seeds: Iterable[str],
        pauses: own_pauses.OwnPauses,
    ) -> None:
        """Makes a directory without peers.

        Args:
            node: Name of this node.
            seeds: Addresses to begin with, as `ip:port`.
            pauses: Times at which this node did not handle hellos.
        """
        self._node = node
        self._pauses = pauses
        self.seeds = tuple(seeds)
        self.known: dict[str, Peer] = {}
        self._reported: frozenset[str] = frozenset()
        # The peers that are alive, and for which present time.
        self._alive: tuple[float, list[str]] | None = None

    @property
    def heard_at(self) -> dict[str, float]:
        """When the last hello of each peer arrived."""
        return {node: peer.last_hello_at for node, peer in self.known.items()}

    def handle_hello(
        self, hello: messages.CoordinatorHello, now: float
    ) -> None:
        """Handles a hello and the nodes that it lists."""
        if hello.node == self._node:
            return
        self._alive = None
        peer = self.known.setdefault(hello.node, Peer(hello.address, now))
        peer.address = hello.address
        peer.last_hello_at = now
        peer.incarnation = hello.incarnation
        peer.is_empty = hello.is_empty
        peer.digest = hello.check
        peer.gateways = hello.gateways
        for node, address in zip(hello.nodes, hello.addresses, strict=False):
            if node not in self.known and node != self._node:
                # This node is known only through another node: it gets hellos,
                # but does not count as alive yet.
                self.known[node] = Peer(address, now - PEER_TIMEOUT_S)

    def prune(self, now: float) -> None:
        """Removes peers whose last hello is too long ago."""
        for node, peer in list(self.known.items()):
            if now - peer.last_hello_at > PEER_RETENTION_S:
                del self.known[node]
                self._alive = None

    def list_alive(self, now: float) -> list[str]:
        """Returns the peers that sent a hello recently, sorted."""
        if self._alive is None or self._alive[0] != now:
            alive = sorted(
                node
                for node, peer in self.known.items()
                if peer.incarnation
                and self._pauses.measure_silence(peer.last_hello_at, now)
                <= PEER_TIMEOUT_S
            )
            self._alive = now, alive
        return list(self._alive[1])

    def report_changes(self, now: float) -> list[notes.Note]:
        """Returns which peers are treated as lost or as back since the last."""
        alive = frozenset(self.list_alive(now))
        before, self._reported = self._reported, alive
        return [
            notes.note(
                "peer_found" if node in alive else "peer_lost",
                peer=node,
                silent_ms=round(1000 * (now - self.heard_at.get(node, now))),
            )
            for node in sorted(alive ^ before)
        ]

    def list_home_coordinators(self, now: float) -> list[str]:
        """Returns the alive peers that are home coordinators, sorted."""
        return [n for n in self.list_alive(now) if self.known[n].gateways]

    def count_gateways(self, now: float) -> int:
        """Returns how many gateways have an alive peer as home coordinator."""
        return sum(self.known[n].gateways for n in self.list_alive(now))

    def list_hello_targets(self) -> list[str]:
        """Returns the nodes to send a hello, by name or address.

        A node that has not sent a hello is listed by address. Connections
        resolve a name only from that node's own messages, so two nodes that
        know each other only from a third node would never connect.
        """
        addresses = {n.address for n in self.known.values()}
        unknown = [f"@{s}" for s in self.seeds if s not in addresses]
        known = [
            node if peer.incarnation else f"@{peer.address}"
            for node, peer in sorted(self.known.items())
        ]
        return [*known, *unknown]

    def find_owner(self, zone: str, domain: str, now: float) -> str:
        """Returns the coordinator that plans a domain.

        The owner is a coordinator of the domain's own zone, if any is alive:
        that coordinator still reaches the domain when the zone is isolated.
        """
        alive = [self._node, *self.list_alive(now)]
        local = [node for node in alive if nodes.get_zone(node) == zone]
        return rendezvous.rank_names(f"{zone}/{domain}", local or alive)[0]
