"""The reducer of a gateway: it forwards callers' requests to replicas.

It follows the configuration and the backend servers through the coordinators,
which it finds from a few seeds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import attrs
from returns import result

from hickorylead import notes
from hickorylead.admission import budget as budget_module
from hickorylead.crashes import (
    crash_guard as crash_guard_module,
    messages as crash_messages,
)
from hickorylead.fleet import messages, registry as registry_module
from hickorylead.forwarding import (
    choice as choice_module,
    events,
    forwarder as forwarder_module,
    health,
    replica_directory,
    routes as routes_module,
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
from hickorylead.roles import interface, nodes

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from hickorylead.configuration import document as document_module

# Shortest and longest time between two ticks with requests, and without any, in
# seconds. A request that begins to wait for a replica is looked at with the
# next tick; it waits 0.12 s at most where the objective is 0.3 s.
TICK_S = 0.02
LONGEST_TICK_S = 0.05
IDLE_TICK_S = 0.1
HELLO_PERIOD_S = 0.25
# Without requests a greeting has nothing new to tell most times.
IDLE_HELLO_PERIOD_S = 0.5
# Coordinators other than the home are greeted this often, in seconds: with six
# of them and 71 gateways, a greeting and its answer each second were a third
# of all messages. Whoever lost its home greets all of them at once.
FAR_PERIOD_S = 8.0
# And this often while the home does not hear a leader, or a replica of their
# zone has stopped, in seconds: a change is due within 2 s.
FAR_URGENT_PERIOD_S = 0.5
# A coordinator that was not heard for this long is no home, in seconds: it
# tells the loads of its zone each 0.25 s, and may wait for a disk meanwhile.
HOME_SILENCE_S = 1.2
# A home that has not heard a leader for this long is left for one that has, in
# seconds. It is cut off from the others and knows neither their news nor a new
# configuration; after a lost leader the next one is elected in about a second.
UNFRESH_S = 1.2
# A configuration from a coordinator that may be behind is taken at a start
# only after this long, in seconds: one that is up to date answers before.
STALE_WAIT_S = 1.2
# A replica gives something at least this often if it works, in seconds.
PROGRESS_WINDOW_S = 0.4
FORGET_INSTANCE_S = 60.0
CLEANUP_PERIOD_S = 5.0
# Shortest time between two reports of servers at fault, in seconds: a group
# that lost a member refuses every request.
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
    """Who a gateway is.

    Attributes:
        node: Its name.
        boot: Tells its lives apart.
        seeds: Addresses of a few coordinators, for their peers.
        retry_limits: Retries that all gateways may make together.
    """

    node: str
    boot: int
    seeds: tuple[str, ...]
    retry_limits: budget_module.RetryLimits = budget_module.DEFAULT_RETRY_LIMITS


class Gateway:
    """State of one gateway."""

    def __init__(
        self,
        identity: Identity,
        *,
        read_document: Callable[
            [bytes], result.Result[document_module.Document, str]
        ],
        rng: random.Random,
        now: float,
    ) -> None:
        """Makes a gateway that has just started.

        Args:
            identity: Who it is.
            read_document: Reads a whole configuration as operators send it.
            rng: Source of the spread of choices.
            now: Present time.
        """
        self._identity = identity
        self._zone = nodes.get_zone(identity.node)
        self._read_document = read_document
        self._registry = registry_module.Registry()
        self._view = replica_directory.ReplicaDirectory(self._registry)
        self._book = health.HealthTracker()
        self._guard = crash_guard_module.CrashGuard(identity.node)
        self._notices = notice_store_module.NoticeStore()
        self._teller = notice_reporter_module.NoticeReporter(
            identity.node, notices=self._notices, registry=self._registry
        )
        self._permits = permit_pool_module.PermitPool(
            identity.node, first=identity.boot, rng=rng
        )
        self._forwarder = forwarder_module.Forwarder(
            chooser=choice_module.Chooser(
                zone=self._zone,
                directory=self._view,
                health=self._book,
                notices=self._notices,
                permits=self._permits,
                rng=rng,
            ),
            health=self._book,
            guard=self._guard,
            notices=self._notices,
            permits=self._permits,
            limits=identity.retry_limits,
            started_at=now,
        )
        self.routes: routes_module.RouteTable | None = None
        self._stale: messages.DocumentUpdate | None = None
        self._started_at = now
        self._coordinators: dict[str, str] = {}
        self._heard_at: dict[str, float] = {}
        self._next_hello = now
        self._next_forget = now + CLEANUP_PERIOD_S
        self._next_faulty_servers = now
        self._told_stalled: set[str] = set()
        self._next_far = now
        self._home = ""
        # Which coordinators hear a leader, as they told last; since when the
        # home does not.
        self._fresh: dict[str, bool] = {}
        self._unfresh_since: float | None = None
        self._stopping = False

    @property
    def document(self) -> document_module.Document | None:
        """The configuration in force here."""
        return self.routes.document if self.routes else None

    @property
    def seeds(self) -> tuple[str, ...]:
        """Addresses that coordinators are looked for at."""
        return self._identity.seeds

    def is_ready(self) -> bool:
        """Says whether callers may be sent here.

        Without a configuration, or without any backend server, a gateway
        would refuse what others serve.
        """
        return (
            self.routes is not None
            and bool(self._registry.instances)
            and not self._stopping
        )

    @property
    def is_stopping(self) -> bool:
        """Says whether the process was asked to stop."""
        return self._stopping

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Takes new seeds from changed settings."""
        self._identity = attrs.evolve(self._identity, seeds=seeds)

    def get_tick_delay(self, now: float) -> float:
        """Returns the time to the next tick, in seconds.

        Most ticks found nothing to do: a replica gives something to each of
        its streams several times within the silence that shows a stall.
        """
        if not self._forwarder.count_open():
            return IDLE_TICK_S
        due_s = self._forwarder.find_next_wakeup(now) - now
        return min(LONGEST_TICK_S, max(TICK_S, due_s))

    def count_replicas(self) -> dict[str, int]:
        """Returns how many replicas are offered, of how many instances."""
        return {
            "replicas": self._view.count(),
            "instances": len(self._registry.list_present()),
        }

    def count_blocked_requests(self) -> int:
        """Returns how many contents no replica gets."""
        return self._guard.count_blocked()

    def count_paused_servers(self, now: float) -> int:
        """Returns how many servers want no request from here for now."""
        return self._notices.count_paused(now)

    def count_rate_limited_replicas(self) -> int:
        """Returns how many replicas name a rate limit."""
        return self._permits.table.count_named()

    def count_open(self) -> int:
        """Returns how many requests have no final answer yet."""
        return self._forwarder.count_open()

    def reduce(self, event: GatewayEvent, now: float) -> list[GatewayEffect]:
        """Handles one event and returns what is to be done."""
        match event:
            case interface.Tick():
                return self._tick(now)
            case interface.MessageArrived(sender, message):
                return self._receive(sender, message, now)
            case interface.StopRequested():
                self._stopping = True
                return [notes.note("stopping", open=self.count_open())]
            case _:
                effects = [*self._forwarder.handle(event, now)]
                if self._permits.has_urgent_demand:
                    # The request waits: a tick later is too late.
                    home = self._find_home(now)
                    return [*effects, *self._tell_limits(home, now)]
                return [*effects]

    def _tick(self, now: float) -> list[GatewayEffect]:
        effects: list[GatewayEffect] = [*self._forwarder.tick(now)]
        stalled = set(self._book.list_stalled(now))
        news = stalled - self._told_stalled
        home = self._find_home(now)
        effects += [
            interface.Send(*sent)
            for sent in self._guard.collect_messages(home, now)
        ]
        effects += self._tell_limits(home, now)
        effects += [
            interface.Send(*sent)
            for sent in self._teller.collect_messages(home, now)
        ]
        if home and now >= self._next_faulty_servers:
            effects += self._tell_faulty_servers(home, now)
        # A home that is lost or found is greeted about at once: until then
        # nobody tells this gateway anything.
        if now >= self._next_hello or news or home != self._home:
            self._told_stalled = stalled
            if news and home:
                told = messages.StallNews(
                    self._identity.node, tuple(sorted(news))
                )
                effects.append(interface.Send(home, told))
            is_idle = self.routes and not self._forwarder.count_open()
            self._next_hello = now + (
                IDLE_HELLO_PERIOD_S if is_idle else HELLO_PERIOD_S
            )
            effects += self._greet(home, now)
        if self._stale is not None and now - self._started_at > STALE_WAIT_S:
            stale, self._stale = self._stale, None
            if self.routes is None:
                effects += self._take_document(stale)
        if now >= self._next_forget:
            self._next_forget = now + CLEANUP_PERIOD_S
            self._registry.prune(now, FORGET_INSTANCE_S)
            self._book.retain(set(self._registry.instances))
            self._permits.prune(now)
            self._notices.prune(now)
        return effects

    def _tell_faulty_servers(
        self, home: str, now: float
    ) -> list[GatewayEffect]:
        """Has the home query the servers that refusals named as at fault.

        A head can detect the loss of a member before the coordinator misses
        heartbeats.
        """
        names = self._forwarder.pop_faulty_servers()
        if not names:
            return []
        self._next_faulty_servers = now + FAULTY_SERVERS_PERIOD_S
        return [
            interface.Send(home, messages.StallNews(self._identity.node, names))
        ]

    def _tell_limits(self, home: str, now: float) -> list[GatewayEffect]:
        return [
            interface.Send(*sent)
            for sent in self._permits.collect_messages(home, now)
        ]

    # Coordinators.

    def _greet(self, home: str, now: float) -> list[GatewayEffect]:
        known = set(self._coordinators.values())
        # One that was only told of is greeted by its address: connections know
        # the way to a name from that node's own messages alone.
        targets = [
            *(
                node if node in self._heard_at else f"@{address}"
                for node, address in self._coordinators.items()
            ),
            *(f"@{s}" for s in self._identity.seeds if s not in known),
        ]
        if home != self._home:
            self._home, self._unfresh_since = home, None
        is_home_fresh = self._fresh.get(home, False)
        document = self.document
        effects: list[GatewayEffect] = []
        stalled = self._book.list_stalled(now)
        stalled_zones = self._find_zones(stalled)
        # One that starts beside a home that may be behind hears all of them.
        is_unsure = self.routes is None and not is_home_fresh
        is_far_due = not home or is_unsure or now >= self._next_far
        if is_far_due:
            self._next_far = now + FAR_PERIOD_S
        elif not is_home_fresh or stalled_zones - {self._zone}:
            self._next_far = min(self._next_far, now + FAR_URGENT_PERIOD_S)
        for node in targets:
            is_home = node == home
            if not is_home and not is_far_due:
                continue
            hello = messages.GatewayHello(
                node=self._identity.node,
                boot=self._identity.boot,
                version=document.version if document else 0,
                check=self._registry.digest,
                is_home=is_home,
                loads=self._list_loads() if is_home else (),
                stalled=stalled,
                flowing=tuple(
                    messages.HeadFlow(name, int(age_s * 1000))
                    for name, age_s in self._book.list_progressing(
                        PROGRESS_WINDOW_S, now
                    )
                ),
                blocked=self._guard.compute_digest(now),
            )
            effects.append(interface.Send(node, hello))
        return effects

    def _find_zones(self, heads: tuple[str, ...]) -> set[str]:
        known = self._registry.instances
        return {known[head].zone for head in heads if head in known}

    def _find_home(self, now: float) -> str:
        """Returns the coordinator that news of others are taken from."""
        alive = [
            node for node in self._coordinators if self._is_heard(node, now)
        ]
        fresh = [n for n in alive if self._fresh.get(n)]
        own = [n for n in alive if nodes.get_zone(n) == self._zone]
        pool = [n for n in own if n in fresh] or own or alive
        is_cut_off = (
            self._unfresh_since is not None
            and now - self._unfresh_since > UNFRESH_S
        )
        if is_cut_off and fresh and not set(pool) & set(fresh):
            pool = fresh
        if self._home in pool:
            # A change of home costs a list of all servers.
            return self._home
        return min(pool, default="")

    def _is_heard(self, node: str, now: float) -> bool:
        return now - self._heard_at.get(node, -1e9) < HOME_SILENCE_S

    def _note_fresh(self, node: str, is_fresh: bool, now: float) -> None:
        self._fresh[node] = is_fresh
        if node != self._home:
            return
        if is_fresh:
            self._unfresh_since = None
        elif self._unfresh_since is None:
            self._unfresh_since = now

    def _list_loads(self) -> tuple[messages.HeadLoad, ...]:
        return tuple(
            messages.HeadLoad(name, seen.own_requests)
            for name, seen in self._book.stats.items()
            if seen.own_requests
        )

    def _receive(
        self, sender: str, message: interface.Message, now: float
    ) -> list[GatewayEffect]:
        self._heard_at[sender] = now
        if sender not in self._coordinators:
            self._coordinators[sender] = ""
        match message:
            case messages.InstanceNews(_, news):
                registry_module.merge_all(self._registry, news, now)
            case messages.ZoneLoads(_, loads, is_fresh, gateways):
                self._take_loads(loads)
                self._note_fresh(sender, is_fresh, now)
                if sender == self._home:
                    self._forwarder.set_gateway_count(gateways, now)
            case crash_messages.BlockNews():
                self._guard.apply_blocks(message, now)
            case limit_messages.LimitNews(_, limits):
                self._permits.merge_limits(limits, now)
            case limit_messages.PermitReply():
                if self._permits.handle_reply(message, now):
                    return [*self._forwarder.dispatch_waiting(now)]
            case notice_messages.PauseNews(_, pauses):
                self._notices.merge_pauses(pauses, now)
            case messages.StallNews(_, heads):
                return [*self._forwarder.handle_reported_stalls(heads, now)]
            case messages.KnownCoordinators(_, names, addresses, is_fresh):
                self._note_fresh(sender, is_fresh, now)
                # One that has just started knows few others yet.
                heard = {
                    node: address
                    for node, address in self._coordinators.items()
                    if self._is_heard(node, now)
                }
                told = dict(zip(names, addresses, strict=False))
                self._coordinators = {**heard, **told}
            case messages.DocumentUpdate(_, version):
                if not version or not message.content:
                    return []
                if self.routes is None and not message.is_fresh:
                    # The sender may be behind; one that is not may answer.
                    if self._stale is None or self._stale.version < version:
                        self._stale = message
                    return []
                return self._take_document(message)
        return []

    def _take_document(
        self, update: messages.DocumentUpdate
    ) -> list[GatewayEffect]:
        before = self.document.version if self.document else 0
        if update.version <= before:
            # Late, or from a coordinator that is behind: going back would
            # bring a replaced route or a revoked key in force again.
            return []
        match self._read_document(update.content):
            case result.Success(found):
                self.routes = routes_module.RouteTable(found)
                self._forwarder.document = found
                self._view.set_document(found)
                return [
                    notes.note(
                        "configuration_applied",
                        version_before=before,
                        outside_version=found.version,
                        sender=update.sender,
                        is_fresh=update.is_fresh,
                    )
                ]
            case result.Failure(problem):
                return [
                    notes.note(
                        "configuration_unreadable",
                        level="error",
                        why=str(problem),
                        sender=update.sender,
                    )
                ]
        raise AssertionError("a result is a success or a failure")

    def _take_loads(self, loads: tuple[messages.HeadLoad, ...]) -> None:
        told = {load.name: load.running for load in loads}
        for name, seen in self._book.stats.items():
            seen.other_gateway_requests = max(
                0, told.get(name, 0) - seen.own_requests
            )
