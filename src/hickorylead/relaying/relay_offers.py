"""A gateway's offers to relay requests of other gateways."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

import attrs

from hickorylead.forwarding import events, model
from hickorylead.relaying import messages

if TYPE_CHECKING:
    from hickorylead.fleet import registry as registry_module
    from hickorylead.forwarding import (
        reachability as reachability_module,
        replica_directory,
    )

# Time for which a successful connection shows that servers are reachable, in
# seconds.
PROOF_TTL_S = 3.0
# Time for which a request for relays is answered after a probe, in seconds.
REQUEST_TTL_S = 1.0


@attrs.define
class _Request:
    """Request of a gateway for relays.

    Attributes:
        sender: Coordinator that forwarded it.
        received_at: When it arrived.
        offered: What it was offered in reply.
    """

    sender: str
    received_at: float
    offered: frozenset[messages.Scope] = frozenset()


class RelayOffers:
    """Offers only what recent connections of this gateway have shown to work.

    A gateway with few requests may have lost its connections without notice. It
    probes servers before it offers itself, and so finds out early.
    """

    def __init__(
        self,
        node: str,
        *,
        address: str,
        token: str,
        registry: registry_module.Registry,
        directory: replica_directory.ReplicaDirectory,
        reachability: reachability_module.Reachability,
    ) -> None:
        """Makes a gateway without requests for relays.

        Args:
            node: The gateway.
            address: `ip:port` of its relay port; empty if it relays nothing.
            token: Token that other gateways have to present.
            registry: Backend servers known to it.
            directory: Replicas that it may use.
            reachability: Outcome of its connections.
        """
        self._node = node
        self._address = address
        self._token = token
        self._registry = registry
        self._directory = directory
        self._reachability = reachability
        # Latest request of each gateway that asked recently.
        self._requests: dict[str, _Request] = {}

    def handle_request(
        self, request: messages.RelayRequest, sender: str, now: float
    ) -> tuple[list[tuple[str, messages.Message]], list[events.ProbeServer]]:
        """Returns offers to send, and probes of servers not yet proven.

        Args:
            request: Request of another gateway.
            sender: Coordinator that forwarded it.
            now: Present time.
        """
        if not self._address:
            return [], []
        self._requests[request.origin] = _Request(sender, now)
        proven = self._reachability.list_connected(PROOF_TTL_S, now)
        services = {scope.service for scope in proven}
        probes = [
            events.ProbeServer(replica)
            for replica in self._directory.list_samples()
            if replica.service not in services
            and self._reachability.is_scope_reachable(replica)
        ]
        return self.collect_offers(now), probes

    def check(self, opening: messages.RelayOpen) -> str:
        """Returns why an exchange of another gateway is refused; empty if not.

        Only servers are connected to: a relay never uses another relay.
        """
        if not hmac.compare_digest(
            opening.token.encode(), self._token.encode()
        ):
            return model.RELAY_REFUSED
        instance = self._registry.instances.get(opening.server)
        if instance is None or instance.address != opening.address:
            return model.RELAY_NO_SERVER
        scope = messages.Scope(instance.service, instance.zone)
        if scope in self._reachability.list_unreachable():
            return model.RELAY_NO_ZONE
        return ""

    def collect_offers(self, now: float) -> list[tuple[str, messages.Message]]:
        """Returns offers to the gateways that asked recently."""
        self._requests = {
            origin: request
            for origin, request in self._requests.items()
            if now - request.received_at < REQUEST_TTL_S
        }
        proven = self._reachability.list_connected(PROOF_TTL_S, now)
        offers: list[tuple[str, messages.Message]] = []
        for origin, request in self._requests.items():
            if request.offered.issuperset(proven):
                continue
            request.offered = frozenset(proven)
            offer = messages.RelayOffer(
                origin=origin,
                relay=self._node,
                address=self._address,
                token=self._token,
                reachable=proven,
            )
            offers.append((request.sender, offer))
        return offers
