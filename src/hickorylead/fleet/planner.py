"""Which backend servers form which replica groups: decisions of one zone.

The planner sees what servers tell of themselves and gives orders. It trusts
no order until the server itself tells its effect, so two planners that both
believe they are in charge cannot break a group:

- a join goes only to a server that tells it is in no group, and names how
  many orders that server has accepted, so that it is refused if another
  planner was faster;
- a head is opened only once each member itself told that it is ready under
  the same name and epoch;
- a group is taken apart head first; members follow once the head told that it
  serves no more, or cannot be asked.
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

# A member that was never heard is waited for this long, in seconds: two
# heartbeat periods, as one heartbeat may go to a control node that is gone.
UNHEARD_S = 2.5


class Planner:
    """Groups of the domains that one control node is in charge of."""

    def __init__(
        self,
        *,
        number: int,
        policy: group_builder_module.StandbyPolicy,
        start_id: str,
    ) -> None:
        """Makes a planner that has given no orders.

        Args:
            number: This planner's own number, below `EPOCH_STEP`.
            policy: The trade that the operators chose.
            start_id: Tells its lives apart; a part of all names that it gives.
        """
        self._policy = policy
        self._ledger = order_tracker_module.OrderTracker()
        self._standbys = standbys.Standbys()
        self._epochs = group_builder_module.Epochs(number)
        self._former = group_builder_module.GroupBuilder(
            epochs=self._epochs,
            policy=policy,
            start_id=start_id,
            ledger=self._ledger,
            standbys_book=self._standbys,
        )
        self._lost: frozenset[str] = frozenset()
        # Groups of this round; those that were whole once, and since when
        # the others are known.
        self._found_keys: set[group_builder_module.GroupKey] = set()
        self._seen_whole: set[group_builder_module.GroupKey] = set()
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
        is_started: bool,
        now: float,
    ) -> list[order_tracker_module.Effect]:
        """Returns the orders that the present state asks for.

        Args:
            present: All instances that live, of any zone.
            services: Services with their engine figures.
            domains: Fabric domains that this planner decides for now.
            lost: Instances that are taken for dead.
            stale: Instances not heard of recently enough to get orders.
            planners: Control nodes that share the weight store.
            is_started: Whether requests were served already; before, loads
                are free.
            now: Present time.
        """
        self._now = now
        self._lost = lost
        self._former.begin_round(is_started=is_started, now=now)
        everyone = {i.name: i for i in present}
        self._found_keys = set()
        self._ledger.begin_round(everyone, now, stale=stale)
        self._standbys.note(everyone.values(), now)
        for instance in everyone.values():
            self._epochs.note(instance.member.epoch)
        for service in services:
            if service.engine is not None:
                self._plan_service(service, everyone, domains, planners)
        self._seen_whole &= self._found_keys
        self._first_seen = {
            key: at
            for key, at in self._first_seen.items()
            if key in self._found_keys
        }
        return self._ledger.end_round()

    def handle_response(self, event: orders.OrderAnswered) -> None:
        """Takes the answer to an order."""
        self._ledger.handle_response(event)

    def handle_report(self, event: orders.ReportArrived) -> None:
        """Takes how many orders a server says it has accepted."""
        self._ledger.handle_report(event)

    def _plan_service(
        self,
        service: document_module.Service,
        everyone: Mapping[str, instances.Instance],
        domains: frozenset[str],
        planners: int,
    ) -> None:
        engine = service.engine
        assert engine is not None
        # A server that was lost while it loaded stays known for a minute. When
        # these counted, a few of them stopped all loads of a small fleet.
        loading = [
            everyone[name]
            for name in self._ledger.list_loading()
            if name in everyone and self._is_living(everyone[name])
        ]
        own = sum(instance.domain in domains for instance in loading)
        self._former.open_loads(
            engine,
            planners=planners,
            under_way=loads.LoadsInProgress(own, len(loading) - own),
        )
        mine = [i for i in everyone.values() if i.service == service.name]
        living = [i for i in mine if self._is_living(i)]
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
        for instance in mine:
            if instance.domain in domains:
                by_domain[instance.domain][instance.name] = instance
        for _, present in sorted(by_domain.items()):
            living_here = [i for i in present.values() if self._is_living(i)]
            self._plan_domain(
                group_builder_module.DomainView(
                    engine, present, living_here, supply
                )
            )
        self._former.start_loads()

    def _is_living(self, instance: instances.Instance) -> bool:
        return (
            instance.phase == instances.PHASE_READY
            and instance.name not in self._lost
        )

    def _plan_domain(self, domain: group_builder_module.DomainView) -> None:
        found = groups_module.collect_groups(domain.present.values())
        self._found_keys.update(found)
        for key, group in sorted(found.items()):
            if self._look_after(key, group, domain):
                domain.serving[self._find_model(key, group)] += 1
                domain.groups.append(group)
            elif not group.name.startswith(group_builder_module.WARM_UP_PREFIX):
                domain.leaving += [
                    m for m in group.members.values() if self._is_living(m)
                ]
        for key, forming in list(self._former.forming.items()):
            if key in found or forming.members[0] not in domain.present:
                continue
            if (
                self._now - forming.began_at
                > order_tracker_module.EFFECT_WAIT_S
            ):
                del self._former.forming[key]
                continue
            domain.serving[forming.model] += 1
            self._join_missing(key, forming, domain)
        for group in self._former.use_free(domain):
            self._retire(group)

    # Groups that there are.

    def _find_model(
        self, key: group_builder_module.GroupKey, group: groups_module.Group
    ) -> str:
        forming = self._former.forming.get(key)
        return forming.model if forming else group.model

    def _look_after(
        self,
        key: group_builder_module.GroupKey,
        group: groups_module.Group,
        domain: group_builder_module.DomainView,
    ) -> bool:
        """Opens, keeps or takes apart a group; says whether it will serve."""
        if group.name.startswith(group_builder_module.WARM_UP_PREFIX):
            self._end_warm_up(group)
            return False
        forming = self._former.forming.get(key)
        figures = domain.engine.find_model(self._find_model(key, group))
        if figures is None or any(
            member.name in self._lost for member in group.members.values()
        ):
            self._take_apart(group)
            return False
        if any(
            member.phase == instances.PHASE_DRAINING
            for member in group.members.values()
        ):
            self._retire(group)
            return False
        if len(group.members) < figures.group_size:
            if (
                forming
                and self._now - forming.began_at < forming.limit_s
                and self._join_missing(key, forming, domain)
            ):
                return True
            if key not in self._seen_whole and self._may_be_whole(key):
                return True
            self._take_apart(group)
            return False
        self._seen_whole.add(key)
        return self._advance(key, group, figures)

    def _may_be_whole(self, key: group_builder_module.GroupKey) -> bool:
        """Says whether members may just not have been heard yet.

        A planner that has just started hears servers one by one. To take the
        first one's group apart would end, after each restart of all control
        nodes, all groups that serve.
        """
        since = self._first_seen.setdefault(key, self._now)
        return self._now - since < UNHEARD_S

    def _advance(
        self,
        key: group_builder_module.GroupKey,
        group: groups_module.Group,
        figures: document_module.ModelProfile,
    ) -> bool:
        """Opens a group once all its members are ready."""
        head = group.head
        if head is None or head.member.state in (
            instances.GROUP_BROKEN,
            instances.GROUP_CLOSING,
        ):
            self._take_apart(group)
            return False
        if head.member.state == instances.GROUP_OPEN:
            self._former.forming.pop(key, None)
            return True
        forming = self._former.forming.get(key)
        if forming is None:
            # Another planner formed it; it has as long as any load takes.
            self._former.forming[key] = group_builder_module.Forming(
                figures.name,
                tuple(m.name for _, m in sorted(group.members.items())),
                self._now,
                figures.load_s + group_builder_module.FORM_SLACK_S,
            )
        elif self._now - forming.began_at > forming.limit_s:
            self._take_apart(group)
            return False
        if groups_module.is_complete(group, figures.group_size):
            self._ledger.issue_order(head, orders.Open(group.name, group.epoch))
        return True

    def _join_missing(
        self,
        key: group_builder_module.GroupKey,
        forming: group_builder_module.Forming,
        domain: group_builder_module.DomainView,
    ) -> bool:
        """Orders members again that have not joined; says whether they can."""
        order = orders.Join(key[0], key[1], forming.model, forming.members)
        for name in forming.members:
            member = domain.present.get(name)
            if member is None or name in self._lost:
                return False
            if not member.has_group:
                self._ledger.issue_order(member, order)
            elif (member.member.group, member.member.epoch) != key:
                return False
        return True

    def _take_apart(self, group: groups_module.Group) -> None:
        """Ends a group, head first.

        The head accepts requests for seconds after a member is lost, and a
        member that joined another group meanwhile would work for two.
        """
        self._former.forming.pop((group.name, group.epoch), None)
        head = group.head
        if head is not None and head.name not in self._lost:
            if head.member.state == instances.GROUP_OPEN:
                close = orders.Close(group.name, group.epoch, cut=True)
                self._ledger.issue_order(head, close)
            elif head.member.state != instances.GROUP_CLOSING:
                self._ledger.issue_order(
                    head, orders.Leave(group.name, group.epoch)
                )
            return
        for member in group.members.values():
            if member.name not in self._lost:
                leave = orders.Leave(group.name, group.epoch)
                self._ledger.issue_order(member, leave)

    def _retire(self, group: groups_module.Group) -> None:
        """Ends a group after the work that it has."""
        head = group.head
        if head is None or head.name in self._lost:
            self._take_apart(group)
            return
        match head.member.state:
            case instances.GROUP_OPEN:
                close = orders.Close(group.name, group.epoch, cut=False)
                self._ledger.issue_order(head, close)
            case instances.GROUP_CLOSING:
                pass
            case _:
                self._take_apart(group)

    def _end_warm_up(self, group: groups_module.Group) -> None:
        """Frees a standby that has the weights in memory now."""
        head = group.head
        if (
            head is not None
            and head.name not in self._lost
            and head.member.state != instances.GROUP_JOINING
        ):
            self._ledger.issue_order(
                head, orders.Leave(group.name, group.epoch)
            )
