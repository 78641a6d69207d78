"""Planning, orders and publishing of the replica table of one zone."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, TypeAlias

from hickorylead.placement import (
    groups as groups_module,
    orders,
    planner as planner_module,
    takeover as takeover_module,
)
from hickorylead.roles import nodes, status
from hickorylead.routing import (
    messages,
    publisher as publisher_module,
    table as table_module,
)

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from hickorylead.configuration import model
    from hickorylead.lease import zone_lease
    from hickorylead.membership import (
        announcements,
        registry as registry_module,
    )

Effect: TypeAlias = orders.SendOrder | messages.Send

PLAN_PERIOD_S = 0.5
# Period between two plans while nothing has changed and no work is in progress.
SETTLED_PERIOD_S = 5.0
# Time without an update of another zone's table after which that zone's
# replicas are not offered, in seconds: the zone is partitioned from this one,
# and so probably are its replicas.
REMOTE_TABLE_TIMEOUT_S = 10.0
REMOTE_HOLDER_TIMEOUT_S = 3.0


class ZoneController:
    """Placement and replica table of one zone, while it holds the lease."""

    def __init__(
        self,
        *,
        node: str,
        controls: Sequence[str],
        registry: registry_module.MembershipRegistry,
        lease: zone_lease.ZoneLease,
        policy: planner_module.Policy,
        now: float,
    ) -> None:
        """Initializes the state of a process that does not hold the lease yet.

        Args:
            node: Node name of this control process.
            controls: All control processes of all zones.
            registry: Present servers of the zone.
            lease: The zone lease.
            policy: Trade-off between downtime and stranded accelerators.
            now: Present time.
        """
        self._zone = nodes.get_zone(node)
        self._node = node
        self._registry = registry
        self._lease = lease
        self._other_zone_controls = tuple(
            name for name in controls if nodes.get_zone(name) != self._zone
        )
        self._planner = planner_module.Planner(zone=self._zone, policy=policy)
        self._publisher = publisher_module.Publisher(zone=self._zone)
        self._remote_tables = table_module.ReplicaTable()
        self._takeover = takeover_module.Takeover(
            zone=self._zone, zones=map(nodes.get_zone, controls), now=now
        )
        # The control process that sent the last table of each other zone.
        self._remote_holders: dict[str, str] = {}
        self._withdrawn: set[tuple[str, int, str]] = set()
        self._adopted_fence = 0
        self._next_plan = 0.0
        self._planned_at = self._downtime_counted_at = 0.0
        self._planned_state: tuple[int, int, int, tuple[str, ...]] | None = None
        self._replicas: dict[str, messages.Replica] = {}
        self._downtime_s = 0.0
        self._services: tuple[status.ServiceStatus, ...] = ()

    def tick(
        self, configuration: model.Configuration | None, now: float
    ) -> list[Effect]:
        """Plans and publishes, if the lease allows it.

        Args:
            configuration: The configuration in force; None while unknown.
            now: Present time.
        """
        present = self._registry.members
        self._withdrawn = {w for w in self._withdrawn if w[0] in present}
        for zone, remote in list(self._remote_tables.zones.items()):
            if now - remote.last_update_at > REMOTE_TABLE_TIMEOUT_S:
                self._remote_tables.remove_zone(zone)
        if now < self._next_plan:
            return []
        self._next_plan = now + PLAN_PERIOD_S
        self._takeover.tick(now)
        if not self._lease.may_issue_orders(now):
            self._adopted_fence = 0
            return []
        if not self._adopted_fence:
            # The planner's state from when this process last held the lease is
            # stale.
            self._planner.adopt(self._registry.members)
            self._planned_at = self._downtime_counted_at = now
            self._planned_state = None
        self._adopted_fence = self._lease.fencing_number
        effects: list[Effect] = []
        state = (
            self._lease.fencing_number,
            self._registry.change_count,
            configuration.version if configuration else -1,
            self._takeover.lost_zones,
        )
        if (
            state != self._planned_state
            or not self._planner.is_settled()
            or now - self._planned_at >= SETTLED_PERIOD_S
        ):
            self._planned_state, self._planned_at = state, now
            effects += self._plan(configuration, now)
        self._count_downtime(now)
        effects += self._publisher.publish(
            replicas=self._replicas,
            members=self._registry.members,
            recipients=[
                *sorted(self._registry.entries),
                *self._list_remote_recipients(now),
            ],
            fence=self._lease.fencing_number,
            now=now,
        )
        return effects

    def _plan(
        self, configuration: model.Configuration | None, now: float
    ) -> list[Effect]:
        shares = (
            self._takeover.list_shares(configuration) if configuration else []
        )
        effects: list[Effect] = [
            *self._planner.plan(
                members=self._registry.members,
                configuration=configuration,
                shares=shares,
                fence=self._lease.fencing_number,
                now=now,
            )
        ]
        if configuration is not None:
            self._services = self._count_serving(configuration)
        self._replicas = publisher_module.build_table(
            self._registry.members, self._planner
        )
        return effects

    def receive(
        self, message: messages.Message, sender: str, now: float
    ) -> list[messages.Send]:
        """Handles another zone's table, or sends a full table on request."""
        match message:
            case messages.TableUpdate(zone):
                if zone == self._zone:
                    return []
                self._remote_holders[zone] = sender
                self._takeover.record_heartbeat(zone, now)
                effects: list[messages.Send] = []
                if self._remote_tables.apply_update(message, now):
                    request = messages.TableRequest(self._node, zone)
                    effects.append(messages.Send(sender, request))
                if self._lease.is_held(now):
                    effects += [
                        messages.Send(entry, message)
                        for entry in sorted(self._registry.entries)
                    ]
                return effects
            case messages.TableRequest(node, zone):
                return self._send_table(node, zone, now)
            case messages.Withdrawal(zone):
                # The entries of the sender's zone have received the withdrawal
                # already.
                return [
                    messages.Send(entry, message)
                    for entry in sorted(self._registry.entries)
                    if zone != self._zone
                ]

    def withdraw(self, state: announcements.ServerState) -> list[messages.Send]:
        """Notifies entries and other zones at once of a group's leaving VM.

        The notification does not wait for the lease holder, which may be lost
        at this moment: to stop sending requests to a group needs no agreement.
        """
        key = (state.vm, state.boot, state.group)
        if not state.group or key in self._withdrawn:
            return []
        self._withdrawn.add(key)
        message = messages.Withdrawal(self._zone, state.group, state.generation)
        recipients = [
            *sorted(self._registry.entries),
            *self._other_zone_controls,
        ]
        return [messages.Send(node, message) for node in recipients]

    def may_issue_orders(self, now: float) -> bool:
        """Returns whether an order may be issued now."""
        return self._lease.may_issue_orders(now)

    @property
    def groups(self) -> Mapping[str, groups_module.Group]:
        """Replica groups, as of when this process last planned."""
        return self._planner.groups

    def describe_groups(self) -> tuple[status.GroupStatus, ...]:
        """Returns all groups, for `status`."""
        return tuple(
            status.GroupStatus(
                group.name,
                group.service,
                group.domain,
                self._describe_state(group),
                tuple(group.vms),
            )
            for _, group in sorted(self._planner.groups.items())
        )

    @property
    def services(self) -> tuple[status.ServiceStatus, ...]:
        """Wanted and serving replicas of each service, as of the last plan."""
        return self._services

    @property
    def downtime_s(self) -> float:
        """Replica-seconds of downtime while this process held the lease."""
        return self._downtime_s

    def count_stranded(self) -> int:
        """Returns the number of healthy VMs in no serving group."""
        return self._planner.count_stranded()

    def find_largest_domain(self) -> int:
        """Returns the number of VMs in the zone's largest fabric domain."""
        sizes = collections.Counter(
            member.state.domain
            for member in self._registry.members.values()
            if member.state.kind == "engine"
        )
        return max(sizes.values(), default=0)

    def _send_table(
        self, node: str, zone: str, now: float
    ) -> list[messages.Send]:
        if not self._lease.is_held(now):
            return []
        if zone == self._zone:
            if not self._adopted_fence:
                return []
            full = self._publisher.make_full_update(self._registry.members)
            return [messages.Send(node, full)]
        remote = self._remote_tables.zones.get(zone)
        if remote is None or not remote.complete:
            return []
        full = messages.TableUpdate(
            zone=zone,
            fence=remote.fence,
            sequence=remote.sequence,
            full=True,
            added=tuple(remote.replicas.values()),
        )
        return [messages.Send(node, full)]

    def _list_remote_recipients(self, now: float) -> list[str]:
        """Returns the recipients in other zones: their lease holders, if known.

        A process that takes over the lease of another zone sends its own
        table, which makes that process known here, and requests the updates
        that it has missed.
        """
        recipients = []
        for node in self._other_zone_controls:
            zone = nodes.get_zone(node)
            remote = self._remote_tables.zones.get(zone)
            is_fresh = (
                remote is not None
                and now - remote.last_update_at <= REMOTE_HOLDER_TIMEOUT_S
            )
            if not is_fresh or self._remote_holders.get(zone) == node:
                recipients.append(node)
        return recipients

    def _count_serving(
        self, configuration: model.Configuration
    ) -> tuple[status.ServiceStatus, ...]:
        serving = collections.Counter(
            group.service
            for group in self._planner.groups.values()
            if groups_module.is_ready(group, self._registry.members)
        )
        return tuple(
            status.ServiceStatus(service.name, wanted, serving[service.name])
            for service, wanted in configuration.list_shares(self._zone)
        )

    def _count_downtime(self, now: float) -> None:
        missing = sum(max(0, s.wanted - s.serving) for s in self._services)
        self._downtime_s += missing * (now - self._downtime_counted_at)
        self._downtime_counted_at = now

    def _describe_state(self, group: groups_module.Group) -> str:
        if group.draining_since is not None:
            return "draining"
        if group.broken_since is not None:
            return "broken"
        is_ready = groups_module.is_ready(group, self._registry.members)
        return "serving" if is_ready else "loading"
