"""What becomes of free backend servers: groups, and standbys for the next.

A group is formed of servers that have its model in memory or staged; others
stage what is missing meanwhile. Free servers hold the models that the domain
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

# A group whose members have not all told of themselves is given this long
# beyond the time that its model takes to load, in seconds.
FORM_SLACK_S = 3.0
# Epochs rise in steps; a planner's own number fills the rest, so that two
# planners never use one epoch.
EPOCH_STEP = 64
# A planner's first epoch is this much above those that it sees: more than the
# groups, 64 numbers each, that one forms in some minutes (about 100 in a day
# of 60 s with a loss every 3 s).
EPOCH_JUMP = 256 * EPOCH_STEP
# Groups of one that only bring weights into memory have names of their own.
WARM_UP_PREFIX = "w"

GroupKey = tuple[str, int]


@attrs.frozen
class StandbyPolicy:
    """The trade between group downtime and stranded accelerators.

    Attributes:
        spare_share: Share of a domain's VMs kept as warm standbys, 0 to 1. A
            sixth: a domain of 19 VMs keeps 3 and serves two groups of 4 beside
            one of 8; with a quarter the second one was missing, and a fifth of
            the requests for its model came late.
    """

    spare_share: float = 0.16


@attrs.define
class Forming:
    """A group that was ordered and does not serve yet."""

    model: str
    members: tuple[str, ...]
    began_at: float
    limit_s: float


@attrs.define
class DomainView:
    """One domain in one round.

    Attributes:
        engine: Figures of its engines.
        present: Its servers by name.
        living: Those that live and do not leave.
        supply: What each model has everywhere; see `layout`.
        serving: Groups that serve or are about to, by model.
        groups: Those groups.
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
        """Makes numbers for a planner with a number of its own."""
        self._number = number % EPOCH_STEP
        self._highest = 0
        self._has_any = False

    def note(self, epoch: int) -> None:
        """Takes an epoch that a server tells."""
        self._highest = max(self._highest, epoch)

    def make(self) -> int:
        """Returns an epoch above all that were seen."""
        if not self._has_any:
            # Groups that are gone by now had epochs that nobody tells of any
            # more; servers refuse a lower one than they have seen.
            self._has_any = True
            self._highest += EPOCH_JUMP
        step = self._highest // EPOCH_STEP + 1
        self._highest = step * EPOCH_STEP + self._number
        return self._highest


