"""A coordinator's part: finds relays for gateways that ask for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead import rendezvous
from hickorylead.relaying import messages
from hickorylead.roles import nodes

if TYPE_CHECKING:
    from collections.abc import Iterable

# Maximum number of gateways of the same zone, and of the other zones, that are
# asked to relay for one gateway at a time.
MAX_CANDIDATES = 8
# Time for which an offer, or a request without one, decides the order in which
# gateways are asked, in seconds.
MEMORY_S = 3.0


class RelayBroker:
    """Forwards requests for relays, and the offers."""

    def __init__(self) -> None:
        """Makes a broker that has received nothing yet."""
        self._asked_at: dict[str, float] = {}
        self._offered_at: dict[str, float] = {}

    def record_offer(self, offer: messages.RelayOffer, now: float) -> None:
        """Records that a gateway is able to relay."""
        self._offered_at[offer.relay] = now

    def handle_request(
        self,
        request: messages.RelayRequest,
        gateways: Iterable[str],
        now: float,
    ) -> list[tuple[str, messages.Message]]:
        """Returns the request for the gateways that may relay.

        Gateways that made an offer recently come first, then those that were
        not asked recently. Each gateway has its own order among equals, so that
        the requests of many gateways are spread over all relays.

        Args:
            request: Request of a gateway.
            gateways: All gateways that sent a hello recently.
            now: Present time.
        """
        # A gateway that asks for relays is the last to be asked for one.
        self._asked_at[request.origin] = now
        self._offered_at.pop(request.origin, None)
        self._prune(now)
        others = [node for node in gateways if node != request.origin]
        ranked = sorted(
            rendezvous.rank_names(request.origin, others), key=self._find_order
        )
        zone = nodes.get_zone(request.origin)
        own = [n for n in ranked if nodes.get_zone(n) == zone]
        remote = [n for n in ranked if nodes.get_zone(n) != zone]
        chosen = own[:MAX_CANDIDATES] + remote[:MAX_CANDIDATES]
        for node in chosen:
            self._asked_at[node] = now
        return [(node, request) for node in chosen]

    def _find_order(self, node: str) -> tuple[int, float]:
        if node in self._offered_at:
            return 0, 0.0
        # Of those that made no offer, the ones asked longest ago come first.
        asked_at = self._asked_at.get(node)
        return (1, 0.0) if asked_at is None else (2, asked_at)

    def _prune(self, now: float) -> None:
        for times in (self._asked_at, self._offered_at):
            for node in [n for n, at in times.items() if now - at > MEMORY_S]:
                del times[node]
