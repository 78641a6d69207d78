"""A coordinator's part: finds relays for gateways that ask for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead import rendezvous
from hickorylead.relaying import messages
from hickorylead.roles import nodes

if TYPE_CHECKING:
    from collections.abc import Iterable

# Maximum number of gateways of the same zone, and of the other zones, that are
# asked to relay for one gateway.
MAX_CANDIDATES = 8
# Time for which a gateway that asked for relays is asked last itself, in
# seconds.
NEED_TTL_S = 2.5


class RelayBroker:
    """Forwards requests for relays, and the offers."""

    def __init__(self) -> None:
        """Makes a broker that has received nothing yet."""
        self._needed_at: dict[str, float] = {}

    def handle_request(
        self,
        request: messages.RelayRequest,
        gateways: Iterable[str],
        now: float,
    ) -> list[tuple[str, messages.Message]]:
        """Returns the request for the gateways that may relay.

        Gateways that asked for relays themselves come last: they may still
        reach servers that this gateway does not.

        Args:
            request: Request of a gateway.
            gateways: All gateways that sent a hello recently.
            now: Present time.
        """
        self._needed_at[request.origin] = now
        self._needed_at = {
            node: at
            for node, at in self._needed_at.items()
            if now - at < NEED_TTL_S
        }
        others = [node for node in gateways if node != request.origin]
        ranked = sorted(
            rendezvous.rank_names(request.origin, others),
            key=lambda node: node in self._needed_at,
        )
        zone = nodes.get_zone(request.origin)
        own = [n for n in ranked if nodes.get_zone(n) == zone]
        remote = [n for n in ranked if nodes.get_zone(n) != zone]
        chosen = own[:MAX_CANDIDATES] + remote[:MAX_CANDIDATES]
        return [(node, request) for node in chosen]
