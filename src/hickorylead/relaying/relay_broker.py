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
MAX_OWN_CANDIDATES = 4
MAX_REMOTE_CANDIDATES = 8
# Time within which a gateway that can relay makes an offer, in seconds.
OFFER_WAIT_S = 0.1
# Time for which a gateway that made no offer is asked last, in seconds.
MEMORY_S = 3.0


class RelayBroker:
    """Forwards requests for relays, and the offers."""

    def __init__(self) -> None:
        """Makes a broker that has received nothing yet."""
        self._asked_at: dict[str, float] = {}
        self._offered_at: dict[str, float] = {}
        # When a gateway was last asked for each other one.
        self._origins: dict[str, dict[str, float]] = {}

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

        Those that were asked recently and made no offer come last, then those
        that were asked for more gateways: by rank alone, some relays would get
        several times as many requests as others.

        Args:
            request: Request of a gateway.
            gateways: All gateways that sent a hello recently.
            now: Present time.
        """
        # A gateway that asks for relays cannot offer itself.
        self._asked_at[request.origin] = now - 2 * OFFER_WAIT_S
        self._offered_at.pop(request.origin, None)
        self._prune(now)
        others = [node for node in gateways if node != request.origin]
        counts = {
            node: self._count_origins(node, request.origin)
            for node in others
            if node in self._offered_at
        }
        mean = sum(counts.values()) / len(counts) if counts else 0.0
        ranked = sorted(
            rendezvous.rank_names(request.origin, others),
            key=lambda node: (
                self._was_asked_in_vain(node, now),
                counts.get(node, mean),
            ),
        )
        zone = nodes.get_zone(request.origin)
        own = [n for n in ranked if nodes.get_zone(n) == zone]
        remote = [n for n in ranked if nodes.get_zone(n) != zone]
        chosen = own[:MAX_OWN_CANDIDATES] + remote[:MAX_REMOTE_CANDIDATES]
        for node in chosen:
            self._origins.setdefault(node, {})[request.origin] = now
            if not self._was_asked_in_vain(node, now):
                self._asked_at[node] = now
        return [(node, request) for node in chosen]

    def _count_origins(self, node: str, origin: str) -> int:
        """Returns for how many gateways but one a gateway was asked."""
        origins = self._origins.get(node, {})
        return len(origins) - (origin in origins)

    def _was_asked_in_vain(self, node: str, now: float) -> bool:
        asked_at = self._asked_at.get(node)
        return (
            asked_at is not None
            and now - asked_at > OFFER_WAIT_S
            and self._offered_at.get(node, -1e9) < asked_at
        )

    def _prune(self, now: float) -> None:
        for times in (
            self._asked_at,
            self._offered_at,
            *self._origins.values(),
        ):
            for node in [n for n, at in times.items() if now - at > MEMORY_S]:
                del times[node]
        self._origins = {
            n: times for n, times in self._origins.items() if times
        }
