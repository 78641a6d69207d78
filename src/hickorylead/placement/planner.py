"""Placement decisions: form, repair and drain groups, and release VMs.

The planner reads the present servers and the configuration, and issues orders.
Its state is soft: a new lease holder rebuilds it from announcements.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from hickorylead.membership import announcements
from hickorylead.placement import groups as groups_module, orders

if TYPE_CHECKING:
    from hickorylead.configuration import model
    from hickorylead.membership import registry
    from hickorylead.placement.groups import Group

ORDER_RETRY_S = 3.0
# Minimum time from the start of a group's drain to its release, in seconds.
# Entries are notified of the drain within two seconds; until then they may
# still send requests to the group.
DRAIN_MIN_S = 5.0


@attrs.frozen
class Policy:
    """The trade-off between group downtime and stranded accelerators.

    Attributes:
        spares: Free VMs to leave in each fabric domain, where there is a
            choice of domains. A wanted group is formed even if no spares
            remain: a VM kept free while a replica is missing is certainly
            stranded, while the failure that it is kept for may not occur.
        hold_broken_s: How long a broken group may hold its surviving members
            while no spare is free, in seconds.
        max_loads: Groups of one zone that may load weights at the same time.
    """

    spares: int = 1
    hold_broken_s: float = 30.0
    max_loads: int = 8


@attrs.define
class PendingOrder:
    """An issued order that no announcement has confirmed yet."""

    order: orders.Order
    sent_at: float


class Planner:
    """Placement in one zone, run by the process that holds its lease."""

    def __init__(self, *, zone: str, policy: Policy) -> None:
        """Makes a planner without groups.

        Args:
            zone: The zone whose groups it plans.
            policy: The trade-off that the operators chose.
        """
        self._zone = zone
        self._policy = policy
        self._pending: dict[str, PendingOrder] = {}
        self._counter = 0
        self.groups: dict[str, Group] = {}
        self._members: dict[str, registry.Member] = {}
        self._drained: frozenset[str] = frozenset()
        self._ranks: dict[str, int] = {}
        self._fence = 0
        self._now = 0.0
        self._issued: list[orders.SendOrder] = []

    def adopt(self, members: dict[str, registry.Member]) -> None:
        """Adopts the running groups; to be called when the lease is new."""
        self._pending.clear()
        self.groups = groups_module.adopt_groups(members)

    def plan(
        self,
        *,
        members: dict[str, registry.Member],
        configuration: model.Configuration | None,
        shares: list[tuple[model.Service, int]],
        fence: int,
        now: float,
    ) -> list[orders.SendOrder]:
        """Returns the orders that the present state requires.

        Args:
            members: Present servers, by VM.
            configuration: The configuration in force; None while this process
                is not sure what it is. Then groups are repaired, but none is
                formed or drained: treating an unknown configuration as an
                empty one would stop every replica of the zone.
            shares: Services by rank, with the number of replicas to run in
                this zone.
            fence: Fencing number of the lease held.
            now: Current time.
        """
        self._members = members
        drained = configuration.drained if configuration else ()
        self._drained = frozenset(drained)
        self._fence = fence
        self._now = now
        self._issued = []
        self._clear_completed_orders()
        self._update_groups()
        self._repair_groups()
        if configuration is not None:
            self._ranks = {s.name: s.rank for s in configuration.services}
            self._balance_services(shares)
        self._release_drained()
        self._release_strays()
        return self._issued

    def is_settled(self) -> bool:
        """Returns whether no order is pending and every group is settled.

        A group is settled if it has been ready, is complete and is not
        draining.
        """
        return not self._pending and all(
            group.was_ready
            and group.broken_since is None
            and group.draining_since is None
            for group in self.groups.values()
        )

    def is_serving(self, group: Group) -> bool:
        """Returns whether entries may send new requests to a group."""
        return group.draining_since is None and groups_module.is_ready(
            group, self._members
        )

    def count_stranded(self) -> int:
        """Returns how many present engine VMs belong to no serving group."""
        serving = {
            vm
            for group in self.groups.values()
            if groups_module.is_ready(group, self._members)
            for vm in group.vms
        }
        return sum(
            1
            for vm, member in self._members.items()
            if member.state.kind == announcements.KIND_ENGINE
            and vm not in serving
        )

    # State from announcements.

    def _clear_completed_orders(self) -> None:
        for vm, pending in list(self._pending.items()):
            member = self._members.get(vm)
            if member is None or _is_completed(pending.order, member.state):
                del self._pending[vm]

    def _update_groups(self) -> None:
        for group in list(self.groups.values()):
            for rank, vm in enumerate(group.vms):
                if vm and not self._is_member(group, rank, vm):
                    group.vms[rank] = ""
            if groups_module.is_ready(group, self._members):
                group.was_ready = True
            if all(group.vms):
                group.broken_since = None
            elif group.broken_since is None:
                group.broken_since = self._now
            if not any(group.vms):
                del self.groups[group.name]

    def _is_member(self, group: Group, rank: int, vm: str) -> bool:
        member = self._members.get(vm)
        if member is None:
            return False
        state = member.state
        if state.phase == announcements.PHASE_LEAVING:
            # A leaving server remains a member and finishes its running
            # requests while its group drains; see `_repair_groups`.
            return state.group == group.name
        if vm in self._pending:
            return True
        return (
            state.group == group.name
            and state.generation == group.generation
            and state.rank == rank
        )

    # Repair.

    def _repair_groups(self) -> None:
        for group in list(self.groups.values()):
            if group.broken_since is None:
                if any(self._must_leave(vm) for vm in group.vms):
                    self._drain(group)
                continue
            self._repair(group)

    def _must_leave(self, vm: str) -> bool:
        state = self._members[vm].state
        return vm in self._drained or (
            state.phase == announcements.PHASE_LEAVING
        )

    def _repair(self, group: Group) -> None:
        if group.draining_since is not None or any(
            vm and self._must_leave(vm) for vm in group.vms
        ):
            # A member that is leaving must not be assigned again.
            self._disband(group)
            return
        lost_ranks = [rank for rank, vm in enumerate(group.vms) if not vm]
        spares = self._list_free(group.domain, group.weights)
        if len(spares) >= len(lost_ranks):
            for rank, vm in zip(lost_ranks, spares, strict=False):
                group.vms[rank] = vm
            group.generation += 1
            group.broken_since = None
            self._assign_all(group)
            return
        assert group.broken_since is not None
        held_s = self._now - group.broken_since
        # Surviving members that wait for a spare serve no requests. They are
        # released at once if a complete group can be formed from free VMs in
        # some domain, and otherwise after the time that operators chose.
        if held_s >= self._policy.hold_broken_s or self._find_domain(
            group.service, group.size, group.weights
        ):
            self._disband(group)

    def _disband(self, group: Group) -> None:
        del self.groups[group.name]
        for vm in group.vms:
            if vm:
                self._release(vm, group.name, group.generation)

    # Balance of wanted and existing groups.

    def _balance_services(
        self, shares: list[tuple[model.Service, int]]
    ) -> None:
        """Forms missing groups first, then drains surplus ones.

        If there are too few free VMs, surplus groups are drained at once,
        because nothing else can make room.
        """
        missing = has_shortage = False
        for service, wanted in shares:
            current, old = self._list_undrained(service)
            while len(current) < wanted:
                # The weight store is rate-limited: many concurrent loads
                # would all be slow. Services are in the order of their rank,
                # so the most urgent services load first.
                if self._count_loading() >= self._policy.max_loads:
                    break
                group = self._form_group(service)
                if group is None:
                    has_shortage = True
                    self._make_room(service, old)
                    break
                current.append(group)
            serving = sum(1 for g in current if self.is_serving(g))
            missing = missing or serving < wanted
        if has_shortage or not missing:
            self._drain_surplus(shares)

    def _list_undrained(
        self, service: model.Service
    ) -> tuple[list[Group], list[Group]]:
        """Returns a service's undrained groups, the current and outdated."""
        current: list[Group] = []
        old: list[Group] = []
        for group in self.groups.values():
            if group.service != service.name or (
                group.draining_since is not None
            ):
                continue
            fits = (
                group.weights == service.weights
                and group.size == service.group_size
            )
            (current if fits else old).append(group)
        return current, old

    def _drain_surplus(self, shares: list[tuple[model.Service, int]]) -> None:
        names = {service.name for service, wanted in shares if wanted}
        for group in self.groups.values():
            if group.service not in names:
                self._drain(group)
        for service, wanted in shares:
            current, old = self._list_undrained(service)
            serving = sum(1 for g in current if self.is_serving(g))
            keep_old = max(0, wanted - serving)
            surplus = self._sort_surplus(old)[: max(0, len(old) - keep_old)]
            too_many = max(0, len(current) - wanted)
            surplus += self._sort_surplus(current)[:too_many]
            for group in surplus:
                self._drain(group)

    def _sort_surplus(self, groups: list[Group]) -> list[Group]:
        """Returns groups sorted by the cost of draining, cheapest first."""

        def get_sort_key(group: Group) -> tuple[bool, int, str]:
            member = self._members.get(group.vms[0])
            load = member.load if member else announcements.Load()
            busy = load.running + load.queued
            return (self.is_serving(group), busy, group.name)

        return sorted(groups, key=get_sort_key)

    def _make_room(self, service: model.Service, old: list[Group]) -> None:
        """Drains one group so that a wanted group can be formed.

        A group with the old version of the same service is drained first. A
        group of a lower rank is drained only for a service that has no
        serving group: otherwise the shortage would move from service to
        service, and each move costs a load of weights.
        """
        if any(g.draining_since is not None for g in self.groups.values()):
            return
        if old:
            self._drain(self._sort_surplus(old)[0])
            return
        if any(
            self.is_serving(g) or g.broken_since is None
            for g in self.groups.values()
            if g.service == service.name
        ):
            return
        lower = [
            g
            for g in self.groups.values()
            if self._ranks.get(g.service, 0) > service.rank
            and g.size >= service.group_size
        ]
        if lower:
            self._drain(self._sort_surplus(lower)[0])

    def _form_group(self, service: model.Service) -> Group | None:
        domain = self._find_domain(
            service.name, service.group_size, service.weights
        )
        if domain is None:
            return None
        vms = self._list_free(domain, service.weights)[: service.group_size]
        self._counter += 1
        group = groups_module.Group(
            name=f"{service.name}/{self._zone}/{self._fence}-{self._counter}",
            service=service.name,
            weights=service.weights,
            domain=domain,
            generation=1,
            vms=vms,
        )
        self.groups[group.name] = group
        self._assign_all(group)
        return group

    def _count_loading(self) -> int:
        return sum(
            1
            for g in self.groups.values()
            if g.draining_since is None
            and g.broken_since is None
            and not groups_module.is_ready(g, self._members)
        )

    def _find_domain(self, service: str, size: int, weights: str) -> str | None:
        """Returns the best domain with room for a group; None if none has.

        Preferred are, in this order: a domain that keeps its spares; one with
        few groups of the same service, so that the loss of one domain does
        not stop all replicas of a service; one whose VMs hold the weights;
        and the fullest one that fits, so that large groups find room later.
        """
        free: dict[str, list[str]] = collections.defaultdict(list)
        for vm in self._list_free(None, weights):
            free[self._members[vm].state.domain].append(vm)
        fitting = [d for d, vms in free.items() if len(vms) >= size]
        if not fitting:
            return None
        group_counts = collections.Counter(
            g.domain for g in self.groups.values() if g.service == service
        )

        def get_sort_key(domain: str) -> tuple[bool, int, int, int, str]:
            with_weights = sum(
                1
                for vm in free[domain]
                if self._members[vm].state.weights == weights
            )
            room = len(free[domain])
            return (
                room - size < self._policy.spares,
                group_counts[domain],
                -min(with_weights, size),
                room,
                domain,
            )

        return min(fitting, key=get_sort_key)

    def _list_free(self, domain: str | None, weights: str) -> list[str]:
        """Returns free VMs; those that hold the weights come first."""
        assigned = {vm for g in self.groups.values() for vm in g.vms}
        free = [
            (m.state.weights != weights, vm)
            for vm, m in self._members.items()
            if m.state.kind == announcements.KIND_ENGINE
            and m.state.phase != announcements.PHASE_LEAVING
            and not m.state.group
            and vm not in assigned
            and vm not in self._pending
            and vm not in self._drained
            and m.missing_since is None
            and (domain is None or m.state.domain == domain)
        ]
        return [vm for _, vm in sorted(free)]

    # Draining and release.

    def _drain(self, group: Group) -> None:
        if group.draining_since is None:
            group.draining_since = self._now

    def _release_drained(self) -> None:
        for group in list(self.groups.values()):
            if group.draining_since is None:
                continue
            if self._now - group.draining_since < DRAIN_MIN_S:
                continue
            member = self._members.get(group.vms[0])
            load = member.load if member else announcements.Load()
            if load.running + load.queued == 0:
                self._disband(group)

    def _release_strays(self) -> None:
        """Releases VMs that announce a group they are not a member of.

        Such a VM was unresponsive while its group was repaired, or accepted a
        late order of a previous lease holder. Also repeats overdue orders.
        """
        listed = {
            vm: group
            for group in self.groups.values()
            for vm in group.vms
            if vm
        }
        for vm, member in self._members.items():
            state = member.state
            group = listed.get(vm)
            if not state.group or (group and group.name == state.group):
                continue
            if vm not in self._pending or self._is_overdue(vm):
                self._release(vm, state.group, state.generation)
        for vm, pending in list(self._pending.items()):
            if vm in listed and self._is_overdue(vm):
                self._issue(pending.order)

    def _is_overdue(self, vm: str) -> bool:
        return self._now - self._pending[vm].sent_at >= ORDER_RETRY_S

    # Orders.

    def _assign_all(self, group: Group) -> None:
        addresses = tuple(self._members[vm].state.address for vm in group.vms)
        for rank, vm in enumerate(group.vms):
            self._issue(
                orders.Assign(
                    vm=vm,
                    address=addresses[rank],
                    fence=self._fence,
                    group=group.name,
                    generation=group.generation,
                    rank=rank,
                    members=addresses,
                    service=group.service,
                    weights=group.weights,
                )
            )

    def _release(self, vm: str, group: str, generation: int) -> None:
        member = self._members.get(vm)
        if member is None:
            return
        self._issue(
            orders.Release(
                vm, member.state.address, self._fence, group, generation
            )
        )

    def _issue(self, order: orders.Order) -> None:
        order = attrs.evolve(order, fence=self._fence)
        self._pending[order.vm] = PendingOrder(order, self._now)
        self._issued.append(orders.SendOrder(order))


def _is_completed(
    order: orders.Order, state: announcements.ServerState
) -> bool:
    match order:
        case orders.Assign():
            return (
                state.group == order.group
                and state.generation == order.generation
            )
        case orders.Release():
            return state.group != order.group
