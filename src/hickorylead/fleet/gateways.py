"""The gateways that a coordinator knows, and what it tells them."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from hickorylead.fleet import messages
from hickorylead.roles import nodes

if TYPE_CHECKING:
    from hickorylead.fleet import registry as registry_module

# A gateway that was not heard for this long is not told any more, in seconds.
FORGET_S = 10.0
# Loads of a zone are told this often, in seconds.
LOADS_PERIOD_S = 0.25
# Gateways are told the control nodes this often, in seconds; that is also how
# they know that a control node is there.
KNOWN_PERIOD_S = 1.0
# Two nodes may differ for a moment, while news are on the way. Everything is
# told anew only if they still differ after this, in seconds.
DIFFER_S = 0.7
RESEND_S = 1.5


@attrs.define
class _Gateway:
    boot: int
    heard_at: float
    version: int = 0
    is_home: bool = False
    loads: tuple[messages.HeadLoad, ...] = ()
    told_at: float = -1e9


@attrs.define
class _Difference:
    check: int
    since: float
    told_at: float = -1e9


class Gateways:
    """Gateways by name."""

    def __init__(self, *, zone: str) -> None:
        """Makes a view without gateways.

        Args:
            zone: Zone of the coordinator.
        """
        self._zone = zone
        self._gateways: dict[str, _Gateway] = {}
        self._differences: dict[str, _Difference] = {}
        self._next_loads = 0.0

    def list_all(self, now: float) -> list[str]:
        """Returns the gateways that were heard lately."""
        return [
            name
            for name, gateway in self._gateways.items()
            if now - gateway.heard_at <= FORGET_S
        ]

    def list_own(self, now: float) -> list[str]:
        """Returns those that count on this coordinator first."""
        return [n for n in self.list_all(now) if self._gateways[n].is_home]

    def hear(
        self,
        hello: messages.GatewayHello,
        *,
        registry: registry_module.Registry,
        known: messages.KnownCoordinators,
        sender: str,
        now: float,
    ) -> list[tuple[str, messages.Message]]:
        """Takes a greeting; returns what the gateway is to be told.

        Args:
            hello: The greeting.
            registry: Backend servers that this coordinator knows.
            known: Control nodes that it knows.
            sender: Its name.
            now: Present time.
        """
        before = self._gateways.get(hello.node)
        is_new = (
            before is None
            or before.boot != hello.boot
            or now - before.heard_at > FORGET_S
        )
        self._gateways[hello.node] = _Gateway(
            hello.boot, now, hello.version, hello.is_home, hello.loads
        )
        differs = self.differs(hello.node, hello.check, registry.check, now)
        sent: list[tuple[str, messages.Message]] = []
        told_at = -1e9 if before is None else before.told_at
        if is_new or now - told_at >= KNOWN_PERIOD_S:
            sent.append((hello.node, known))
            told_at = now
        self._gateways[hello.node].told_at = told_at
        if is_new or differs:
            news = messages.InstanceNews(
                sender, tuple(registry.instances.values()), is_full=True
            )
            sent.append((hello.node, news))
        return sent

    def differs(self, node: str, theirs: int, ours: int, now: float) -> bool:
        """Says whether a node must be told everything anew.

        A message that was lost would leave it wrong for ever; the hash shows
        it, whatever was lost.
        """
        if theirs == ours:
            self._differences.pop(node, None)
            return False
        found = self._differences.get(node)
        if found is None:
            self._differences[node] = _Difference(theirs, now)
            return False
        if found.check != theirs and now - found.since < RESEND_S:
            # It still changes, so news reach it.
            found.check = theirs
            return False
        if now - found.since < DIFFER_S or now - found.told_at < RESEND_S:
            return False
        found.told_at = now
        return True

    def tick(self, now: float) -> list[tuple[str, messages.Message]]:
        """Returns the loads of the zone, when they are due."""
        if now < self._next_loads:
            return []
        self._next_loads = now + LOADS_PERIOD_S
        own = self.list_own(now)
        if not own:
            return []
        totals: collections.Counter[str] = collections.Counter()
        for name in own:
            for load in self._gateways[name].loads:
                totals[load.name] += load.running
        loads = tuple(
            messages.HeadLoad(head, running)
            for head, running in sorted(totals.items())
        )
        message = messages.ZoneLoads(nodes.get_zone(self._zone), loads)
        return [(name, message) for name in own]
