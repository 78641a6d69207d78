"""What one coordinator does about servers that name a rate limit.

Gateways tell their home what servers named and ask it for permits. Coordinators
tell each other and their gateways which servers name a limit. For each server
one coordinator gives the permits out; a home passes requests on to it, and its
replies back.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, TypeAlias

import attrs

from hickorylead.ratelimits import allocator, messages, table as table_module
from hickorylead.roles import nodes

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hickorylead.fleet import (
        gateways as gateways_module,
        peer_directory as peer_directory_module,
        registry as registry_module,
    )

Sent: TypeAlias = tuple[str, messages.Message]

# All limits are told again this often, in seconds, to nodes that missed some.
RETELL_PERIOD_S = 10.0


class PermitBroker:
    """The limits that one coordinator knows, and the permits it gives."""

    def __init__(
        self,
        node: str,
        *,
        registry: registry_module.Registry,
        neighbours: peer_directory_module.PeerDirectory,
        gateways: gateways_module.Gateways,
    ) -> None:
        """Makes an exchange that knows of no limit.

        Args:
            node: Name of the coordinator.
            registry: Backend servers that it knows.
            neighbours: The other coordinators.
            gateways: The gateways that it knows.
        """
        self._node = node
        self._registry = registry
        self._neighbours = neighbours
        self._gateways = gateways
        self._table = table_module.Table()
        self._allocator = allocator.Allocator()
        self._next_retell = 0.0

    def merge_limits(self, news: messages.LimitNews, now: float) -> list[Sent]:
        """Takes limits; returns what others are to be told.

        What another coordinator tells, it has told all coordinators.
        """
        found = [x.server for x in news.limits if self._table.take(x, now)]
        if not found:
            return []
        told = messages.LimitNews(self._node, self._table.describe(found, now))
        targets = self._gateways.list_homed(now)
        if news.sender not in self._neighbours.known:
            targets += self._neighbours.list_alive(now)
        return [(node, told) for node in targets]

    def handle_request(
        self,
        request: messages.PermitRequest,
        sender: str,
        *,
        is_fresh: bool,
        now: float,
    ) -> list[Sent]:
        """Returns the permits for a request, or passes it on.

        Args:
            request: The request.
            sender: Who sent it here: the gateway, or its home.
            is_fresh: Whether this coordinator heard a leader lately.
            now: Present time.
        """
        # The gateway may know of a limit that its home has not heard of.
        limits = tuple(ask.limit for ask in request.asks)
        sent = self.merge_limits(messages.LimitNews(sender, limits), now)
        asks = collections.defaultdict(list)
        for ask in request.asks:
            # What another coordinator passed on is decided here, whoever is in
            # charge by now: it could go round in a circle.
            is_passed = sender != request.gateway
            node = self._node if is_passed else self._find_in_charge(ask, now)
            asks[node].append(ask)
        own = asks.pop(self._node, [])
        sent += [
            (node, attrs.evolve(request, asks=tuple(others)))
            for node, others in asks.items()
        ]
        if own:
            permits = tuple(self._allot(ask, is_fresh, now) for ask in own)
            reply = messages.PermitReply(
                request.gateway, request.number, permits
            )
            sent.append((sender, reply))
        return sent

    def make_initial_update(self, gateway: str, now: float) -> list[Sent]:
        """Returns what a gateway is told that has started or turned here.

        It would send freely to servers in need until each told it.
        """
        return self._describe_all([gateway], now)

    def tick(self, now: float) -> list[Sent]:
        """Lets time pass; returns what is told again."""
        if now < self._next_retell:
            return []
        self._next_retell = now + RETELL_PERIOD_S
        self._table.forget(now)
        self._allocator.forget(now)
        targets = self._gateways.list_homed(now)
        return self._describe_all(
            [*targets, *self._neighbours.list_alive(now)], now
        )

    def _describe_all(self, targets: Iterable[str], now: float) -> list[Sent]:
        if not len(self._table):
            return []
        news = messages.LimitNews(self._node, self._table.describe_all(now))
        return [(node, news) for node in targets]

    def _find_in_charge(self, ask: messages.Ask, now: float) -> str:
        """Returns the coordinator that gives the permits of a server.

        One of the server's own zone while any is alive: when that zone is cut
        off, the gateways that reach the server reach it as well.
        """
        server = ask.limit.server
        known = self._registry.instances.get(server)
        zone = known.zone if known else nodes.get_zone(self._node)
        return self._neighbours.find_owner(zone, server, now)

    def _allot(
        self, ask: messages.Ask, is_fresh: bool, now: float
    ) -> messages.Permits:
        limit = ask.limit
        known = self._table.find(limit.server, limit.born, now)
        if known is None:
            # It has stopped to name a limit, and the gateway is told so by
            # itself: until then it may send what it wants to.
            lease_ms = int(1000 * allocator.LEASE_S)
            return messages.Permits(
                limit.server, limit.born, ask.wanted, lease_ms
            )
        return self._allocator.allot(ask, known, is_fresh=is_fresh, now=now)
