"""The reducer of a gateway: it forwards callers' requests to replicas.

It receives the configuration and the state of backend servers from the
coordinators, which it discovers from a few seeds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import attrs
from returns import result

from hickorylead import isolation, notes
from hickorylead.forwarding import (
    events,
    model,
    routes as routes_module,
)
from hickorylead.relaying import (
    messages as relay_messages,
)
from hickorylead.roles import (
    gateway_news,
    gateway_parts,
    gateway_reports,
    interface,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from hickorylead.configuration import document as document_module

# Shortest and longest time between two ticks while requests are pending, and
# time between two ticks without requests, in seconds. A request that starts to
# wait for a replica is examined in the next tick; it waits at most 0.12 s if
# its objective is 0.3 s.
TICK_S = 0.02
LONGEST_TICK_S = 0.05
IDLE_TICK_S = 0.1
INSTANCE_RETENTION_S = 60.0
CLEANUP_PERIOD_S = 5.0

GatewayEvent: TypeAlias = (
    interface.Tick
    | interface.MessageArrived
    | interface.StopRequested
    | events.Event
)
GatewayEffect: TypeAlias = gateway_parts.Effect


class Gateway:
    """State of one gateway."""

    def __init__(
        self,
        identity: gateway_parts.Identity,
        *,
        decode_document: Callable[
            [bytes], result.Result[document_module.Document, str]
        ],
        rng: random.Random,
        now: float,
    ) -> None:
        """Initializes a gateway that has just started.

        Args:
            identity: Its identity.
            decode_document: Decodes a complete configuration as operators
                submit it.
            rng: Source of the random choice among replicas.
            now: Present time.
        """
        self._parts = gateway_parts.Parts(
            identity, decode_document=decode_document, rng=rng, now=now
        )
        self._registry = self._parts.registry
        self._directory = self._parts.directory
        self._guard = self._parts.guard
        self._reachability = self._parts.reachability
        self._permits = self._parts.permits
        self._relays = self._parts.relays
        self._limits = self._parts.limits
        self._forwarder = self._parts.forwarder
        self._coordinators = self._parts.coordinators
        self._reports = gateway_reports.Reports(self._parts, now)
        self._news = gateway_news.News(self._parts, self.is_ready)
        self._next_cleanup = now + CLEANUP_PERIOD_S
        self._stopping = False

    @property
    def routes(self) -> routes_module.RouteTable | None:
        """The routes of the configuration in force; None without one."""
        return self._parts.routes

    @routes.setter
    def routes(self, routes: routes_module.RouteTable | None) -> None:
        self._parts.routes = routes

    @property
    def document(self) -> document_module.Document | None:
        """The configuration in force at this gateway."""
        return self._parts.document

    @property
    def seeds(self) -> tuple[str, ...]:
        """Addresses at which to discover coordinators."""
        return self._parts.identity.seeds

    def is_ready(self) -> bool:
        """Returns whether callers may be sent to this gateway.

        Without a configuration, or without any backend server, a gateway
        would refuse requests that other gateways serve.
        """
        return (
            self.routes is not None
            and bool(self._registry.instances)
            and not self._stopping
        )

    @property
    def is_stopping(self) -> bool:
        """Whether the process was requested to stop."""
        return self._stopping

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replaces the seeds after a change of the settings."""
        self._parts.identity = attrs.evolve(self._parts.identity, seeds=seeds)

    def set_buffer_limit(self, max_bytes: int) -> None:
        """Sets the maximum size of all buffered responses, in bytes."""
        self._forwarder.set_buffer_limit(max_bytes)

    def accept_connection(self, now: float) -> bool:
        """Returns whether to serve a caller's new connection.

        If not, it is to be closed unread, so that the next one goes to another
        gateway.
        """
        return self._parts.overload.accept_connection(now)

    def record_late_tick(self, late_s: float, now: float) -> list[notes.Note]:
        """Records how late a tick was, in seconds; returns log notes."""
        if not self._parts.overload.record_tick(
            late_s, self.count_pending(), now
        ):
            return []
        is_limited = self._parts.overload.is_limited
        event = "connections_limited" if is_limited else "connections_unlimited"
        return [notes.note(event, open=self.count_pending())]

    def count_closed_connections(self) -> int:
        """Returns the number of connections that were closed unread."""
        return self._parts.overload.closed_count

    def get_tick_delay(self, now: float) -> float:
        """Returns the time to the next tick, in seconds.

        Ticks at the shortest period would mostly find nothing to do: a replica
        sends output on each of its streams several times within the gap that
        counts as a stall.
        """
        if not self._forwarder.count_pending():
            return IDLE_TICK_S
        due_s = self._forwarder.find_next_wakeup(now) - now
        return min(LONGEST_TICK_S, max(TICK_S, due_s))

    def count_replicas(self) -> dict[str, int]:
        """Returns the number of usable replicas and of present instances."""
        return {
            "replicas": self._directory.count(),
            "instances": len(self._registry.list_present()),
        }

    def count_unreachable(self) -> dict[str, int]:
        """Returns how many servers and zones connections do not reach."""
        return {
            "unreachable_servers": self._reachability.count_failed(),
            "unreachable_scopes": len(self._reachability.list_unreachable()),
            "connect_failures_total": self._reachability.failure_count,
        }

    def count_relays(self, now: float) -> int:
        """Returns the number of gateways that offer to relay requests."""
        return self._relays.count(now)

    def check_relay(self, opening: relay_messages.RelayOpen) -> str:
        """Returns why an exchange of another gateway is refused, if it is."""
        if self._stopping:
            return model.RELAY_REFUSED
        return self._parts.offers.check(opening)

    def find_replica(self, name: str) -> model.Replica | None:
        """Returns the replica for which a server receives requests."""
        return self._directory.find(name)

    def count_blocked_requests(self) -> int:
        """Returns the number of request hashes that are blocked."""
        return self._guard.count_blocked()

    def count_paused_servers(self, now: float) -> int:
        """Returns the number of servers that asked for a pause."""
        return self._parts.notices.count_paused(now)

    def count_rate_limited_replicas(self) -> int:
        """Returns the number of replicas that report a rate limit."""
        return self._permits.table.count_named()

    def count_pending(self) -> int:
        """Returns the number of pending requests."""
        return self._forwarder.count_pending()

    def reduce(self, event: GatewayEvent, now: float) -> list[GatewayEffect]:
        """Handles one event and returns the effects to carry out."""
        match event:
            case interface.Tick(_, late_s):
                return self._tick(late_s, now)
            case interface.MessageArrived(sender, message):
                return self._news.receive(sender, message, now)
            case interface.StopRequested(left_s):
                self._stopping = True
                self._forwarder.stop(now + left_s)
                return [notes.note("stopping", open=self.count_pending())]
            case events.ServerProbed():
                return self._handle_probe(event, now)
            case _:
                effects: list[GatewayEffect] = [
                    *self._forwarder.handle(event, now),
                    *self._reports.request_relays(self._coordinators.home, now),
                ]
                if self._permits.has_urgent_demand:
                    # A request waits for permits: the next tick is too late to
                    # request them.
                    home_coordinator = self._coordinators.find_home(now)
                    return [
                        *effects,
                        *self._reports.send_permit_messages(
                            home_coordinator, now
                        ),
                    ]
                return [*effects]

    def _tick(self, late_s: float, now: float) -> list[GatewayEffect]:
        self._parts.pauses.record_listening(now)
        return isolation.collect_effects(
            {
                "configuration": lambda: self._news.apply_document(now),
                "requests": lambda: self._forwarder.tick(now, late_s),
                "reports": lambda: self._reports.tick(now),
                "cleanup": lambda: self._clean_up(now),
            }
        )

    def _clean_up(self, now: float) -> list[GatewayEffect]:
        """Removes state that is not needed any more."""
        if now >= self._next_cleanup:
            self._next_cleanup = now + CLEANUP_PERIOD_S
            self._registry.prune(now, INSTANCE_RETENTION_S)
            self._parts.health.retain(set(self._registry.instances))
            self._reachability.retain(set(self._registry.instances))
            self._permits.prune(now)
            self._relays.prune(now)
            self._parts.notices.prune(now)
        return []

    def _handle_probe(
        self, event: events.ServerProbed, now: float
    ) -> list[GatewayEffect]:
        effects: list[GatewayEffect] = [*self._forwarder.handle(event, now)]
        if not event.failure:
            sent = self._parts.offers.collect_offers(now)
            effects += [interface.Send(*offer) for offer in sent]
        return effects

    # Coordinators.
