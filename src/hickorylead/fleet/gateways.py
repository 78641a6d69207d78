"""The gateways that a coordinator knows, and what it tells them."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from hickorylead.fleet import divergence, messages
from hickorylead.roles import nodes

if TYPE_CHECKING:
    from hickorylead.fleet import registry as registry_module

# A gateway that was not heard for this long is not told any more, in seconds.
FORGET_S = 10.0
# Loads of a zone are told this often, in seconds.
LOADS_PERIOD_S = 0.25
# Gateways are told the control nodes when these change, and this often, in
# seconds; a list of six takes 400 bytes. One that looks for a home is told each
# time: it takes the answer for a sign of life.
KNOWN_PERIOD_S = 5.0
# A gateway that holds an older configuration gets the newer one from its home
# at once. Others send it only to one that they have seen behind for this long,
# in seconds: 6 control nodes that all sent 30 KB to 71 gateways at each change
# took 13 MB. Its home may be behind itself; a change is due within 2 s.
BEHIND_S = 0.2
# One that was sent is on its way for this long, in seconds.
RESEND_DOCUMENT_S = 0.5
# A gateway that has just started is sent it with each greeting: what it got
# first may not count as recent, when the leader was not elected yet.
RESEND_FIRST_S = 0.2


@attrs.define
class _Gateway:
    boot: int
    heard_at: float
    version: int = 0
    is_home: bool = False
    loads: tuple[messages.HeadLoad, ...] = ()
    told_at: float = -1e9
    told: tuple[str, ...] = ()
    behind_since: float | None = None
    sent_document_at: float = -1e9


class Gateways:
    """Gateways by name."""

    def __init__(self, *, zone: str) -> None:
        """Makes a view without gateways.

        Args:
            zone: Zone of the coordinator.
        """
        self._zone = zone
        self._gateways: dict[str, _Gateway] = {}
        self._differences = divergence.DivergenceDetector()
        self._next_loads = 0.0

    def list_all(self, now: float) -> list[str]:
        """Returns the gateways that were heard lately."""
        return [
            name
            for name, gateway in self._gateways.items()
            if now - gateway.heard_at <= FORGET_S
        ]

    def list_homed(self, now: float) -> list[str]:
        """Returns those that count on this coordinator first."""
        return [n for n in self.list_all(now) if self._gateways[n].is_home]

    def is_home_to(self, node: str, boot: int) -> bool:
        """Says whether a gateway counted on this coordinator when last heard.

        Not one that has just started, nor one that turns here.
        """
        gateway = self._gateways.get(node)
        return gateway is not None and gateway.boot == boot and gateway.is_home

    def handle_hello(
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
        if before is None or is_new:
            before = _Gateway(hello.boot, now)
        gateway = self._gateways[hello.node] = attrs.evolve(
            before,
            heard_at=now,
            version=hello.version,
            is_home=hello.is_home,
            loads=hello.loads,
        )
        sent: list[tuple[str, messages.Message]] = []
        if (
            not hello.is_home
            or gateway.told != known.nodes
            or now - gateway.told_at >= KNOWN_PERIOD_S
        ):
            sent.append((hello.node, known))
            gateway.told_at = now
            gateway.told = known.nodes
        has_turned_here = hello.is_home and not before.is_home
        if has_turned_here:
            lacks_news = hello.check != registry.digest
        else:
            lacks_news = self._lacks_news(hello, registry, now)
        if lacks_news:
            news = messages.InstanceNews(
                sender, tuple(registry.instances.values()), is_full=True
            )
            sent.append((hello.node, news))
        return sent

    def _lacks_news(
        self,
        hello: messages.GatewayHello,
        registry: registry_module.Registry,
        now: float,
    ) -> bool:
        """Says whether a gateway is told everything; its home does that."""
        if not hello.is_home or registry.had_digest(hello.check, now):
            # What it lacks is on its way, or another one sends it.
            self._differences.clear(hello.node)
            return False
        return self._differences.needs_full_sync(
            hello.node, hello.check, registry.digest, now
        )

    def needs_document(self, node: str, version: int, now: float) -> bool:
        """Says whether a gateway is sent the configuration held here.

        Args:
            node: The gateway, which was heard before.
            version: The version held here.
            now: Present time.
        """
        gateway = self._gateways[node]
        if gateway.version >= version:
            gateway.behind_since = None
            return False
        if gateway.behind_since is None:
            gateway.behind_since = now
        pause_s = RESEND_DOCUMENT_S if gateway.version else RESEND_FIRST_S
        if now - gateway.sent_document_at < pause_s:
            return False
        is_late = now - gateway.behind_since >= BEHIND_S
        if gateway.is_home or is_late:
            gateway.sent_document_at = now
            return True
        return False

    def record_document_sent(self, nodes_sent: list[str], now: float) -> None:
        """Takes that gateways were sent a configuration without asking."""
        for node in nodes_sent:
            self._gateways[node].sent_document_at = now

    def tick(
        self, *, is_fresh: bool, homed_elsewhere: int, now: float
    ) -> list[tuple[str, messages.Message]]:
        """Returns the loads of the zone, when they are due.

        Args:
            is_fresh: Whether the configuration held here is surely recent.
            homed_elsewhere: Gateways that have another home.
            now: Present time.
        """
        if now < self._next_loads:
            return []
        self._next_loads = now + LOADS_PERIOD_S
        own = self.list_homed(now)
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
        message = messages.ZoneLoads(
            nodes.get_zone(self._zone),
            loads,
            is_fresh,
            len(own) + homed_elsewhere,
        )
        return [(name, message) for name in own]
