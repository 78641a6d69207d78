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

import attrs

from hickorylead.fleet import (
    groups as groups_module,
    instances,
    layout as layout_module,
    ledger as ledger_module,
    loads,
    orders,
    standbys,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from hickorylead.configuration import document as document_module

# A group whose members have not all told of themselves is given this long
# beyond the time that its model takes to load, in seconds.
FORM_SLACK_S = 3.0
# A member that was never heard is waited for this long, in seconds: two
# heartbeat periods, as one heartbeat may go to a control node that is gone.
UNHEARD_S = 2.5
# Epochs rise in steps; a planner's own number fills the rest, so that two
# planners never use one epoch.
EPOCH_STEP = 64
# A planner's first epoch is this much above those that it sees: more than the
# groups, 64 numbers each, that one forms in some minutes (about 100 in a day
# of 60 s with a loss every 3 s).
EPOCH_JUMP = 256 * EPOCH_STEP
# Groups of one that only bring weights into memory have names of their own.
WARM_UP_PREFIX = "w"

_GroupKey = tuple[str, int]


@attrs.frozen
class Policy:
    """The trade between group downtime and stranded accelerators.

    Attributes:
        spare_share: Share of a domain's VMs kept as warm standbys, 0 to 1.
    """

    spare_share: float = 0.16


@attrs.define
class _Forming:
    model: str
    members: tuple[str, ...]
    began_at: float
    limit_s: float


@attrs.define
class _Domain:
    """One domain in one round.

    Attributes:
        engine: Figures of its engines.
        present: Its servers by name.
        alive: How many of them live and do not leave.
        serving: Groups that serve or are about to, by model.
        groups: Those groups.
    """

    engine: document_module.Engine
    present: dict[str, instances.Instance]
    alive: int
    serving: collections.Counter[str] = attrs.field(factory=collections.Counter)
    groups: list[groups_module.Group] = attrs.field(factory=list)


class Planner:
    """Groups of the domains that one control node is in charge of."""

    def __init__(self, *, number: int, policy: Policy, life: str) -> None:
        """Makes a planner that has given no orders.

        Args:
            number: This planner's own number, below `EPOCH_STEP`.
            policy: The trade that the operators chose.
            life: Tells its lives apart; a part of all names that it gives.
        """
        self._life = life
        self._number = number % EPOCH_STEP
        self._policy = policy
        self._ledger = ledger_module.Ledger()
        self._loads = loads.LoadBudget()
        self._standbys = standbys.Standbys()
        self._forming: dict[_GroupKey, _Forming] = {}
        self._highest_epoch = 0
        self._has_epoch = False
        self._now = 0.0
        self._lost: frozenset[str] = frozenset()
        self._is_started = False
        self._supply: dict[str, float] = {}
        # Groups of this round; those that were whole once, and since when
        # the others are known.
        self._found_keys: set[_GroupKey] = set()
        self._seen_whole: set[_GroupKey] = set()
        self._first_seen: dict[_GroupKey, float] = {}

    def plan(
        self,
        *,
        present: Iterable[instances.Instance],
        services: Iterable[document_module.Service],
        domains: frozenset[str],
        lost: frozenset[str],
        zones: int,
        is_started: bool,
        now: float,
    ) -> list[ledger_module.Effect]:
        """Returns the orders that the present state asks for.

        Args:
            present: All instances that live, of any zone.
            services: Services with their engine figures.
            domains: Fabric domains that this planner decides for now.
            lost: Instances that are taken for dead.
            zones: Availability zones that share the weight store.
            is_started: Whether requests were served already; before, loads
                are free.
            now: Present time.
        """
        self._now = now
        self._lost = lost
        self._is_started = is_started
        everyone = {i.name: i for i in present}
        self._found_keys = set()
        self._ledger.open(everyone, now)
        self._standbys.note(everyone.values(), now)
        for instance in everyone.values():
            self._highest_epoch = max(
                self._highest_epoch, instance.member.epoch
            )
        for service in services:
            if service.engine is not None:
                self._plan_service(service, everyone, domains, zones)
        self._seen_whole &= self._found_keys
        self._first_seen = {
            key: at
            for key, at in self._first_seen.items()
            if key in self._found_keys
        }
        return self._ledger.close()

    def take_answer(self, event: orders.OrderAnswered) -> None:
        """Takes the answer to an order."""
        self._ledger.take_answer(event)

    def take_report(self, event: orders.ReportArrived) -> None:
        """Takes how many orders a server says it has accepted."""
        self._ledger.take_report(event)

    def _plan_service(
        self,
        service: document_module.Service,
        everyone: Mapping[str, instances.Instance],
        domains: frozenset[str],
        zones: int,
    ) -> None:
        engine = service.engine
        assert engine is not None
        if self._is_started:
            self._loads.open(engine.loads_per_s, zones, self._now)
        else:
            self._loads.lift()
        mine = [i for i in everyone.values() if i.service == service.name]
        living = [i for i in mine if self._is_living(i)]
        serving_vms = collections.Counter(
            i.models[0]
            for i in living
            if i.has_group
            and i.models
            and not i.member.group.startswith(WARM_UP_PREFIX)
        )
        self._supply = layout_module.measure_supply(
            engine, serving_vms, len(living), self._policy.spare_share
        )
        by_domain: dict[str, dict[str, instances.Instance]] = (
            collections.defaultdict(dict)
        )
        for instance in mine:
            if instance.domain in domains:
                by_domain[instance.domain][instance.name] = instance
        for _, present in sorted(by_domain.items()):
            alive = sum(1 for i in present.values() if self._is_living(i))
            self._plan_domain(_Domain(engine, present, alive))

    def _is_living(self, instance: instances.Instance) -> bool:
        return (
            instance.phase == instances.PHASE_READY
            and instance.name not in self._lost
        )

    def _plan_domain(self, domain: _Domain) -> None:
        found = groups_module.collect_groups(domain.present.values())
        self._found_keys.update(found)
        for key, group in sorted(found.items()):
            if self._look_after(key, group, domain):
                domain.serving[self._find_model(key, group)] += 1
                domain.groups.append(group)
        for key, forming in list(self._forming.items()):
            if key in found or forming.members[0] not in domain.present:
                continue
            if self._now - forming.began_at > ledger_module.EFFECT_WAIT_S:
                del self._forming[key]
                continue
            domain.serving[forming.model] += 1
            self._join_missing(key, forming, domain)
        self._use_free(domain)

    # Groups that there are.

    def _find_model(self, key: _GroupKey, group: groups_module.Group) -> str:
        forming = self._forming.get(key)
        return forming.model if forming else group.model

    def _look_after(
        self, key: _GroupKey, group: groups_module.Group, domain: _Domain
    ) -> bool:
        """Opens, keeps or takes apart a group; says whether it will serve."""
        if group.name.startswith(WARM_UP_PREFIX):
            self._end_warm_up(group)
            return False
        forming = self._forming.get(key)
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

    def _may_be_whole(self, key: _GroupKey) -> bool:
        """Says whether members may just not have been heard yet.

        A planner that has just started hears servers one by one. To take the
        first one's group apart would end, after each restart of all control
        nodes, all groups that serve.
        """
        since = self._first_seen.setdefault(key, self._now)
        return self._now - since < UNHEARD_S

    def _advance(
        self,
        key: _GroupKey,
        group: groups_module.Group,
        figures: document_module.ModelFigures,
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
            self._forming.pop(key, None)
            return True
        forming = self._forming.get(key)
        if forming is None:
            # Another planner formed it; it has as long as any load takes.
            self._forming[key] = _Forming(
                figures.name,
                tuple(m.name for _, m in sorted(group.members.items())),
                self._now,
                figures.load_s + FORM_SLACK_S,
            )
        elif self._now - forming.began_at > forming.limit_s:
            self._take_apart(group)
            return False
        if groups_module.is_complete(group, figures.group_size):
            self._ledger.give(head, orders.Open(group.name, group.epoch))
        return True

    def _join_missing(
        self, key: _GroupKey, forming: _Forming, domain: _Domain
    ) -> bool:
        """Orders members again that have not joined; says whether they can."""
        order = orders.Join(key[0], key[1], forming.model, forming.members)
        for name in forming.members:
            member = domain.present.get(name)
            if member is None or name in self._lost:
                return False
            if not member.has_group:
                self._ledger.give(member, order)
            elif (member.member.group, member.member.epoch) != key:
                return False
        return True

    def _take_apart(self, group: groups_module.Group) -> None:
        """Ends a group, head first.

        The head accepts requests for seconds after a member is lost, and a
        member that joined another group meanwhile would work for two.
        """
        self._forming.pop((group.name, group.epoch), None)
        head = group.head
        if head is not None and head.name not in self._lost:
            if head.member.state == instances.GROUP_OPEN:
                close = orders.Close(group.name, group.epoch, cut=True)
                self._ledger.give(head, close)
            elif head.member.state != instances.GROUP_CLOSING:
                self._ledger.give(head, orders.Leave(group.name, group.epoch))
            return
        for member in group.members.values():
            if member.name not in self._lost:
                leave = orders.Leave(group.name, group.epoch)
                self._ledger.give(member, leave)

    def _retire(self, group: groups_module.Group) -> None:
        """Ends a group after the work that it has."""
        head = group.head
        if head is None or head.name in self._lost:
            self._take_apart(group)
            return
        match head.member.state:
            case instances.GROUP_OPEN:
                close = orders.Close(group.name, group.epoch, cut=False)
                self._ledger.give(head, close)
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
            self._ledger.give(head, orders.Leave(group.name, group.epoch))

    # Free servers.

    def _use_free(self, domain: _Domain) -> None:
        free = [
            i
            for i in domain.present.values()
            if not i.has_group
            and self._is_living(i)
            and not self._ledger.is_busy(i)
        ]
        layout = layout_module.choose_layout(
            domain.engine,
            alive=domain.alive,
            serving=domain.serving,
            supply=self._supply,
            spare_share=self._policy.spare_share,
        )
        missing = sorted(
            (layout - domain.serving).elements(),
            key=lambda name: (self._supply[name], name),
        )
        for name in missing:
            figures = domain.engine.find_model(name)
            assert figures is not None
            free = self._form_or_prepare(domain, layout, figures, free)
        self._prepare_standbys(domain, free)
        self._stage_beside(domain)

    def _form_or_prepare(
        self,
        domain: _Domain,
        layout: collections.Counter[str],
        figures: document_module.ModelFigures,
        free: list[instances.Instance],
    ) -> list[instances.Instance]:
        """Forms a group, or has servers stage for it; returns who is left."""
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
        surplus = [
            group
            for group in domain.groups
            if domain.serving[group.model] > layout[group.model]
            and group.model != figures.name
        ]
        victim = surplus[0] if surplus else None
        reserve = (
            [m for m in victim.members.values() if self._is_living(m)]
            if victim
            else []
        )
        together = self._standbys.sort([*free, *reserve], figures.name)[:size]
        if len(together) < size or not self._is_started:
            return free
        cold = self._list_cold(together, figures.name)
        for instance in cold:
            self._stage(instance, figures.name)
        if not cold and victim is not None:
            # Its members hold the scarcer model's weights now.
            self._retire(victim)
        # All of them stay free meanwhile: another model may need them at once.
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
        figures: document_module.ModelFigures,
    ) -> None:
        epoch = self._make_epoch()
        name = f"g{epoch}-{self._life}"
        members = tuple(i.name for i in chosen)
        cold = self._list_cold(chosen, figures.name)
        limit_s = figures.load_s if cold else figures.warm_s
        self._forming[name, epoch] = _Forming(
            figures.name, members, self._now, limit_s + FORM_SLACK_S
        )
        for instance in chosen:
            self._ledger.give(
                instance, orders.Join(name, epoch, figures.name, members)
            )

    def _prepare_standbys(
        self, domain: _Domain, free: list[instances.Instance]
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
            self._stage(instance, model)

    def _stage_beside(self, domain: _Domain) -> None:
        """Lets servers stage another model than the one in their memory.

        A load takes 12 to 16 s, in which a domain loses more servers. One that
        has a model in memory and another one staged can serve either within
        0.2 to 1.6 s, and staging does not slow down what it serves.
        """
        for instance in sorted(domain.present.values(), key=lambda i: i.name):
            warm = instance.last_model
            if (
                not warm
                or not self._is_living(instance)
                or instance.member.state == instances.GROUP_JOINING
                or self._ledger.is_busy(instance)
                or not self._standbys.is_settled(instance, self._now)
            ):
                continue
            other = standbys.choose_other(domain.engine, warm)
            if other and other not in instance.staged:
                self._stage(instance, other)

    def _stage(self, instance: instances.Instance, model: str) -> None:
        if self._ledger.is_staging(instance) or self._loads.room <= 0:
            return
        if self._ledger.give(instance, orders.Stage(model)):
            self._loads.spend(self._now)

    def _warm_up(self, instance: instances.Instance, model: str) -> None:
        """Brings staged weights into memory, in a group of one.

        A server whose last group had the model joins another one of it in
        0.2 s instead of the time to load it from its VM (1.1 to 1.6 s).
        """
        if self._ledger.is_contested(instance):
            return
        epoch = self._make_epoch()
        name = f"{WARM_UP_PREFIX}{epoch}-{self._life}"
        self._ledger.give(
            instance, orders.Join(name, epoch, model, (instance.name,))
        )

    def _make_epoch(self) -> int:
        if not self._has_epoch:
            # Groups that are gone by now had epochs that nobody tells of any
            # more; servers refuse a lower one than they have seen.
            self._has_epoch = True
            self._highest_epoch += EPOCH_JUMP
        step = self._highest_epoch // EPOCH_STEP + 1
        self._highest_epoch = step * EPOCH_STEP + self._number
        return self._highest_epoch
