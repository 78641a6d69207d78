"""Decides which backend servers form which replica groups.

The planner issues orders based on the state that servers report. It relies on
no order until the server itself reports its effect, so two planners that both
act as the owner of a domain cannot break a group:

- a join is sent only to a server that reports no group, and names the number of
  orders that the server must have accepted, so that it is refused if another
  planner was faster;
- a head is opened only once each member itself has reported that it is ready
  under the same name and epoch;
- a group is disbanded head first; members follow once the head has reported
  that it no longer serves, or if the head is missing or treated as dead.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from hickorylead.fleet import (
    group_builder as group_builder_module,
    groups as groups_module,
    instances,
    layout as layout_module,
    loads,
    order_tracker as order_tracker_module,
    orders,
    standbys,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from hickorylead.configuration import document as document_module
    from hickorylead.turns import own_pauses

# Time for which a planner waits for the first heartbeats of a group's missing
# members before it disbands the group, in seconds: two heartbeat periods, as
# one heartbeat may go to a coordinator that is gone.
FIRST_HEARTBEAT_WAIT_S = 2.5


class Planner:
    """Plans the groups of the domains that one coordinator owns."""

    def __init__(
        self,
        *,
        number: int,
        policy: group_builder_module.StandbyPolicy,
        start_id: str,
        pauses: own_pauses.OwnPauses | None = None,
    ) -> None:
        """Makes a planner that has issued no orders.

        Args:
            number: This planner's own number, below `EPOCH_STEP`.
            policy: Trade-off between downtime and stranded accelerators.
            start_id: Unique id of the planner's start; a part of the name of
                each group that the planner forms.
            pauses: Times at which the process did not handle what servers sent;
                None if there are none.
        """
        self._policy = policy
        self._tracker = order_tracker_module.OrderTracker(pauses=pauses)
        self._standbys = standbys.Standbys()
        self._epochs = group_builder_module.Epochs(number)
        self._group_builder = group_builder_module.GroupBuilder(
            epochs=self._epochs,
            policy=policy,
            start_id=start_id,
            tracker=self._tracker,
            standby_tracker=self._standbys,
        )
        self._lost: frozenset[str] = frozenset()
        # Groups of this round; groups that were complete at least once; and
        # when the other groups were first reported.
        self._present_keys: set[group_builder_module.GroupKey] = set()
        self._seen_complete: set[group_builder_module.GroupKey] = set()
        self._first_seen: dict[group_builder_module.GroupKey, float] = {}

    def plan(
        self,
        *,
        present: Iterable[instances.Instance],
        services: Iterable[document_module.Service],
        domains: frozenset[str],
        lost: frozenset[str],
        stale: frozenset[str] = frozenset(),
        planners: int,
        has_traffic: bool,
        now: float,
    ) -> list[order_tracker_module.Effect]:
        """Returns the orders that the present state requires.

        Args:
            present: All instances whose incarnation has not ended, of any zone.
            services: Services with their engine profiles.
            domains: Fabric domains that this planner owns at present.
            lost: Instances that are treated as dead.
            stale: Instances whose state is too old to send them orders.
            planners: Number of coordinators that share the weight store.
            has_traffic: Whether requests were served already; before that,
                loads are not limited.
            now: Present time.
        """
        self._now = now
        self._lost = lost
        self._group_builder.begin_round(has_traffic=has_traffic, now=now)
        servers = {i.name: i for i in present}
        self._present_keys = set()
        self._tracker.begin_round(servers, now, stale=stale)
        self._standbys.update(servers.values(), now)
        for instance in servers.values():
            self._epochs.record(instance.member.epoch)
        for service in services:
            if service.engine is not None:
                self._plan_service(service, servers, domains, planners)
        self._seen_complete &= self._present_keys
        self._first_seen = {
            key: at
            for key, at in self._first_seen.items()
            if key in self._present_keys
        }
        return self._tracker.end_round()

    def handle_response(self, event: orders.OrderAnswered) -> None:
        """Handles the response to an order."""
        self._tracker.handle_response(event)

    def record_unsent(self, name: str) -> None:
        """Records that an order was held back, so that none is unanswered."""
        self._tracker.waits.end_backoff(name)

    def handle_report(self, event: orders.ReportArrived) -> None:
        """Handles the number of accepted orders that a server reports."""
        self._tracker.handle_report(event)

    def _plan_service(
        self,
        service: document_module.Service,
        servers: Mapping[str, instances.Instance],
        domains: frozenset[str],
        planners: int,
    ) -> None:
        engine = service.engine
        assert engine is not None
        # A server that was lost while it loaded stays known for a minute. If
        # such servers counted, a few would block all loads of a small fleet.
        loading = [
            servers[name]
            for name in self._tracker.list_loading()
            if name in servers and self._is_living(servers[name])
        ]
        own = sum(instance.domain in domains for instance in loading)
        self._group_builder.begin_service(
            engine,
            planners=planners,
            running=loads.LoadsInProgress(own, len(loading) - own),
        )
        service_instances = [
            i for i in servers.values() if i.service == service.name
        ]
        living = [i for i in service_instances if self._is_living(i)]
        serving_vms = collections.Counter(
            i.models[0]
            for i in living
            if i.has_group
            and i.models
            and not i.member.group.startswith(
                group_builder_module.WARM_UP_PREFIX
            )
        )
        supply = layout_module.measure_supply(
            engine, serving_vms, len(living), self._policy.spare_share
        )
        by_domain: dict[str, dict[str, instances.Instance]] = (
            collections.defaultdict(dict)
        )
        for instance in service_instances:
            if instance.domain in domains:
                by_domain[instance.domain][instance.name] = instance
        for _, present in sorted(by_domain.items()):
            living_here = [i for i in present.values() if self._is_living(i)]
            self._plan_domain(
                group_builder_module.DomainView(
                    engine, present, living_here, supply
                )
            )
        self._group_builder.start_loads()

    def _is_living(self, instance: instances.Instance) -> bool:
        return (
            instance.phase == instances.PHASE_READY
            and instance.name not in self._lost
        )

    def _plan_domain(self, domain: group_builder_module.DomainView) -> None:
        found = groups_module.collect_groups(domain.present.values())
        self._present_keys.update(found)
        for key, group in sorted(found.items()):
            if self._maintain_group(key, group, domain):
                domain.serving[self._find_model(key, group)] += 1
                domain.groups.append(group)
            elif not group.name.startswith(group_builder_module.WARM_UP_PREFIX):
                domain.leaving += [
                    m for m in group.members.values() if self._is_living(m)
                ]
        for key, forming in list(self._group_builder.forming.items()):
            if key in found or forming.members[0] not in domain.present:
                continue
            if (
                self._tracker.measure_wait(forming.started_at)
                > order_tracker_module.EFFECT_WAIT_S
            ):
                del self._group_builder.forming[key]
                continue
            domain.serving[forming.model] += 1
            self._join_missing(key, forming, domain)
        for group in self._group_builder.assign_free(domain):
            self._retire(group)

    # Existing groups.

    def _find_model(
        self, key: group_builder_module.GroupKey, group: groups_module.Group
    ) -> str:
        forming = self._group_builder.forming.get(key)
        return forming.model if forming else group.model

    def _maintain_group(
        self,
        key: group_builder_module.GroupKey,
        group: groups_module.Group,
        domain: group_builder_module.DomainView,
    ) -> bool:
        """Opens, keeps or disbands a group; returns whether it will serve."""
        if group.name.startswith(group_builder_module.WARM_UP_PREFIX):
            self._end_warm_up(group)
            return False
        forming = self._group_builder.forming.get(key)
        profile = domain.engine.find_model(self._find_model(key, group))
        if profile is None or any(
            member.name in self._lost for member in group.members.values()
        ):
            self._disband(group)
            return False
        if any(
            member.phase == instances.PHASE_DRAINING
            for member in group.members.values()
        ):
            self._retire(group)
            return False
        if len(group.members) < profile.group_size:
            if (
                forming
                and self._now - forming.started_at < forming.limit_s
                and self._join_missing(key, forming, domain)
            ):
                return True
            if key not in self._seen_complete and self._may_be_complete(key):
                return True
            self._disband(group)
            return False
        self._seen_complete.add(key)
        return self._advance(key, group, profile)

    def _may_be_complete(self, key: group_builder_module.GroupKey) -> bool:
        """Returns whether the missing members may not have reported yet.

        A planner that has just started receives the servers' heartbeats one by
        one. If it disbanded the group of the first server that reports, each
        restart of all coordinators would end all groups that serve.
        """
        since = self._first_seen.setdefault(key, self._now)
        return self._tracker.measure_wait(since) < FIRST_HEARTBEAT_WAIT_S

    def _advance(
        self,
        key: group_builder_module.GroupKey,
        group: groups_module.Group,
        profile: document_module.ModelProfile,
    ) -> bool:
        """Opens a group once all its members are ready."""
        head = group.head
        if head is None or head.member.state in (
            instances.GROUP_BROKEN,
            instances.GROUP_CLOSING,
        ):
            self._disband(group)
            return False
        if head.member.state == instances.GROUP_OPEN:
            self._group_builder.forming.pop(key, None)
            return True
        forming = self._group_builder.forming.get(key)
        if forming is None:
            # Another planner formed this group; allow the time of a load from
            # the weight store.
            self._group_builder.forming[key] = (
                group_builder_module.FormingGroup(
                    profile.name,
                    tuple(m.name for _, m in sorted(group.members.items())),
                    self._now,
                    profile.load_s + group_builder_module.FORM_SLACK_S,
                )
            )
        elif self._now - forming.started_at > forming.limit_s:
            self._disband(group)
            return False
        if groups_module.is_complete(group, profile.group_size):
            self._tracker.issue_order(
                head, orders.Open(group.name, group.epoch)
            )
        return True

    def _join_missing(
        self,
        key: group_builder_module.GroupKey,
        forming: group_builder_module.FormingGroup,
        domain: group_builder_module.DomainView,
    ) -> bool:
        """Orders missing members to join again; returns whether all can."""
        order = orders.Join(key[0], key[1], forming.model, forming.members)
        for name in forming.members:
            member = domain.present.get(name)
            if member is None or name in self._lost:
                return False
            if not member.has_group:
                self._tracker.issue_order(member, order)
            elif (member.member.group, member.member.epoch) != key:
                return False
        return True

    def _disband(self, group: groups_module.Group) -> None:
        """Ends a group, head first.

        The head accepts requests for seconds after a member is lost, and a
        member that joined another group meanwhile would work for both groups.
        """
        self._group_builder.forming.pop((group.name, group.epoch), None)
        head = group.head
        if head is not None and head.name not in self._lost:
            if head.member.state == instances.GROUP_OPEN:
                close = orders.Close(group.name, group.epoch, cut=True)
                self._tracker.issue_order(head, close)
            elif head.member.state != instances.GROUP_CLOSING:
                self._tracker.issue_order(
                    head, orders.Leave(group.name, group.epoch)
                )
            return
        for member in group.members.values():
            if member.name not in self._lost:
                leave = orders.Leave(group.name, group.epoch)
                self._tracker.issue_order(member, leave)

    def _retire(self, group: groups_module.Group) -> None:
        """Ends a group once its running requests are completed."""
        head = group.head
        if head is None or head.name in self._lost:
            self._disband(group)
            return
        match head.member.state:
            case instances.GROUP_OPEN:
                close = orders.Close(group.name, group.epoch, cut=False)
                self._tracker.issue_order(head, close)
            case instances.GROUP_CLOSING:
                pass
            case _:
                self._disband(group)

    def _end_warm_up(self, group: groups_module.Group) -> None:
        """Frees a standby that has loaded the weights into memory."""
        head = group.head
        if (
            head is not None
            and head.name not in self._lost
            and head.member.state != instances.GROUP_JOINING
        ):
            self._tracker.issue_order(
                head, orders.Leave(group.name, group.epoch)
            )
