"""Looks after the replica groups of the domains that a node is in charge of."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, TypeAlias

from hickorylead import notes
from hickorylead.fleet import (
    descriptions,
    failure_detector as failure_detector_module,
    group_builder as group_builder_module,
    identity as identity_module,
    instances,
    orders,
    planner as planner_module,
)
from hickorylead.roles import nodes

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from hickorylead.configuration import document as document_module
    from hickorylead.fleet import (
        peer_directory as peer_directory_module,
        registry as registry_module,
    )

PLAN_PERIOD_S = 0.25
# News that come within this time of a round of planning wait for the next
# tick, in seconds. A round looks at all servers; when 171 of them form groups
# at once, one round for each of 150 news a second takes half a core.
PLAN_PAUSE_S = 0.02
# Heartbeat periods after which a node that has started has heard all servers.
SETTLE_PERIODS = 1.4
# Heartbeat periods without a heartbeat after which a server gets no orders, as
# orders based on old state may close a serving group. If it is alive, another
# node receives its heartbeats and plans for it. After the loss of a node, the
# heartbeats of its servers reach another one within 1.1 periods and a second.
STALE_PERIODS = 2.5
# With what another node knows it has them after this, in seconds.
TOLD_SETTLE_S = 0.2

Effect: TypeAlias = orders.SendOrder | orders.RequestReport | notes.Note


class Supervisor:
    """Suspects and plans of one coordinator."""

    def __init__(
        self,
        identity: identity_module.Identity,
        *,
        policy: group_builder_module.StandbyPolicy,
        start_id: str,
        registry: registry_module.Registry,
        peers: peer_directory_module.PeerDirectory,
        has_leader: Callable[[float], bool],
        now: float,
    ) -> None:
        """Makes a supervisor that has just started.

        Args:
            identity: The node.
            policy: The trade between downtime and stranded accelerators.
            start_id: Tells the node's lives apart.
            registry: Backend servers that the node knows.
            peers: Other control nodes.
            has_leader: Says whether the node hears a leader.
            now: Present time.
        """
        self._identity = identity
        self._zone = nodes.get_zone(identity.node)
        self._registry = registry
        self._neighbours = peers
        self._has_leader = has_leader
        self._suspects = failure_detector_module.FailureDetector(
            identity.heartbeat_s
        )
        self._planner = planner_module.Planner(
            number=identity_module.number_node(identity.node),
            policy=policy,
            start_id=start_id,
        )
        self._is_started = not identity.may_bootstrap
        # A node that knows but some servers would form groups that there are.
        settle_s = 0.0 if identity.may_bootstrap else SETTLE_PERIODS
        self._plans_from = now + settle_s * identity.heartbeat_s
        self._next_plan = now
        self._planned_at = -1e9
        # Until when lives of servers want no call from this node.
        self._pauses: dict[tuple[str, int], float] = {}
        self.services: tuple[document_module.Service, ...] | None = None

    def has_full_view(self, now: float) -> bool:
        """Says whether it has had the time to hear all servers."""
        return now >= self._plans_from

    def record_full_sync(self, now: float) -> None:
        """Takes that another node told all servers that it knows."""
        self._plans_from = min(self._plans_from, now + TOLD_SETTLE_S)

    @property
    def has_traffic(self) -> bool:
        """Says whether callers are served, as far as is known."""
        return self._is_started

    def record_traffic(self) -> None:
        """Takes that callers are served: loads count from now on."""
        self._is_started = True

    def pause_calls(self, name: str, born: int, until: float) -> None:
        """Takes that a life of a server wants no call for some time."""
        before = self._pauses.get((name, born), until)
        self._pauses[name, born] = max(before, until)

    def _is_paused(self, name: str, now: float) -> bool:
        if not self._pauses:
            return False
        self._pauses = {k: t for k, t in self._pauses.items() if t > now}
        return (name, self._registry.find_born(name)) in self._pauses

    def _ask(
        self, members: Iterable[instances.Instance], now: float
    ) -> list[Effect]:
        """Asks servers for their state; those that want no call are left."""
        asked = self._suspects.add_suspects(
            [m for m in members if not self._is_paused(m.name, now)], now
        )
        return [orders.RequestReport(m.name, m.address) for m in asked]

    # Which servers are dead.

    def clear_suspicion(self, name: str) -> None:
        """Takes a sign of life of a server."""
        self._suspects.clear_suspicion(name)

    def record_output(self, head: str, at: float) -> None:
        """Takes that a gateway got something from a replica at a time."""
        self._suspects.record_output(head, at)

    def suspect_group(self, head: str, teller: str, now: float) -> list[Effect]:
        """Asks the members of a group that a gateway saw stop."""
        instance = self._registry.instances.get(head)
        if instance is None or not self._is_mine(instance, now):
            return []
        members = [
            other
            for other in self._registry.list_present()
            if other.name == head
            or (
                other.has_group
                and other.member.group == instance.member.group
                and other.member.epoch == instance.member.epoch
            )
        ]
        asked = self._ask(members, now)
        if not asked:
            return []
        return [
            *asked,
            notes.note(
                "group_suspected",
                head=head,
                group=instance.member.group,
                gateway=teller,
                asked=[
                    question.name
                    for question in asked
                    if isinstance(question, orders.RequestReport)
                ],
            ),
        ]

    def suspect_servers(self, names: Iterable[str], now: float) -> list[Effect]:
        """Asks servers that closed a connection in the middle of an answer.

        If they have ended they would be missed only with their heartbeats, 0.9
        to 2.0 s later; meanwhile a request that ended one ended others.
        """
        found = [self._registry.instances.get(name) for name in names]
        mine = [i for i in found if i is not None and self._is_mine(i, now)]
        return self._ask(mine, now)

    def probe_silent(self, now: float) -> list[Effect]:
        """Asks servers whose heartbeats have been missed."""
        silent = self._registry.list_silent(self._suspects.silence_s, now)
        mine = [i for i in silent if self._is_mine(i, now)]
        return self._ask(mine, now)

    def list_newly_lost(self, now: float) -> list[instances.Instance]:
        """Returns the servers that are taken for dead from now on."""
        lost = self._suspects.list_lost(self._registry, now)
        return [
            i
            for i in self._registry.list_present()
            if i.name in lost and not i.silent
        ]

    # Plans.

    def is_due(self, now: float) -> bool:
        """Says whether a round of planning is due."""
        return now >= self._next_plan

    def plan_soon(self, now: float) -> list[Effect]:
        """Plans at once, or with the next tick if it was just done."""
        if now - self._planned_at < PLAN_PAUSE_S:
            self._next_plan = now
            return []
        return self.plan(now)

    def plan(self, now: float) -> list[Effect]:
        """Returns the orders that the present state asks for."""
        self._next_plan = now + PLAN_PERIOD_S
        self._planned_at = now
        if self.services is None or not self.has_full_view(now):
            return []
        present = self._registry.list_present()
        by_domain = collections.defaultdict(list)
        for instance in present:
            if instance.domain:
                by_domain[instance.domain].append(instance)
        domains = frozenset(
            domain
            for domain, members in by_domain.items()
            if self._is_mine(members[0], now)
        )
        if not domains:
            return []
        given = self._planner.plan(
            present=present,
            services=self.services,
            domains=domains,
            lost=self._suspects.list_lost(self._registry, now),
            stale=self._registry.list_stale(
                STALE_PERIODS * self._identity.heartbeat_s, now
            ),
            planners=self._count_planners(),
            is_started=self._is_started,
            now=now,
        )
        # An order that is not sent counts as unanswered and is given again.
        return [
            effect
            for item in given
            if not self._is_paused(item.name, now)
            for effect in (item, *descriptions.describe_order(item))
        ]

    def handle_response(self, event: orders.OrderAnswered) -> list[Effect]:
        """Takes the answer to an order."""
        self._planner.handle_response(event)
        return [
            notes.note(
                "order_answered",
                level="debug" if event.status < 300 else "info",
                server=event.name,
                order=type(event.order).__name__.lower(),
                status=event.status,
            )
        ]

    def handle_report(
        self, event: orders.ReportArrived, now: float
    ) -> list[Effect]:
        """Takes the answer, or none, to a question for a server's state."""
        self._planner.handle_report(event)
        has_answered = event.accepted is not None or event.is_turned_away
        self._suspects.handle_report(event.name, answered=has_answered, now=now)
        return self.plan_soon(now)

    def _count_planners(self) -> int:
        """Returns how many control nodes may load, the silent ones counted.

        One that is cut off goes on repairing its zone; it is forgotten only a
        minute later.
        """
        known = 1 + len(self._neighbours.known)
        return max(known, len(self._identity.zones))

    def _is_mine(self, instance: instances.Instance, now: float) -> bool:
        charge = self._neighbours.find_owner(
            instance.zone, instance.domain, now
        )
        if charge != self._identity.node:
            return False
        # Without a leader this node is cut off from the other coordinators.
        # They look after their zones; it would only work against them.
        return instance.zone == self._zone or self._has_leader(now)
