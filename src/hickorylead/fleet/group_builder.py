"""Assigns free backend servers to groups, and keeps standbys.

A group is formed from servers that have its model in memory or staged; other
servers stage missing models meanwhile. Standbys hold the models that the domain
will need next.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from hickorylead.fleet import (
    groups as groups_module,
    instances,
    layout as layout_module,
    loads,
    order_tracker as order_tracker_module,
    orders,
    standbys,
)

if TYPE_CHECKING:
    from hickorylead.configuration import document as document_module

# Time beyond the load time within which a new group must be ready, in seconds.
FORM_SLACK_S = 3.0
# Step between epochs; each planner adds its own number, so epochs are unique.
EPOCH_STEP = 64
# A planner's first epoch is this far above the highest that servers report.
# This leaves room for 256 groups of 64 numbers each, more than a planner forms
# in some minutes (about 100 in a simulation of 60 s with a loss every 3 s).
EPOCH_JUMP = 256 * EPOCH_STEP
# Name prefix of warm-up groups: one server that only loads weights into memory.
WARM_UP_PREFIX = "w"

GroupKey = tuple[str, int]


@attrs.frozen
class StandbyPolicy:
    """Trade-off between group downtime and stranded accelerators.

    Attributes:
        spare_share: Share of a domain's VMs kept as warm standbys, 0 to 1. With
            a sixth, a domain of 19 VMs keeps 3 and serves two groups of 4 and
            one of 8; with a quarter the second group of 4 was missing, and a
            fifth of the requests for its model were late.
    """

    spare_share: float = 0.16


@attrs.define
class FormingGroup:
    """A group whose members were ordered to join, not serving yet."""

    model: str
    members: tuple[str, ...]
    started_at: float
    limit_s: float


@attrs.define
class DomainView:
    """One domain in one round.

    Attributes:
        engine: Performance profile of its engines.
        present: Its servers by name.
        living: Servers that are alive and not draining.
        supply: Supply of each model in all domains; see `layout`.
        serving: Number of groups that serve or are about to, by model.
        groups: The groups counted in `serving` that members report.
        leaving: Living servers of groups that end.
    """

    engine: document_module.EngineProfile
    present: dict[str, instances.Instance]
    living: list[instances.Instance]
    supply: dict[str, float]
    serving: collections.Counter[str] = attrs.field(factory=collections.Counter)
    groups: list[groups_module.Group] = attrs.field(factory=list)
    leaving: list[instances.Instance] = attrs.field(factory=list)


class Epochs:
    """Fencing numbers of one planner; they only rise."""

    def __init__(self, number: int) -> None:
        """Makes the epochs of the planner with the given number."""
        self._number = number % EPOCH_STEP
        self._highest = 0
        self._has_issued = False

    def record(self, epoch: int) -> None:
        """Records an epoch that a server reports."""
        self._highest = max(self._highest, epoch)

    def next_epoch(self) -> int:
        """Returns an epoch above all recorded ones."""
        if not self._has_issued:
            # Epochs of groups that have ended are no longer reported, but
            # servers refuse an epoch lower than their highest one.
            self._has_issued = True
            self._highest += EPOCH_JUMP
        step = self._highest // EPOCH_STEP + 1
        self._highest = step * EPOCH_STEP + self._number
        return self._highest


class GroupBuilder:
    """Forms groups from free servers, and keeps standbys."""

    def __init__(
        self,
        *,
        epochs: Epochs,
        policy: StandbyPolicy,
        start_id: str,
        tracker: order_tracker_module.OrderTracker,
        standby_tracker: standbys.Standbys,
    ) -> None:
        """Makes a group builder that has formed no groups.

        Args:
            epochs: Fencing numbers.
            policy: Trade-off between downtime and stranded accelerators.
            start_id: Unique id of the planner's start; a part of group names.
            tracker: Tracks the issued orders.
            standby_tracker: Tracks the free servers.
        """
        self.forming: dict[GroupKey, FormingGroup] = {}
        self._epochs = epochs
        self._policy = policy
        self._start_id = start_id
        self._tracker = tracker
        self._standbys = standby_tracker
        self._loads = loads.LoadBudget()
        self._now = 0.0
        self._has_traffic = False

    def begin_round(self, *, has_traffic: bool, now: float) -> None:
        """Begins a round."""
        self._now = now
        self._has_traffic = has_traffic

    def begin_service(
        self,
        engine: document_module.EngineProfile,
        *,
        planners: int,
        running: loads.LoadsInProgress,
    ) -> None:
        """Begins a service's plan; sets how many loads may start this round."""
        if self._has_traffic:
            self._loads.begin_round(
                engine, planners=planners, in_progress=running, now=self._now
            )
        else:
            self._loads.lift_limits()

    def start_loads(self) -> None:
        """Ends a service's plan; starts the loads with the highest priority."""
        for request in self._loads.grant():
            if self._tracker.issue_order(
                request.instance, orders.Stage(request.model)
            ):
                self._loads.record_start(self._now)

    def assign_free(self, domain: DomainView) -> list[groups_module.Group]:
        """Assigns the free servers of a domain to groups or standbys.

        Returns:
            Groups that are to be retired for a scarcer model.
        """
        retired: list[groups_module.Group] = []
        free = [
            i
            for i in domain.living
            if not i.has_group
            and not self._tracker.is_stale(i)
            and not self._tracker.is_busy(i)
        ]
        layout = layout_module.choose_layout(
            domain.engine,
            alive=len(domain.living),
            serving=domain.serving,
            supply=domain.supply,
            spare_share=self._policy.spare_share,
        )
        missing = sorted(
            (layout - domain.serving).elements(),
            key=lambda name: (domain.supply[name], name),
        )
        for name in missing:
            profile = domain.engine.find_model(name)
            assert profile is not None
            free = self._form_or_prepare(domain, layout, profile, free, retired)
        free = self._form_extra_groups(domain, free)
        self._prepare_standbys(domain, free)
        self._stage_secondary_models(domain)
        return retired

    def _form_or_prepare(
        self,
        domain: DomainView,
        layout: collections.Counter[str],
        profile: document_module.ModelProfile,
        free: list[instances.Instance],
        retired: list[groups_module.Group],
    ) -> list[instances.Instance]:
        """Forms or prepares a group; returns the servers that remain free."""
        size = profile.group_size
        free = self._standbys.sort(free, profile.name)
        chosen = free[:size]
        if len(chosen) == size and (
            not self._has_traffic or not self._list_cold(chosen, profile.name)
        ):
            contested = [i for i in chosen if self._tracker.is_contested(i)]
            if contested:
                return free[size:]
            self._form_group(chosen, profile)
            return free[size:]
        if not self._has_traffic:
            return free
        victims = self._find_victims(domain, layout, profile, size - len(free))
        movable = [m for group in victims for m in group.members.values()]
        ending = [i for i in [*domain.leaving, *movable] if i in domain.living]
        candidates = self._standbys.sort([*free, *ending], profile.name)[:size]
        if len(candidates) < size:
            return free
        cold = self._list_cold(candidates, profile.name)
        for instance in cold:
            self._queue_load(
                instance, profile.name, loads.LoadPriority.GROUP, len(cold)
            )
        if cold:
            # Free servers serve another model until these loads have ended.
            return free
        # Servers of ending groups become free within seconds. Until then the
        # free servers wait: another group would soon have to release them.
        retired += [
            group
            for group in victims
            if any(m in candidates for m in group.members.values())
        ]
        return [i for i in free if i not in candidates]

    def _find_victims(
        self,
        domain: DomainView,
        layout: collections.Counter[str],
        profile: document_module.ModelProfile,
        shortfall: int,
    ) -> list[groups_module.Group]:
        """Returns groups in excess of the layout that free enough servers.

        Args:
            domain: The domain.
            layout: Groups that it should have.
            profile: The model that lacks a group.
            shortfall: Number of servers that the group still needs.
        """
        shortfall -= len(domain.leaving)
        excess = domain.serving - layout
        victims = []
        for group in domain.groups:
            if shortfall <= 0:
                break
            if group.model != profile.name and excess[group.model] > 0:
                excess[group.model] -= 1
                shortfall -= len(group.members)
                victims.append(group)
        return victims

    def _form_extra_groups(
        self, domain: DomainView, free: list[instances.Instance]
    ) -> list[instances.Instance]:
        """Forms groups in excess of the layout from otherwise idle servers.

        A model that the domain lacks may have to be loaded first, for 12 s and
        more; until then free servers that are no standbys serve another model.
        An extra group is retired once its servers can form a missing one.
        """
        reserve = round(self._policy.spare_share * len(domain.living))
        by_need = sorted(
            domain.engine.models, key=lambda m: (domain.supply[m.name], m.name)
        )
        for profile in by_need:
            size = profile.group_size
            while len(free) - reserve >= size:
                chosen = [
                    i
                    for i in self._standbys.sort(free, profile.name)
                    if self._standbys.classify(i, profile.name) != standbys.COLD
                    and not self._tracker.is_contested(i)
                ][:size]
                if len(chosen) < size:
                    break
                self._form_group(chosen, profile)
                free = [i for i in free if i not in chosen]
        return free

    def _list_cold(
        self, chosen: list[instances.Instance], model: str
    ) -> list[instances.Instance]:
        return [
            i
            for i in chosen
            if self._standbys.classify(i, model) == standbys.COLD
        ]

    def _form_group(
        self,
        chosen: list[instances.Instance],
        profile: document_module.ModelProfile,
    ) -> None:
        epoch = self._epochs.next_epoch()
        name = f"g{epoch}-{self._start_id}"
        members = tuple(i.name for i in chosen)
        cold = self._list_cold(chosen, profile.name)
        limit_s = profile.load_s if cold else profile.staged_load_s
        self.forming[name, epoch] = FormingGroup(
            profile.name, members, self._now, limit_s + FORM_SLACK_S
        )
        for instance in chosen:
            self._tracker.issue_order(
                instance, orders.Join(name, epoch, profile.name, members)
            )

    def _prepare_standbys(
        self, domain: DomainView, free: list[instances.Instance]
    ) -> None:
        """Loads weights on standbys, so that they can join a group at once."""
        held: collections.Counter[str] = collections.Counter(
            filter(None, (i.last_model for i in free))
        )
        for instance in sorted(free, key=lambda i: i.name):
            if self._tracker.is_loading(instance) or not self._standbys.is_idle(
                instance, self._now
            ):
                continue
            if instance.last_model:
                continue
            if instance.staged:
                self._warm_up(instance, instance.staged[0])
                continue
            model = standbys.choose_model(domain.engine, domain.serving, held)
            held[model] += 1
            self._queue_load(instance, model, loads.LoadPriority.STANDBY)

    def _stage_secondary_models(self, domain: DomainView) -> None:
        """Lets servers stage another model than the one in their memory.

        A load takes 12 to 16 s, in which a domain loses more servers. A server
        that has one model in memory and another one staged can serve either
        within 0.2 to 1.6 s, and staging does not slow down its requests.
        """
        for instance in sorted(domain.living, key=lambda i: i.name):
            loaded_model = instance.last_model
            if (
                not loaded_model
                or instance.member.state == instances.GROUP_JOINING
                or self._tracker.is_busy(instance)
                or not self._standbys.is_settled(instance, self._now)
            ):
                continue
            model = standbys.choose_secondary(domain.engine, loaded_model)
            if model and model not in instance.staged:
                self._queue_load(instance, model, loads.LoadPriority.SECONDARY)

    def _queue_load(
        self,
        instance: instances.Instance,
        model: str,
        priority: loads.LoadPriority,
        missing: int = 0,
    ) -> None:
        if not self._tracker.is_loading(instance):
            self._loads.request(
                loads.LoadRequest(instance, model, priority, missing)
            )

    def _warm_up(self, instance: instances.Instance, model: str) -> None:
        """Loads staged weights into memory, by a group of one server.

        A server whose last group had the model joins the next group with that
        model in 0.2 s; to load the model from its VM takes 1.1 to 1.6 s.
        """
        if self._tracker.is_contested(instance):
            return
        epoch = self._epochs.next_epoch()
        name = f"{WARM_UP_PREFIX}{epoch}-{self._start_id}"
        self._tracker.issue_order(
            instance, orders.Join(name, epoch, model, (instance.name,))
        )
