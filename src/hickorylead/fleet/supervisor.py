"""Supervises the replica groups of the domains that a node owns."""

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
    from collections.abc import Callable, Iterable, Mapping

    from hickorylead.configuration import document as document_module
    from hickorylead.fleet import (
        peer_directory as peer_directory_module,
        registry as registry_module,
    )
    from hickorylead.turns import own_pauses

PLAN_PERIOD_S = 0.25
# Shortest time after a planning round in which an update may start another one,
# in seconds; an earlier update waits for the next tick. A round processes all
# servers; when 171 servers form groups at once, one round for each of 150
# updates a second takes half a core.
MIN_PLAN_INTERVAL_S = 0.02
# Number of heartbeat periods after which a node that has started has received a
# heartbeat from every server.
SETTLE_PERIODS = 1.4
# Number of heartbeat periods without a heartbeat after which a node sends a
# server no orders, as orders based on old state may close a serving group. If
# the server is alive, another node receives its heartbeats and plans for it.
# After the loss of a node, the heartbeats of its servers reach another node
# within 1.1 periods and a second.
STALE_PERIODS = 2.5
# Time after a full sync from another node at which a node treats its list of
# servers as complete, in seconds.
FULL_SYNC_SETTLE_S = 0.2

Effect: TypeAlias = orders.SendOrder | orders.RequestReport | notes.Note


