"""The relays that one gateway may use while it cannot connect to servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hickorylead.relaying import messages
from hickorylead.roles import nodes

if TYPE_CHECKING:
    import random

# Period at which a gateway renews its relays while it needs them, in seconds.
REQUEST_PERIOD_S = 2.0
# The same period while it knows no relay for a request, in seconds.
URGENT_REQUEST_PERIOD_S = 0.5
# Time within which the first offers arrive after a request, in seconds:
# messages take two round trips, and relays may have to probe a server.
OFFER_WAIT_S = 0.1
# Time for which relays are asked for after a request needed one, in seconds.
NEED_TTL_S = 4.0
# Time for which an offer is used, in seconds: a request for relays or an offer
# may be lost.
OFFER_TTL_S = 4.5
# Time for which a relay is not used after it was lost, in seconds.
LOST_AVOID_S = 3.0
# Time for which a relay is not used after it refused a request or its requests
# went silent, in seconds.
REFUSED_AVOID_S = 0.5
# Number of requests added to those of a relay in another zone when relays are
# compared: traffic between zones is expensive.
REMOTE_ZONE_REQUESTS = 2


@attrs.define
class Relay:
    """A gateway that offered to relay requests.

    Attributes:
        node: Its node name.
        address: `ip:port` of its relay port.
        token: Token of its offer.
        reachable: Servers to which it can connect.
        offered_at: When its latest offer arrived.
        avoided_until: When it may be used again after a failure.
        requests: Requests of this gateway that it relays at present.
    """

    node: str
    address: str
    token: str
    reachable: frozenset[messages.Scope]
    offered_at: float
    avoided_until: float = -1e9
    requests: int = 0


class RelayDirectory:
    """Relays by node name."""

    def __init__(self, zone: str, rng: random.Random) -> None:
        """Makes a directory without relays.

        Args:
            zone: Zone of the gateway.
            rng: Source of the choice among relays.
        """
        self._zone = zone
        self._rng = rng
        self._relays: dict[str, Relay] = {}
        self._needed_at = -1e9
        self._lacked_at = -1e9
        self._requested_at = -1e9

    def record_need(self, *, is_lacking: bool, now: float) -> None:
        """Records that a request needs a relay.

        Args:
            is_lacking: Whether no relay is known for it.
            now: Present time.
        """
        self._needed_at = now
        if is_lacking:
            self._lacked_at = now

    def is_request_due(self, now: float) -> bool:
        """Returns whether to ask for relays now; the request then counts."""
        is_urgent = self._lacked_at > self._requested_at
        period_s = URGENT_REQUEST_PERIOD_S if is_urgent else REQUEST_PERIOD_S
        if (
            now - self._needed_at >= NEED_TTL_S
            or now - self._requested_at < period_s
        ):
            return False
        self._requested_at = now
        return True

    def may_get_offers(self, now: float) -> bool:
        """Returns whether offers may arrive soon."""
        waited_s = now - self._requested_at
        return waited_s < OFFER_WAIT_S or waited_s >= URGENT_REQUEST_PERIOD_S

    def record_offer(self, offer: messages.RelayOffer, now: float) -> None:
        """Records an offer."""
        known = self._relays.get(offer.relay)
        if known is None or known.token != offer.token:
            known = self._relays[offer.relay] = Relay(
                offer.relay, offer.address, offer.token, frozenset(), now
            )
        known.address = offer.address
        known.reachable = frozenset(offer.reachable)
        known.offered_at = now

    def choose(self, scope: messages.Scope, now: float) -> Relay | None:
        """Returns a relay for a request to a server; None if there is none.

        Of two drawn at random, the one with fewer requests of this gateway is
        chosen: this spreads the requests of many gateways over all relays.
        """
        usable = [
            relay
            for relay in self._relays.values()
            if now - relay.offered_at < OFFER_TTL_S
            and now >= relay.avoided_until
            and scope in relay.reachable
        ]
        if not usable:
            return None
        drawn = self._rng.sample(usable, min(2, len(usable)))
        return min(drawn, key=self._rank)

    def _rank(self, relay: Relay) -> int:
        is_remote = nodes.get_zone(relay.node) != self._zone
        return relay.requests + REMOTE_ZONE_REQUESTS * is_remote

    def withdraw(
        self, relay: Relay, scope: messages.Scope | None = None
    ) -> None:
        """Withdraws an offer until the relay renews it.

        Args:
            relay: The relay.
            scope: What it does not reach; None for all of its offer.
        """
        lost = relay.reachable if scope is None else {scope}
        relay.reachable -= lost

    def avoid(self, relay: Relay, seconds: float, now: float) -> None:
        """Records that a relay is not to be used for some time."""
        relay.avoided_until = now + seconds

    def extend_offer(self, relay: Relay, now: float) -> None:
        """Records a complete response through a relay.

        Its offer remains valid, also while no coordinator can renew it.
        """
        relay.offered_at = now

    def prune(self, now: float) -> None:
        """Drops relays whose offers have expired."""
        for node, relay in list(self._relays.items()):
            if now - relay.offered_at >= OFFER_TTL_S and not relay.requests:
                del self._relays[node]

    def count(self, now: float) -> int:
        """Returns the number of relays with a valid offer."""
        return sum(
            now - relay.offered_at < OFFER_TTL_S
            for relay in self._relays.values()
        )
