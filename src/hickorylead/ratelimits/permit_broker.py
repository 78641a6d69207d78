"""Shares rate limits of servers and brokers permits, at one coordinator.

Gateways report the limits that servers name to their home coordinator and
request permits from it. Coordinators send limits to each other and to their
gateways. For each server one coordinator, its owner, grants the permits; a home
coordinator forwards requests to the owner and replies to the gateway.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, TypeAlias

import attrs

from hickorylead.ratelimits import allocator, limit_table, messages
from hickorylead.roles import nodes

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hickorylead.fleet import (
        gateways as gateways_module,
        peer_directory as peer_directory_module,
        registry as registry_module,
    )

Sent: TypeAlias = tuple[str, messages.Message]

# Interval at which all limits are sent again, in seconds, for nodes that missed
# some limits.
FULL_SYNC_PERIOD_S = 10.0


class PermitBroker:
    """The limits that a coordinator has received, and the permits it grants."""

    def __init__(
        self,
        node: str,
        *,
        registry: registry_module.Registry,
        peers: peer_directory_module.PeerDirectory,
        gateways: gateways_module.Gateways,
    ) -> None:
        """Makes a broker without limits.

        Args:
            node: Name of the coordinator.
            registry: Backend servers known to it.
            peers: The other coordinators.
            gateways: Gateways known to it.
        """
        self._node = node
        self._registry = registry
        self._peers = peers
        self._gateways = gateways
        self._table = limit_table.LimitTable()
        self._allocator = allocator.Allocator()
        self._next_sync_at = 0.0

    def merge_limits(
        self, update: messages.LimitNews, now: float
    ) -> list[Sent]:
        """Merges limits; returns the messages to send to other nodes.

        A limit that another coordinator sent is not forwarded to coordinators:
        that coordinator has sent it to all of them.
        """
        changed = [x.server for x in update.limits if self._table.merge(x, now)]
        if not changed:
            return []
        forwarded = messages.LimitNews(
            self._node, self._table.describe(changed, now)
        )
        targets = self._gateways.list_home_gateways(now)
        if update.sender not in self._peers.known:
            targets += self._peers.list_alive(now)
        return [(node, forwarded) for node in targets]

    def handle_request(
        self,
        request: messages.PermitRequest,
        sender: str,
        *,
        has_recent_leader: bool,
        now: float,
    ) -> list[Sent]:
        """Grants requested permits, or forwards the request to server owners.

        Args:
            request: The request.
            sender: Node that sent the request to this coordinator: the gateway,
                or its home coordinator.
            has_recent_leader: Whether this coordinator had recent contact with
                a leader.
            now: Present time.
        """
        # The gateway may have received a limit that its home coordinator has
        # not received.
        limits = tuple(permit_request.limit for permit_request in request.asks)
        sent = self.merge_limits(messages.LimitNews(sender, limits), now)
        permit_requests = collections.defaultdict(list)
        for permit_request in request.asks:
            # This coordinator decides a forwarded request even if another
            # coordinator owns the server by now: otherwise the request could be
            # forwarded in a circle.
            is_forwarded = sender != request.gateway
            node = (
                self._node
                if is_forwarded
                else self._find_owner(permit_request, now)
            )
            permit_requests[node].append(permit_request)
        own_requests = permit_requests.pop(self._node, [])
        sent += [
            (node, attrs.evolve(request, asks=tuple(other_requests)))
            for node, other_requests in permit_requests.items()
        ]
        if own_requests:
            permits = tuple(
                self._allocate(permit_request, has_recent_leader, now)
                for permit_request in own_requests
            )
            reply = messages.PermitReply(
                request.gateway, request.number, permits
            )
            sent.append((sender, reply))
        return sent

    def make_initial_update(self, gateway: str, now: float) -> list[Sent]:
        """Returns all limits for a gateway with a new home coordinator.

        The gateway has started, or has changed its home coordinator.

        The gateway would otherwise send requests without permits to each server
        until that server reports its limit to it.
        """
        return self._make_full_updates([gateway], now)

    def tick(self, now: float) -> list[Sent]:
        """Returns all limits for all nodes if they are due again."""
        if now < self._next_sync_at:
            return []
        self._next_sync_at = now + FULL_SYNC_PERIOD_S
        self._table.prune(now)
        self._allocator.prune(now)
        targets = self._gateways.list_home_gateways(now)
        return self._make_full_updates(
            [*targets, *self._peers.list_alive(now)], now
        )

    def _make_full_updates(
        self, targets: Iterable[str], now: float
    ) -> list[Sent]:
        if not len(self._table):
            return []
        update = messages.LimitNews(self._node, self._table.describe_all(now))
        return [(node, update) for node in targets]

    def _find_owner(self, permit_request: messages.Ask, now: float) -> str:
        """Returns the coordinator that grants the permits of a server.

        The owner is a coordinator of the server's own zone while any is alive:
        when that zone is partitioned from the others, the gateways that reach
        the server also reach this coordinator.
        """
        server = permit_request.limit.server
        known = self._registry.instances.get(server)
        zone = known.zone if known else nodes.get_zone(self._node)
        return self._peers.find_owner(zone, server, now)

    def _allocate(
        self, permit_request: messages.Ask, has_recent_leader: bool, now: float
    ) -> messages.Permits:
        limit = permit_request.limit
        known = self._table.find(limit.server, limit.born, now)
        if known is None:
            # The server has stopped naming a limit, the known limit belongs to
            # another incarnation, or the last report is older than
            # `limit_table.RETENTION_S`. Updates of limits are sent to the
            # gateway separately. Until it has the update, this coordinator
            # grants all permits that the gateway wants.
            lease_ms = int(1000 * allocator.LEASE_S)
            return messages.Permits(
                limit.server, limit.born, permit_request.wanted, lease_ms
            )
        return self._allocator.allocate(
            permit_request, known, has_recent_leader=has_recent_leader, now=now
        )