class Supervisor:
    """Failure detection and planning of one coordinator."""

    def __init__(
        self,
        identity: identity_module.Identity,
        *,
        policy: group_builder_module.StandbyPolicy,
        start_id: str,
        registry: registry_module.Registry,
        peers: peer_directory_module.PeerDirectory,
        has_leader: Callable[[float], bool],
        pauses: own_pauses.OwnPauses,
        is_deferred: bool,
        now: float,
    ) -> None:
        """Makes a supervisor that has just started.

        Args:
            identity: The node.
            policy: Trade-off between downtime and stranded accelerators.
            start_id: Unique id of the node's start.
            registry: Backend servers known to the node.
            peers: Other coordinators.
            has_leader: Returns whether the node has contact to a leader.
            pauses: Times at which the node did not handle heartbeats.
            is_deferred: Whether rounds are only marked as due, and begun by
                the caller.
            now: Present time.
        """
        self._identity = identity
        self._zone = nodes.get_zone(identity.node)
        self._registry = registry
        self._peers = peers
        self._has_leader = has_leader
        self._pauses_of_node = pauses
        self._is_deferred = is_deferred
        self._failure_detector = failure_detector_module.FailureDetector(
            identity.heartbeat_s, pauses
        )
        self._planner = planner_module.Planner(
            number=identity_module.number_node(identity.node),
            policy=policy,
            start_id=start_id,
            pauses=pauses,
        )
        self._has_traffic = not identity.may_bootstrap
        # A node that has received the state of only some servers would form
        # groups that exist already, so planning starts later.
        settle_s = 0.0 if identity.may_bootstrap else SETTLE_PERIODS
        self._planning_starts_at = now + settle_s * identity.heartbeat_s
        self._next_plan = now
        self._planned_at = -1e9
        # Time until which this node must not call a server, by the server's
        # name and incarnation.
        self._pauses: dict[tuple[str, int], float] = {}
        self.services: tuple[document_module.Service, ...] | None = None

    def has_full_view(self, now: float) -> bool:
        """Returns whether the node had time to receive all heartbeats."""
        return now >= self._planning_starts_at

    def record_full_sync(self, now: float) -> None:
        """Records a full sync from another node."""
        self._planning_starts_at = min(
            self._planning_starts_at, now + FULL_SYNC_SETTLE_S
        )

    @property
    def has_traffic(self) -> bool:
        """Whether callers are served, as far as is known."""
        return self._has_traffic

    def record_traffic(self) -> None:
        """Records that callers are served: loads are limited from now on."""
        self._has_traffic = True

    def record_pause(self, name: str, born: int, until: float) -> None:
        """Pauses calls to one incarnation of a server."""
        previous = self._pauses.get((name, born), until)
        self._pauses[name, born] = max(previous, until)

    def _is_paused(self, name: str, now: float) -> bool:
        if not self._pauses:
            return False
        self._pauses = {k: t for k, t in self._pauses.items() if t > now}
        return (name, self._registry.find_start_time(name)) in self._pauses

    def _probe(
        self, members: Iterable[instances.Instance], now: float
    ) -> list[Effect]:
        """Probes servers for their state, except those that are paused."""
        suspects = self._failure_detector.add_suspects(
            [m for m in members if not self._is_paused(m.name, now)], now
        )
        return [orders.RequestReport(m.name, m.address) for m in suspects]

    # Failure detection.

    def clear_suspicion(self, name: str) -> None:
        """Clears the suspicion of a server that is alive."""
        self._failure_detector.clear_suspicion(name)

    def record_output(self, head: str, at: float) -> None:
        """Records when a gateway received output from a replica."""
        self._failure_detector.record_output(head, at)

    def suspect_group(
        self, head: str, reporter: str, now: float
    ) -> list[Effect]:
        """Probes the members of a group that a gateway reported as stalled."""
        instance = self._registry.instances.get(head)
        if instance is None or not self._is_owned(instance, now):
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
        probes = self._probe(members, now)
        if not probes:
            return []
        return [
            *probes,
            notes.note(
                "group_suspected",
                head=head,
                group=instance.member.group,
                gateway=reporter,
                asked=[
                    probe.name
                    for probe in probes
                    if isinstance(probe, orders.RequestReport)
                ],
            ),
        ]

    def suspect_servers(
        self, losses: Mapping[str, float], now: float
    ) -> list[Effect]:
        """Probes servers that closed a connection during a response.

        If they have ended, missing heartbeats would show it only 0.9 to 2.0 s
        later; meanwhile a request that ended one server could end others.

        Args:
            losses: When each server closed the connection.
            now: Present time.
        """
        for name, lost_at in losses.items():
            self._failure_detector.record_loss(name, lost_at)
        found = [self._registry.instances.get(name) for name in losses]
        owned = [i for i in found if i is not None and self._is_owned(i, now)]
        return self._probe(owned, now)

    def probe_silent(self, now: float) -> list[Effect]:
        """Probes servers whose heartbeats are missing."""
        silent = self._registry.list_silent(
            self._failure_detector.probe_after_s, self._pauses_of_node, now
        )
        owned = [i for i in silent if self._is_owned(i, now)]
        return self._probe(owned, now)

    def list_newly_lost(self, now: float) -> list[instances.Instance]:
        """Returns the servers that are treated as dead from now on."""
        lost = self._failure_detector.list_lost(self._registry, now)
        return [
            i
            for i in self._registry.list_present()
            if i.name in lost and not i.silent
        ]

    # Planning.

    def is_due(self, now: float) -> bool:
        """Returns whether a planning round is due."""
        return now >= max(
            self._next_plan, self._planned_at + MIN_PLAN_INTERVAL_S
        )

    def plan_soon(self, now: float) -> list[Effect]:
        """Plans at once, or later if a round has just ended."""
        if self._is_deferred or now - self._planned_at < MIN_PLAN_INTERVAL_S:
            self._next_plan = now
            return []
        return self.plan(now)

    def plan(self, now: float) -> list[Effect]:
        """Returns the orders that the present state requires."""
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
            if self._is_owned(members[0], now)
        )
        if not domains:
            return []
        issued = self._planner.plan(
            present=present,
            services=self.services,
            domains=domains,
            lost=self._failure_detector.list_lost(self._registry, now),
            stale=self._registry.list_stale(
                STALE_PERIODS * self._identity.heartbeat_s, now
            ),
            planners=self._count_planners(),
            has_traffic=self._has_traffic,
            now=now,
        )
        # An order to a paused server is not sent: it counts as unanswered and
        # is issued again.
        effects: list[Effect] = []
        for item in issued:
            if self._is_paused(item.name, now):
                self._planner.record_unsent(item.name)
            else:
                effects += [item, *descriptions.describe_order(item)]
        return effects

    def handle_response(self, event: orders.OrderAnswered) -> list[Effect]:
        """Handles the response to an order."""
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
        """Handles the outcome of a probe for a server's state."""
        self._planner.handle_report(event)
        has_responded = event.accepted is not None or event.is_turned_away
        self._failure_detector.handle_report(
            event.name, responded=has_responded, now=now
        )
        return self.plan_soon(now)

    def _count_planners(self) -> int:
        """Returns how many coordinators may start loads.

        Unreachable nodes are included: an isolated node continues to repair its
        zone. A peer is removed only after a minute without a hello.
        """
        known = 1 + len(self._peers.known)
        return max(known, len(self._identity.zones))

    def _is_owned(self, instance: instances.Instance, now: float) -> bool:
        owner = self._peers.find_owner(instance.zone, instance.domain, now)
        if owner != self._identity.node:
            return False
        # Without a leader this node is partitioned from the other coordinators.
        # They plan their own zones, and this node's orders would conflict with
        # theirs.
        return instance.zone == self._zone or self._has_leader(now)
