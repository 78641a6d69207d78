"""The reducer of a gateway: it forwards callers' requests to replicas.

It follows the configuration and the backend servers through the coordinators,
which it finds from a few seeds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import attrs
from returns import result

from hickorylead import notes
from hickorylead.fleet import messages, registry as registry_module
from hickorylead.forwarding import (
    choice as choice_module,
    events,
    fleetview,
    forwarder as forwarder_module,
    health,
    routes as routes_module,
)
from hickorylead.roles import nodes, seam

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from hickorylead.configuration import document as document_module

TICK_S = 0.02
IDLE_TICK_S = 0.1
HELLO_PERIOD_S = 0.25
# Coordinators other than the home are greeted every so many times: most are in
# other zones, where bytes are dear, and they need it to know who is there.
FAR_EVERY = 4
# A coordinator that was not heard for this long is no home, in seconds.
HOME_SILENCE_S = 2.5
# A configuration from a coordinator that may be behind is taken at a start
# only after this long, in seconds: one that is up to date answers before.
STALE_WAIT_S = 1.2
# A replica gives something at least this often if it works, in seconds.
FLOW_S = 0.4
FORGET_INSTANCE_S = 60.0
FORGET_PERIOD_S = 5.0

GatewayEvent: TypeAlias = (
    seam.Tick | seam.MessageArrived | seam.StopAsked | events.Event
)
GatewayEffect: TypeAlias = seam.Send | seam.Stopped | events.Effect


@attrs.frozen
class Identity:
    """Who a gateway is.

    Attributes:
        node: Its name.
        boot: Tells its lives apart.
        seeds: Addresses of a few coordinators, for their peers.
    """

    node: str
    boot: int
    seeds: tuple[str, ...]


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
        self._view = fleetview.FleetView(self._registry)
        self._book = health.HealthBook()
        self._forwarder = forwarder_module.Forwarder(
            chooser=choice_module.Chooser(
                zone=self._zone, view=self._view, book=self._book, rng=rng
            ),
            book=self._book,
        )
        self.routes: routes_module.RouteTable | None = None
        self._stale: messages.DocumentUpdate | None = None
        self._started_at = now
        self._coordinators: dict[str, str] = {}
        self._heard_at: dict[str, float] = {}
        self._next_hello = now
        self._next_forget = now + FORGET_PERIOD_S
        self._told_stalled: set[str] = set()
        self._hellos = 0
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

    def count_replicas(self) -> dict[str, int]:
        """Returns how many replicas are offered, of how many instances."""
        return {
            "replicas": self._view.count(),
            "instances": len(self._registry.list_present()),
        }

    def count_open(self) -> int:
        """Returns how many requests have no final answer yet."""
        return self._forwarder.count_open()

    def reduce(self, event: GatewayEvent, now: float) -> list[GatewayEffect]:
        """Handles one event and returns what is to be done."""
        match event:
            case seam.Tick():
                return self._tick(now)
            case seam.MessageArrived(sender, message):
                return self._receive(sender, message, now)
            case seam.StopAsked():
                self._stopping = True
                return [notes.note("stopping", open=self.count_open())]
            case _:
                return [*self._forwarder.handle(event, now)]

    def _tick(self, now: float) -> list[GatewayEffect]:
        effects: list[GatewayEffect] = [*self._forwarder.tick(now)]
        stalled = self._book.list_stalled(now)
        if now >= self._next_hello or set(stalled) - self._told_stalled:
            news = set(stalled) - self._told_stalled
            self._told_stalled = set(stalled)
            home = self._find_home(now)
            if news and home:
                effects.append(
                    seam.Send(
                        home,
                        messages.StallNews(
                            self._identity.node, tuple(sorted(news))
                        ),
                    )
                )
            self._next_hello = now + HELLO_PERIOD_S
            effects += self._greet(now)
        if self._stale is not None and now - self._started_at > STALE_WAIT_S:
            stale, self._stale = self._stale, None
            if self.routes is None:
                effects += self._take_document(stale)
        if now >= self._next_forget:
            self._next_forget = now + FORGET_PERIOD_S
            self._registry.forget(now, FORGET_INSTANCE_S)
            self._book.forget(set(self._registry.instances))
        return effects

    # Coordinators.

    def _greet(self, now: float) -> list[GatewayEffect]:
        known = set(self._coordinators.values())
        targets = [
            *self._coordinators,
            *(f"@{s}" for s in self._identity.seeds if s not in known),
        ]
        home = self._find_home(now)
        document = self.document
        effects: list[GatewayEffect] = []
        self._hellos += 1
        is_full_round = self._hellos % FAR_EVERY == 0 or bool(
            self._told_stalled
        )
        for node in targets:
            is_home = node == home
            if home and not is_home and not is_full_round:
                continue
            hello = messages.GatewayHello(
                node=self._identity.node,
                boot=self._identity.boot,
                version=document.version if document else 0,
                check=self._registry.check,
                is_home=is_home,
                loads=self._list_loads() if is_home else (),
                stalled=self._book.list_stalled(now),
                flowing=tuple(
                    messages.HeadFlow(name, int(age_s * 1000))
                    for name, age_s in self._book.list_flowing(FLOW_S, now)
                ),
            )
            effects.append(seam.Send(node, hello))
        return effects

    def _find_home(self, now: float) -> str:
        """Returns the coordinator that news of others are taken from."""
        alive = [
            node
            for node in self._coordinators
            if now - self._heard_at.get(node, -1e9) < HOME_SILENCE_S
        ]
        own = [n for n in alive if nodes.get_zone(n) == self._zone]
        return min(own or alive, default="")

    def _list_loads(self) -> tuple[messages.HeadLoad, ...]:
        return tuple(
            messages.HeadLoad(name, seen.running)
            for name, seen in self._book.seen.items()
            if seen.running
        )

    def _receive(
        self, sender: str, message: seam.Message, now: float
    ) -> list[GatewayEffect]:
        self._heard_at[sender] = now
        if sender not in self._coordinators:
            self._coordinators[sender] = ""
        match message:
            case messages.InstanceNews(_, news):
                registry_module.merge_all(self._registry, news, now)
                self._refresh()
            case messages.ZoneLoads(_, loads):
                self._take_loads(loads)
            case messages.StallNews(_, heads):
                return [*self._forwarder.take_stalls(heads, now)]
            case messages.KnownCoordinators(_, names, addresses):
                self._coordinators = dict(zip(names, addresses, strict=False))
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
                self._refresh()
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
        for name, seen in self._book.seen.items():
            seen.others = max(0, told.get(name, 0) - seen.running)

    def _refresh(self) -> None:
        if self.document is not None:
            self._view.refresh(self.document)