class GroupBuilder:
    """Forms groups of free servers, and keeps standbys."""

    def __init__(
        self,
        *,
        epochs: Epochs,
        policy: StandbyPolicy,
        start_id: str,
        ledger: order_tracker_module.OrderTracker,
        standbys_book: standbys.Standbys,
    ) -> None:
        """Makes a former that has formed nothing.

        Args:
            epochs: Fencing numbers.
            policy: The trade that the operators chose.
            start_id: Tells the planner's lives apart; a part of group names.
            ledger: Orders that were given.
            standbys_book: What is known of free servers.
        """
        self.forming: dict[GroupKey, Forming] = {}
        self._epochs = epochs
        self._policy = policy
        self._life = start_id
        self._ledger = ledger
        self._standbys = standbys_book
        self._loads = loads.LoadBudget()
        self._now = 0.0
        self._is_started = False

    def begin_round(self, *, is_started: bool, now: float) -> None:
        """Begins a round."""
        self._now = now
        self._is_started = is_started

    def open_loads(
        self,
        engine: document_module.EngineProfile,
        *,
        planners: int,
        under_way: loads.LoadsInProgress,
    ) -> None:
        """Begins a service: what may be loaded from its store now."""
        if self._is_started:
            self._loads.begin_round(
                engine, planners=planners, in_progress=under_way, now=self._now
            )
        else:
            self._loads.lift()

    def start_loads(self) -> None:
        """Ends a service: starts the loads that are needed most."""
        for wish in self._loads.grant():
            if self._ledger.issue_order(
                wish.instance, orders.Stage(wish.model)
            ):
                self._loads.spend(self._now)

    def use_free(self, domain: DomainView) -> list[groups_module.Group]:
        """Uses the free servers of a domain.

        Returns:
            Groups that are to be retired for a scarcer model.
        """
        retired: list[groups_module.Group] = []
        free = [
            i
            for i in domain.living
            if not i.has_group
            and not self._ledger.is_stale(i)
            and not self._ledger.is_busy(i)
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
            figures = domain.engine.find_model(name)
            assert figures is not None
            free = self._form_or_prepare(domain, layout, figures, free, retired)
        free = self._fill_in(domain, free)
        self._prepare_standbys(domain, free)
        self._stage_beside(domain)
        return retired

    def _form_or_prepare(
        self,
        domain: DomainView,
        layout: collections.Counter[str],
        figures: document_module.ModelProfile,
        free: list[instances.Instance],
        retired: list[groups_module.Group],
    ) -> list[instances.Instance]:
        """Forms a group, or prepares it; returns who is free for others."""
        size = figures.group_size
        free = self._standbys.sort(free, figures.name)
        chosen = free[:size]
        if len(chosen) == size and (
            not self._is_started or not self._list_cold(chosen, figures.name)
        ):
            contested = [i for i in chosen if self._ledger.is_contested(i)]
            if contested:
                return free[size:]
            self._form(chosen, figures)
            return free[size:]
        if not self._is_started:
            return free
        victims = self._find_victims(domain, layout, figures, size - len(free))
        movable = [m for group in victims for m in group.members.values()]
        coming = [i for i in [*domain.leaving, *movable] if i in domain.living]
        together = self._standbys.sort([*free, *coming], figures.name)[:size]
        if len(together) < size:
            return free
        cold = self._list_cold(together, figures.name)
        for instance in cold:
            self._wish(
                instance, figures.name, loads.LoadPriority.GROUP, len(cold)
            )
        if cold:
            # Who is free serves something else meanwhile.
            return free
        # The others come within seconds. Until then those who are free wait:
        # in another group they would have to be called back.
        retired += [
            group
            for group in victims
            if any(m in together for m in group.members.values())
        ]
        return [i for i in free if i not in together]

    def _find_victims(
        self,
        domain: DomainView,
        layout: collections.Counter[str],
        figures: document_module.ModelProfile,
        lacking: int,
    ) -> list[groups_module.Group]:
        """Returns groups beyond the layout whose servers would be enough.

        Args:
            domain: The domain.
            layout: Groups that it should have.
            figures: The model that lacks a group.
            lacking: Servers that are missing for it.
        """
        lacking -= len(domain.leaving)
        beyond = domain.serving - layout
        victims = []
        for group in domain.groups:
            if lacking <= 0:
                break
            if group.model != figures.name and beyond[group.model] > 0:
                beyond[group.model] -= 1
                lacking -= len(group.members)
                victims.append(group)
        return victims

    def _fill_in(
        self, domain: DomainView, free: list[instances.Instance]
    ) -> list[instances.Instance]:
        """Forms groups beyond the layout of servers that would stand idle.

        A model that the domain lacks may have to be loaded first, for 12 s and
        more; until then what is free beyond the standbys serves another model.
        Such a group is retired once its servers can form the missing one.
        """
        reserve = round(self._policy.spare_share * len(domain.living))
        by_need = sorted(
            domain.engine.models, key=lambda m: (domain.supply[m.name], m.name)
        )
        for figures in by_need:
            size = figures.group_size
            while len(free) - reserve >= size:
                chosen = [
                    i
                    for i in self._standbys.sort(free, figures.name)
                    if self._standbys.rate(i, figures.name) != standbys.COLD
                    and not self._ledger.is_contested(i)
                ][:size]
                if len(chosen) < size:
                    break
                self._form(chosen, figures)
                free = [i for i in free if i not in chosen]
        return free

    def _list_cold(
        self, chosen: list[instances.Instance], model: str
    ) -> list[instances.Instance]:
        return [
            i for i in chosen if self._standbys.rate(i, model) == standbys.COLD
        ]

    def _form(
        self,
        chosen: list[instances.Instance],
        figures: document_module.ModelProfile,
    ) -> None:
        epoch = self._epochs.make()
        name = f"g{epoch}-{self._life}"
        members = tuple(i.name for i in chosen)
        cold = self._list_cold(chosen, figures.name)
        limit_s = figures.load_s if cold else figures.staged_load_s
        self.forming[name, epoch] = Forming(
            figures.name, members, self._now, limit_s + FORM_SLACK_S
        )
        for instance in chosen:
            self._ledger.issue_order(
                instance, orders.Join(name, epoch, figures.name, members)
            )

    def _prepare_standbys(
        self, domain: DomainView, free: list[instances.Instance]
    ) -> None:
        """Lets standbys hold weights, so that they can stand in at once."""
        held: collections.Counter[str] = collections.Counter(
            filter(None, (i.last_model for i in free))
        )
        for instance in sorted(free, key=lambda i: i.name):
            if self._ledger.is_staging(instance) or not self._standbys.is_idle(
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
            self._wish(instance, model, loads.LoadPriority.STANDBY)

    def _stage_beside(self, domain: DomainView) -> None:
        """Lets servers stage another model than the one in their memory.

        A load takes 12 to 16 s, in which a domain loses more servers. One that
        has a model in memory and another one staged can serve either within
        0.2 to 1.6 s, and staging does not slow down what it serves.
        """
        for instance in sorted(domain.living, key=lambda i: i.name):
            warm = instance.last_model
            if (
                not warm
                or instance.member.state == instances.GROUP_JOINING
                or self._ledger.is_busy(instance)
                or not self._standbys.is_settled(instance, self._now)
            ):
                continue
            other = standbys.choose_other(domain.engine, warm)
            if other and other not in instance.staged:
                self._wish(instance, other, loads.LoadPriority.SECONDARY)

    def _wish(
        self,
        instance: instances.Instance,
        model: str,
        need: loads.LoadPriority,
        missing: int = 0,
    ) -> None:
        if not self._ledger.is_staging(instance):
            self._loads.request(
                loads.LoadRequest(instance, model, need, missing)
            )

    def _warm_up(self, instance: instances.Instance, model: str) -> None:
        """Brings staged weights into memory, in a group of one.

        A server whose last group had the model joins another one of it in
        0.2 s instead of the time to load it from its VM (1.1 to 1.6 s).
        """
        if self._ledger.is_contested(instance):
            return
        epoch = self._epochs.make()
        name = f"{WARM_UP_PREFIX}{epoch}-{self._life}"
        self._ledger.issue_order(
            instance, orders.Join(name, epoch, model, (instance.name,))
        )
