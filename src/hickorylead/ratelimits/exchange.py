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

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

Sent: TypeAlias = tuple[str, messages.Message]

# All limits are told again this often, in seconds, to nodes that missed some.
RETELL_PERIOD_S = 10.0


class Exchange:
    """The limits that one coordinator knows, and the permits it gives."""

    def __init__(self, node: str) -> None:
        """Makes an exchange that knows of no limit.

        Args:
            node: Name of the coordinator.
        """
        self._node = node
        self.table = table_module.Table()
        self._allocator = allocator.Allocator()
        self._next_retell = 0.0

    def count(self) -> int:
        """Returns how many servers are known to have named a limit lately."""
        return len(self.table)

    def take_news(
        self,
        limits: Iterable[messages.RateLimit],
        targets: Iterable[str],
        now: float,
    ) -> list[Sent]:
        """Takes limits; returns what others are to be told.

        Args:
            limits: The limits.
            targets: Nodes that have not heard of them.
            now: Present time.
        """
        found = [x.server for x in limits if self.table.take(x, now)]
        if not found:
            return []
        news = messages.LimitNews(self._node, self.table.describe(found, now))
        return [(node, news) for node in targets]

    def answer(
        self,
        request: messages.PermitRequest,
        sender: str,
        *,
        find_in_charge: Callable[[str], str],
        is_fresh: bool,
        now: float,
    ) -> list[Sent]:
        """Returns the permits for a request, or passes it on.

        Args:
            request: The request.
            sender: Who sent it here: the gateway, or its home.
            find_in_charge: Returns the coordinator that gives the permits of a
                server. What another coordinator passed on is decided here,
                whoever is in charge by now.
            is_fresh: Whether this coordinator heard a leader lately.
            now: Present time.
        """
        is_passed = sender != request.gateway
        asks = collections.defaultdict(list)
        for ask in request.asks:
            server = ask.limit.server
            node = self._node if is_passed else find_in_charge(server)
            asks[node].append(ask)
        own = asks.pop(self._node, [])
        sent: list[Sent] = [
            (node, attrs.evolve(request, asks=tuple(others)))
            for node, others in asks.items()
        ]
        if own:
            reply = messages.PermitReply(
                request.gateway,
                request.number,
                tuple(self._allot(ask, is_fresh, now) for ask in own),
            )
            sent.append((sender, reply))
        return sent

    def describe_all(self, now: float) -> messages.LimitNews:
        """Returns all limits, as another node is told them."""
        return messages.LimitNews(self._node, self.table.describe_all(now))

    def is_due(self, now: float) -> bool:
        """Says whether `tick` has something to do."""
        return now >= self._next_retell

    def tick(self, targets: Iterable[str], now: float) -> list[Sent]:
        """Drops what is over; returns what is told again.

        Args:
            targets: Gateways whose home this is, and the other coordinators.
            now: Present time.
        """
        self._next_retell = now + RETELL_PERIOD_S
        self.table.forget(now)
        self._allocator.forget(now)
        if not len(self.table):
            return []
        news = self.describe_all(now)
        return [(node, news) for node in targets]

    def _allot(
        self, ask: messages.Ask, is_fresh: bool, now: float
    ) -> messages.Permits:
        limit = ask.limit
        known = self.table.find(limit.server, limit.born, now)
        if known is None:
            # It has stopped to name a limit, and the gateway is told so by
            # itself: until then it may send what it wants to.
            lease_ms = int(1000 * allocator.LEASE_S)
            return messages.Permits(
                limit.server, limit.born, ask.wanted, lease_ms
            )
        return self._allocator.allot(ask, known, is_fresh=is_fresh, now=now)
