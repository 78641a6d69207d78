"""The reducer of a gateway: it forwards callers' requests to replicas.

It receives the configuration and the state of backend servers from the
coordinators, which it discovers from a few seeds.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, TypeAlias

import attrs
from returns import result

from hickorylead import notes
from hickorylead.admission import (
    budget as budget_module,
    overload as overload_module,
)
from hickorylead.crashes import (
    crash_guard as crash_guard_module,
    messages as crash_messages,
)
from hickorylead.fleet import (
    messages,
    registry as registry_module,
)
from hickorylead.forwarding import (
    choice as choice_module,
    connection_monitor,
    document_inbox,
    events,
    forwarder as forwarder_module,
    health,
    model,
    reachability as reachability_module,
    replica_directory,
    retry_borrower,
    routes as routes_module,
    shared_limits,
)
from hickorylead.notices import (
    messages as notice_messages,
    notice_reporter as notice_reporter_module,
    notice_store as notice_store_module,
)
from hickorylead.ratelimits import (
    messages as limit_messages,
    permit_pool as permit_pool_module,
)
from hickorylead.relaying import (
    messages as relay_messages,
    relay_directory,
    relay_offers,
)
from hickorylead.roles import coordinator_view, interface, nodes
from hickorylead.turns import own_pauses

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
HELLO_PERIOD_S = 0.25
# Period between hellos without requests, in seconds: a hello then rarely
# carries anything new.
IDLE_HELLO_PERIOD_S = 0.5
# Period between hellos to coordinators other than the home coordinator, in
# seconds: with six coordinators and 71 gateways, a hello and its reply each
# second were a third of all messages. A gateway that lost its home coordinator
# sends hellos to all coordinators at once.
OTHER_COORDINATOR_HELLO_PERIOD_S = 8.0
# Period between hellos to the other coordinators, in seconds, while the home
# coordinator has no leader or a replica of another zone is stalled: changes
# must arrive within 2 s.
OTHER_COORDINATOR_HELLO_URGENT_PERIOD_S = 0.5
# Time within which a working replica sends output again, in seconds.
PROGRESS_WINDOW_S = 0.4
INSTANCE_RETENTION_S = 60.0
CLEANUP_PERIOD_S = 5.0
# Longest time between two decisions about runs that have ended, in seconds.
DECISION_PERIOD_S = 0.25
# Shortest time between two reports of servers at fault, in seconds: a group
# that lost a member refuses every request, and without this limit its refusals
# would cause a report at each tick.
FAULTY_SERVERS_PERIOD_S = 1.0

GatewayEvent: TypeAlias = (
    interface.Tick
    | interface.MessageArrived
    | interface.StopRequested
    | events.Event
)
GatewayEffect: TypeAlias = interface.Send | interface.Stopped | events.Effect


@attrs.frozen
class Identity:
    """Identity of a gateway.

    Attributes:
        node: Its node name.
        boot: Number that distinguishes its starts.
        seeds: Addresses of a few coordinators, which report the others.
        retry_limits: Limits of the retries of all gateways together.
        relay_address: `ip:port` on which it relays requests of other gateways;
            empty if it relays none.
        relay_token: Token that such gateways have to present.
    """

    node: str
    boot: int
    seeds: tuple[str, ...]
    retry_limits: budget_module.RetryLimits = budget_module.DEFAULT_RETRY_LIMITS
    relay_address: str = ""
    relay_token: str = ""


class Gateway:
    """State of one gateway."""

    def __init__(
        self,
        identity: Identity,
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
        self._identity = identity
        self._zone = nodes.get_zone(identity.node)
        self._pauses = own_pauses.OwnPauses(now)
        self._inbox = document_inbox.DocumentInbox(decode_document, now)
        self._registry = registry_module.Registry()
        self._directory = replica_directory.ReplicaDirectory(
            self._registry, zone=self._zone
        )
        self._health = health.HealthTracker()
        self._guard = crash_guard_module.CrashGuard(identity.node)
        self._notices = notice_store_module.NoticeStore()
        self._notice_reporter = notice_reporter_module.NoticeReporter(
            identity.node, notices=self._notices, registry=self._registry
        )
        self._reachability = reachability_module.Reachability()
        self._permits = permit_pool_module.PermitPool(
            identity.node,
            first=identity.boot,
            rng=rng,
            pauses=self._pauses,
        )
        self._relays = relay_directory.RelayDirectory(self._zone, rng)
        self._offers = relay_offers.RelayOffers(
            identity.node,
            address=identity.relay_address,
            token=identity.relay_token,
            registry=self._registry,
            directory=self._directory,
            reachability=self._reachability,
        )
        self._connections = connection_monitor.ConnectionMonitor(
            directory=self._directory,
            health=self._health,
            reachability=self._reachability,
            relays=self._relays,
        )
        self._limits = shared_limits.SharedLimits(identity.retry_limits)
        self._borrower = retry_borrower.RetryBorrower(self._limits.retries)
        self._forwarder = forwarder_module.Forwarder(
            chooser=choice_module.Chooser(
                zone=self._zone,
                directory=self._directory,
                health=self._health,
                notices=self._notices,
                permits=self._permits,
                reachability=self._reachability,
                relays=self._relays,
                rng=rng,
            ),
            health=self._health,
            guard=self._guard,
            notices=self._notices,
            permits=self._permits,
            connections=self._connections,
            relays=self._relays,
            limits=self._limits,
            started_at=now,
        )
        self.routes: routes_module.RouteTable | None = None
        self._started_at = now
        self._coordinators = coordinator_view.CoordinatorView(
            self._zone, self._pauses
        )
        self._next_hello = now
        self._next_cleanup = now + CLEANUP_PERIOD_S
        self._next_faulty_servers = now
        self._reported_stalled: set[str] = set()
        self._next_other_hello = now
        self._overload = overload_module.OverloadMonitor()
        self._decided_changes = -1
        # Time since which this gateway has had a home coordinator.
        self._informed_since = math.inf
        self._next_decision = now
        self._stopping = False

    @property
    def document(self) -> document_module.Document | None:
        """The configuration in force at this gateway."""
        return self.routes.document if self.routes else None

    @property
    def seeds(self) -> tuple[str, ...]:
        """Addresses at which to discover coordinators."""
        return self._identity.seeds

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
        self._identity = attrs.evolve(self._identity, seeds=seeds)

    def accept_connection(self, now: float) -> bool:
        """Returns whether to serve a caller's new connection.

        If not, it is to be closed unread, so that the next one goes to another
        gateway.
        """
        return self._overload.accept_connection(now)

    def record_late_tick(self, late_s: float, now: float) -> list[notes.Note]:
        """Records how late a tick was, in seconds; returns log notes."""
        if not self._overload.record_tick(late_s, self.count_pending(), now):
            return []
        is_limited = self._overload.is_limited
        event = "connections_limited" if is_limited else "connections_unlimited"
        return [notes.note(event, open=self.count_pending())]

    def count_closed_connections(self) -> int:
        """Returns the number of connections that were closed unread."""
        return self._overload.closed_count

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
        return self._offers.check(opening)

    def find_replica(self, name: str) -> model.Replica | None:
        """Returns the replica for which a server receives requests."""
        return self._directory.find(name)

    def count_blocked_requests(self) -> int:
        """Returns the number of request hashes that are blocked."""
        return self._guard.count_blocked()

    def count_paused_servers(self, now: float) -> int:
        """Returns the number of servers that asked for a pause."""
        return self._notices.count_paused(now)

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
                return self._receive(sender, message, now)
            case interface.StopRequested(left_s):
                self._stopping = True
                self._forwarder.stop(now + left_s)
                return [notes.note("stopping", open=self.count_pending())]
            case events.ServerProbed():
                return self._handle_probe(event, now)
            case _:
                effects: list[GatewayEffect] = [
                    *self._forwarder.handle(event, now),
                    *self._request_relays(self._coordinators.home, now),
                ]
                if self._permits.has_urgent_demand:
                    # A request waits for permits: the next tick is too late to
                    # request them.
                    home_coordinator = self._coordinators.find_home(now)
                    return [
                        *effects,
                        *self._send_permit_messages(home_coordinator, now),
                    ]
                return [*effects]

    def _tick(self, late_s: float, now: float) -> list[GatewayEffect]:
        self._pauses.record_listening(now)
        effects: list[GatewayEffect] = [
            *self._apply_document(now),
            *self._forwarder.tick(now, late_s),
        ]
        stalled = set(self._list_stalled(now))
        new_stalled = stalled - self._reported_stalled
        home_coordinator = self._coordinators.find_home(now)
        if not home_coordinator:
            self._informed_since = math.inf
        elif self._informed_since == math.inf:
            self._informed_since = now
        if (
            self._registry.change_count != self._decided_changes
            or now >= self._next_decision
        ):
            self._decided_changes = self._registry.change_count
            self._next_decision = now + DECISION_PERIOD_S
            self._guard.decide_ended_runs(
                lambda server, born: self._registry.has_ended(
                    server, born, now
                ),
                now,
                informed_since=self._informed_since,
                pauses=self._pauses,
            )
        effects += [
            interface.Send(*sent)
            for sent in self._guard.collect_messages(home_coordinator, now)
        ]
        effects += self._send_permit_messages(home_coordinator, now)
        effects += [
            interface.Send(*sent)
            for sent in self._notice_reporter.collect_messages(
                home_coordinator, now
            )
        ]
        effects += self._request_relays(home_coordinator, now)
        if home_coordinator and now >= self._next_faulty_servers:
            effects += self._report_faulty_servers(home_coordinator, now)
        # After a change of its home coordinator, the gateway sends hellos at
        # once: before that no coordinator sends updates to this gateway.
        has_become_short = self._borrower.check_shortage(now)
        if (
            now >= self._next_hello
            or new_stalled
            or home_coordinator != self._coordinators.home
        ):
            self._reported_stalled = stalled
            if new_stalled and home_coordinator:
                report = messages.StallNews(
                    self._identity.node, tuple(sorted(new_stalled))
                )
                effects.append(interface.Send(home_coordinator, report))
            is_idle = self.routes and not self._forwarder.count_pending()
            self._next_hello = now + (
                IDLE_HELLO_PERIOD_S if is_idle else HELLO_PERIOD_S
            )
            effects += self._send_hellos(home_coordinator, now)
        elif has_become_short and home_coordinator:
            hello = self._make_hello(home_coordinator, now)
            effects.append(interface.Send(home_coordinator, hello))
        if now >= self._next_cleanup:
            self._next_cleanup = now + CLEANUP_PERIOD_S
            self._registry.prune(now, INSTANCE_RETENTION_S)
            self._health.retain(set(self._registry.instances))
            self._reachability.retain(set(self._registry.instances))
            self._permits.prune(now)
            self._relays.prune(now)
            self._notices.prune(now)
        return effects

    def _list_stalled(self, now: float) -> tuple[str, ...]:
        """Returns the replicas whose stall is to be reported to other nodes.

        While this gateway cannot connect to a replica's zone, a stall says
        nothing about the replica.
        """
        found = self._health.list_stalled(now)
        if not self._reachability.has_failures():
            return found
        replicas = [self._directory.find(name) for name in found]
        return tuple(
            replica.name
            for replica in replicas
            if replica is not None
            and self._reachability.is_scope_reachable(replica)
        )

    def _request_relays(
        self, home_coordinator: str, now: float
    ) -> list[GatewayEffect]:
        if not self._relays.is_request_due(now):
            return []
        request = relay_messages.RelayRequest(self._identity.node)
        targets = (
            [home_coordinator]
            if home_coordinator
            else self._coordinators.list_heard()
        )
        return [interface.Send(node, request) for node in targets]

    def _offer_relay(
        self, sender: str, request: relay_messages.RelayRequest, now: float
    ) -> list[GatewayEffect]:
        """Offers to relay requests of another gateway, if this one can."""
        if not self.is_ready():
            return []
        sent, probes = self._offers.handle_request(request, sender, now)
        return [*(interface.Send(*offer) for offer in sent), *probes]

    def _handle_probe(
        self, event: events.ServerProbed, now: float
    ) -> list[GatewayEffect]:
        effects: list[GatewayEffect] = [*self._forwarder.handle(event, now)]
        if not event.failure:
            sent = self._offers.collect_offers(now)
            effects += [interface.Send(*offer) for offer in sent]
        return effects

    def _report_faulty_servers(
        self, home_coordinator: str, now: float
    ) -> list[GatewayEffect]:
        """Requests probes of the servers that refusals named as faulty.

        A head can detect the loss of a member before the coordinator misses
        heartbeats.
        """
        names = self._forwarder.pop_faulty_servers()
        if not names:
            return []
        self._next_faulty_servers = now + FAULTY_SERVERS_PERIOD_S
        return [
            interface.Send(
                home_coordinator, messages.StallNews(self._identity.node, names)
            )
        ]

    def _send_permit_messages(
        self, home_coordinator: str, now: float
    ) -> list[GatewayEffect]:
        return [
            interface.Send(*sent)
            for sent in self._permits.collect_messages(home_coordinator, now)
        ]

    # Coordinators.

    def _send_hellos(
        self, home_coordinator: str, now: float
    ) -> list[GatewayEffect]:
        targets = self._coordinators.list_hello_targets(self._identity.seeds)
        self._coordinators.set_home(home_coordinator)
        is_home_coordinator_fresh = self._coordinators.is_fresh(
            home_coordinator
        )
        effects: list[GatewayEffect] = []
        stalled = self._list_stalled(now)
        stalled_zones = self._find_zones(stalled)
        # A gateway that starts with a home coordinator that may be behind sends
        # hellos to all coordinators.
        may_be_behind = self.routes is None and not is_home_coordinator_fresh
        is_other_due = (
            not home_coordinator
            or may_be_behind
            or now >= self._next_other_hello
        )
        if is_other_due:
            self._next_other_hello = now + OTHER_COORDINATOR_HELLO_PERIOD_S
        elif not is_home_coordinator_fresh or stalled_zones - {self._zone}:
            self._next_other_hello = min(
                self._next_other_hello,
                now + OTHER_COORDINATOR_HELLO_URGENT_PERIOD_S,
            )
        for node in targets:
            is_home = node == home_coordinator
            if not is_home and not is_other_due:
                continue
            hello = self._make_hello(node, now)
            effects.append(interface.Send(node, hello))
        return effects

    def _make_hello(self, node: str, now: float) -> messages.GatewayHello:
        """Returns the hello to send to a coordinator."""
        is_home = node == self._coordinators.home
        return messages.GatewayHello(
            node=self._identity.node,
            boot=self._identity.boot,
            version=self._get_version(),
            check=self._registry.digest,
            is_home=is_home,
            loads=self._list_loads() if is_home else (),
            stalled=self._list_stalled(now),
            flowing=tuple(
                messages.HeadFlow(name, int(age_s * 1000))
                for name, age_s in self._health.list_progressing(
                    PROGRESS_WINDOW_S, now
                )
            ),
            blocked=self._guard.compute_digest(now),
            sent_ms=int(now * 1000),
            unit_share=self._borrower.unit_share,
            is_short=self._borrower.is_short,
            held_share=self._borrower.find_held_share(node, now),
        )

    def _find_zones(self, heads: tuple[str, ...]) -> set[str]:
        known = self._registry.instances
        return {known[head].zone for head in heads if head in known}

    def _list_loads(self) -> tuple[messages.HeadLoad, ...]:
        return tuple(
            messages.HeadLoad(name, stats.own_requests)
            for name, stats in self._health.stats.items()
            if stats.own_requests
        )

    def _receive(
        self, sender: str, message: interface.Message, now: float
    ) -> list[GatewayEffect]:
        self._coordinators.record_message(sender, now)
        match message:
            case messages.InstanceNews(_, received):
                registry_module.merge_updates(self._registry, received, now)
            case messages.ZoneLoads(_, loads, is_fresh, _, home_gateways):
                self._apply_loads(loads)
                if sender == self._coordinators.home:
                    self._overload.record_loads(
                        sum(load.running for load in loads), home_gateways
                    )
                self._coordinators.record_freshness(
                    sender, now, is_fresh=is_fresh
                )
                if sender == self._coordinators.home:
                    return self._set_gateway_count(message, now)
            case messages.RetryLoan(_, hello_ms, lent_share):
                if sender == self._coordinators.home:
                    self._borrower.record_loan(sender, lent_share, hello_ms)
            case crash_messages.BlockNews():
                self._guard.apply_blocks(message, now)
            case limit_messages.LimitNews(_, limits):
                self._permits.merge_limits(limits, now)
            case limit_messages.PermitReply():
                if self._permits.handle_reply(message, now):
                    return [*self._forwarder.dispatch_waiting(now)]
            case relay_messages.RelayRequest():
                return self._offer_relay(sender, message, now)
            case relay_messages.RelayOffer(origin):
                if origin == self._identity.node:
                    self._relays.record_offer(message, now)
                    return [*self._forwarder.dispatch_waiting(now)]
            case notice_messages.PauseNews(_, pauses):
                self._notices.merge_pauses(pauses, now)
            case messages.StallNews(_, heads):
                self._forwarder.mover.record_reported_stalls(heads)
            case messages.KnownCoordinators(_, names, addresses, is_fresh):
                self._coordinators.record_freshness(
                    sender, now, is_fresh=is_fresh
                )
                self._coordinators.update_addresses(
                    dict(zip(names, addresses, strict=False)), now
                )
            case messages.DocumentUpdate():
                self._inbox.add(message, self._get_version())
                if self.routes is None:
                    return self._apply_document(now)
        return []

    def _set_gateway_count(
        self, update: messages.ZoneLoads, now: float
    ) -> list[GatewayEffect]:
        """Applies the number of gateways that the home coordinator reports."""
        before = self._limits.gateway_count
        self._limits.set_gateway_count(
            update.gateways, now, is_settled=update.is_settled
        )
        count = self._limits.gateway_count
        self._permits.set_gateway_count(count)
        self._guard.traits.gateway_count = count
        if count == before:
            return []
        return [
            notes.note(
                "gateway_count_changed",
                before=before,
                count=count,
                reported=update.gateways,
                coordinator=self._coordinators.home,
                is_settled=update.is_settled,
                uptime_s=round(now - self._started_at, 3),
            )
        ]

    def _get_version(self) -> int:
        """Returns the version in force at this gateway; 0 if there is none."""
        return self.document.version if self.document else 0

    def _apply_document(self, now: float) -> list[GatewayEffect]:
        """Puts the newest configuration that has arrived in force."""
        taken = self._inbox.take(self._get_version(), now)
        if taken.document is not None:
            self.routes = routes_module.RouteTable(taken.document)
            self._forwarder.document = taken.document
            self._directory.set_document(taken.document)
        return [*taken.written]

    def _apply_loads(self, loads: tuple[messages.HeadLoad, ...]) -> None:
        reported = {load.name: load.running for load in loads}
        for name, stats in self._health.stats.items():
            stats.other_gateway_requests = max(
                0, reported.get(name, 0) - stats.own_requests
            )
