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

from hickorylead.fleet import groups as groups_module, instances, orders

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from hickorylead.configuration import document as document_module

# An order that was not answered is given again after this, in seconds: twice
# the time within which answers came in trial runs (under 0.1 s) and above the
# longest pause of a frozen loop that was seen there.
ORDER_RETRY_S = 0.6
# What an order began is told by a heartbeat within milliseconds; without one
# it is given again after this, in seconds (a heartbeat period and its spread).
EFFECT_WAIT_S = 1.6
# A group whose members have not all told of themselves is given this long
# beyond the time that its model takes to load, in seconds.
FORM_SLACK_S = 3.0
# Epochs rise in steps; a planner's own number fills the rest, so that two
# planners never use one epoch.
EPOCH_STEP = 64
# Loads may start within one window at this share of what the store allows.
LOAD_WINDOW_S = 5.0
# A question for a server's state is put again after this, in seconds; what it
# answers is about 0.25 s old, so an earlier one would show no news.
ASK_PERIOD_S = 0.3
# A server is a standby once it was free for this long, in seconds; before, it
# may just be on its way from one group to the next.
IDLE_BEFORE_STAGE_S = 1.2
# Groups of one that only bring weights into memory have names of their own.
WARM_UP_PREFIX = "w"


@attrs.frozen
class Policy:
    """The trade between group downtime and stranded accelerators.

    Attributes:
        spare_share: Share of a domain's VMs kept as warm standbys, 0 to 1.
    """

    spare_share: float = 0.25


@attrs.define
class _Pending:
    order: orders.Order
    given_at: float
    answered: bool = False


@attrs.define
class _Forming:
    model: str
    members: tuple[str, ...]
    began_at: float
    limit_s: float


class Planner:
    """Groups of the domains that one control node is in charge of."""

    def __init__(self, *, number: int, policy: Policy) -> None:
        """Makes a planner that has given no orders.

        Args:
            number: This planner's own number, below `EPOCH_STEP`.
            policy: The trade that the operators chose.
        """
        self._number = number % EPOCH_STEP
        self._policy = policy
        self._pending: dict[str, _Pending] = {}
        self._forming: dict[tuple[str, int], _Forming] = {}
        # Orders that each server has accepted, as far as this planner knows.
        self._accepted: dict[str, int] = {}
        self._asked: dict[str, float] = {}
        self._contested: set[str] = set()
        self._free_since: dict[str, float] = {}
        self._warm: dict[str, str] = {}
        self._loads: collections.deque[float] = collections.deque()
        self._highest_epoch = 0
        self._now = 0.0
        self._lost: frozenset[str] = frozenset()
        self._is_started = False
        self._effects: list[orders.Give | orders.AskReport] = []

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
    ) -> list[orders.Give | orders.AskReport]:
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
        self._effects = []
        everyone = {i.name: i for i in present}
        self._note_state(everyone)
        for service in services:
            if service.engine is None:
                continue
            allowed = max(
                1, int(service.engine.loads_per_s * LOAD_WINDOW_S / zones)
            )
            self._trim_loads()
            room = allowed - len(self._loads) if is_started else 10**6
            by_domain = collections.defaultdict(list)
            for instance in everyone.values():
                if instance.service == service.name and (
                    instance.domain in domains
                ):
                    by_domain[instance.domain].append(instance)
            for domain in sorted(by_domain):
                room -= self._plan_domain(
                    by_domain[domain], service.engine, room
                )
        return self._effects

    def take_answer(self, event: orders.OrderAnswered) -> None:
        """Takes the answer to an order."""
        pending = self._pending.get(event.name)
        if pending is None or pending.order != event.order:
            return
        pending.answered = True
        if event.status in (200, 202):
            self._count_accepted(event.name)
        elif event.status >= 400:
            # Someone else's order came first, or the state differs from what
            # was believed: look again before anything else is ordered.
            if isinstance(event.order, orders.Join):
                self._contested.add(event.name)
                self._asked[event.name] = self._now
            del self._pending[event.name]

    def _count_accepted(self, name: str) -> None:
        self._accepted[name] = self._accepted.get(name, 0) + 1

    def take_report(self, event: orders.ReportArrived) -> None:
        """Takes how many orders a server says it has accepted."""
        if event.accepted is not None:
            self._accepted[event.name] = event.accepted
            self._contested.discard(event.name)

    # What the servers tell.

    def _note_state(self, everyone: Mapping[str, instances.Instance]) -> None:
        for gone in [n for n in self._pending if n not in everyone]:
            del self._pending[gone]
        for name in [n for n in self._accepted if n not in everyone]:
            self._accepted.pop(name, None)
            self._warm.pop(name, None)
            self._asked.pop(name, None)
            self._contested.discard(name)
        for name in [n for n in self._free_since if n not in everyone]:
            del self._free_since[name]
        for instance in everyone.values():
            epoch = instance.member.epoch
            self._highest_epoch = max(self._highest_epoch, epoch)
            if instance.has_group and instance.models:
                self._warm[instance.name] = instance.models[0]
            pending = self._pending.get(instance.name)
            if pending is not None and _is_done(pending.order, instance):
                # A heartbeat often tells the effect before the answer comes.
                if not pending.answered:
                    self._count_accepted(instance.name)
                del self._pending[instance.name]
            if instance.has_group:
                self._free_since.pop(instance.name, None)
            else:
                self._free_since.setdefault(instance.name, self._now)

    def _plan_domain(
        self,
        present: list[instances.Instance],
        engine: document_module.Engine,
        room: int,
    ) -> int:
        """Looks after one domain; returns how many loads it started."""
        found = groups_module.collect_groups(present)
        serving: collections.Counter[str] = collections.Counter()
        by_group = collections.defaultdict(list)
        for key in found:
            by_group[key[0]].append(key)
        for key, group in sorted(found.items()):
            if self._look_after(key, group, engine, present):
                serving[self._find_model(key, group)] += 1
        by_name = {i.name: i for i in present}
        for key, forming in list(self._forming.items()):
            if key in found or forming.members[0] not in by_name:
                continue
            if self._now - forming.began_at > EFFECT_WAIT_S:
                del self._forming[key]
                continue
            serving[forming.model] += 1
            self._join_missing(key, forming, by_name)
        return self._use_free(present, engine, serving, room)

    def _find_model(
        self, key: tuple[str, int], group: groups_module.Group
    ) -> str:
        forming = self._forming.get(key)
        return forming.model if forming else group.model

    def _look_after(
        self,
        key: tuple[str, int],
        group: groups_module.Group,
        engine: document_module.Engine,
        present: list[instances.Instance],
    ) -> bool:
        """Opens, keeps or takes apart a group; says whether it will serve."""
        forming = self._forming.get(key)
        if group.name.startswith(WARM_UP_PREFIX):
            self._end_warm_up(group)
            return False
        figures = engine.find_model(self._find_model(key, group))
        if figures is None:
            if forming is None:
                self._take_apart(group)
            return False
        living = {
            rank: member
            for rank, member in group.members.items()
            if member.name not in self._lost
        }
        if len(living) < len(group.members):
            self._take_apart(group)
            return False
        if any(
            member.phase == instances.PHASE_DRAINING
            for member in living.values()
        ):
            self._retire(group)
            return False
        if len(living) < figures.group_size:
            if forming and self._now - forming.began_at < forming.limit_s:
                by_name = {i.name: i for i in present}
                if self._join_missing(key, forming, by_name):
                    return True
            self._take_apart(group)
            return False
        head = group.head
        assert head is not None
        match head.member.state:
            case instances.GROUP_OPEN:
                self._forming.pop(key, None)
                return True
            case instances.GROUP_BROKEN | instances.GROUP_CLOSING:
                self._take_apart(group)
                return False
        if groups_module.is_complete(group, figures.group_size):
            self._give(head, orders.Open(group.name, group.epoch))
        elif forming and self._now - forming.began_at > forming.limit_s:
            self._take_apart(group)
            return False
        elif forming is None and self._now:
            # Another planner formed it; it has as long as any model takes.
            self._forming[key] = _Forming(
                figures.name,
                tuple(m.name for _, m in sorted(group.members.items())),
                self._now,
                figures.load_s + FORM_SLACK_S,
            )
        return True

    def _join_missing(
        self,
        key: tuple[str, int],
        forming: _Forming,
        by_name: Mapping[str, instances.Instance],
    ) -> bool:
        """Orders members again that have not joined; says whether they can."""
        order = orders.Join(key[0], key[1], forming.model, forming.members)
        for name in forming.members:
            member = by_name.get(name)
            if member is None or name in self._lost:
                return False
            if member.has_group:
                if (member.member.group, member.member.epoch) != key:
                    return False
            elif name in self._contested:
                self._ask(member)
            else:
                self._give(member, order)
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
                self._give(
                    head, orders.Close(group.name, group.epoch, cut=True)
                )
            elif head.member.state != instances.GROUP_CLOSING:
                self._give(head, orders.Leave(group.name, group.epoch))
            return
        for member in group.members.values():
            if member.name not in self._lost:
                self._give(member, orders.Leave(group.name, group.epoch))

    def _retire(self, group: groups_module.Group) -> None:
        """Ends a group one of whose members is leaving, after its work."""
        head = group.head
        if head is None or head.name in self._lost:
            self._take_apart(group)
            return
        match head.member.state:
            case instances.GROUP_OPEN:
                self._give(
                    head, orders.Close(group.name, group.epoch, cut=False)
                )
            case instances.GROUP_CLOSING:
                pass
            case _:
                self._take_apart(group)

    # Free servers.

    def _end_warm_up(self, group: groups_module.Group) -> None:
        """Frees a standby that has the weights in memory now."""
        head = group.head
        if (
            head is not None
            and head.name not in self._lost
            and head.member.state != instances.GROUP_JOINING
        ):
            self._give(head, orders.Leave(group.name, group.epoch))

    def _use_free(
        self,
        present: list[instances.Instance],
        engine: document_module.Engine,
        serving: collections.Counter[str],
        room: int,
    ) -> int:
        free = [
            i
            for i in present
            if not i.has_group
            and i.phase == instances.PHASE_READY
            and i.name not in self._lost
            and not self._is_busy(i)
        ]
        alive = [
            i
            for i in present
            if i.phase == instances.PHASE_READY and i.name not in self._lost
        ]
        loads = 0
        for figures in self._list_wanted(len(alive), engine, serving):
            if len(free) < figures.group_size:
                continue
            self._sort_free(free, figures.name)
            chosen = free[: figures.group_size]
            needed = [i for i in chosen if self._rate(i, figures.name) == _COLD]
            if len(needed) > room - loads:
                continue
            if needed and self._is_started:
                # They stage beside, and may still stand in for others.
                for instance in needed:
                    loads += self._stage(instance, figures.name)
                free = free[figures.group_size :]
            elif self._form(chosen, figures, bool(needed)):
                free = free[figures.group_size :]
        loads += self._stage_spares(free, engine, serving, room - loads)
        return loads

    def _sort_free(self, free: list[instances.Instance], model: str) -> None:
        free.sort(key=lambda i: (self._rate(i, model), i.name))

    def _is_busy(self, instance: instances.Instance) -> bool:
        """Says whether an order is under way that would come in between."""
        pending = self._pending.get(instance.name)
        if pending is None:
            return False
        if isinstance(pending.order, orders.Stage):
            return False
        return self._now - pending.given_at < EFFECT_WAIT_S

    def _list_wanted(
        self,
        count: int,
        engine: document_module.Engine,
        serving: collections.Counter[str],
    ) -> list[document_module.ModelFigures]:
        """Returns models to form groups of, the most missed first.

        The VMs that are not kept as standbys are split over the models by
        their shares; each model has at least one group before any has more.
        """
        usable = count - round(self._policy.spare_share * count)
        used = {m.name: serving[m.name] * m.group_size for m in engine.models}
        wanted: list[document_module.ModelFigures] = []
        while True:
            left = usable - sum(used.values())
            fitting = [
                m
                for m in engine.models
                if m.group_size <= left
                or (not used[m.name] and m.group_size <= left + count - usable)
            ]
            if not fitting:
                return wanted
            best = min(
                fitting,
                key=lambda m: (used[m.name] / max(m.share, 0.01), m.name),
            )
            used[best.name] += best.group_size
            wanted.append(best)

    def _rate(self, instance: instances.Instance, model: str) -> int:
        """Returns how far a server is from serving a model; 0 is nearest."""
        if self._warm.get(instance.name) == model:
            return _WARM
        return _STAGED if model in instance.staged else _COLD

    def _form(
        self,
        chosen: list[instances.Instance],
        figures: document_module.ModelFigures,
        has_loads: bool,
    ) -> bool:
        # A life begins without orders; only a refusal shows that another
        # planner gave some.
        contested = [i for i in chosen if i.name in self._contested]
        for instance in contested:
            self._ask(instance)
        if contested:
            return False
        epoch = self._make_epoch()
        name = f"g{epoch}"
        members = tuple(i.name for i in chosen)
        limit_s = figures.load_s if has_loads else figures.warm_s
        self._forming[name, epoch] = _Forming(
            figures.name, members, self._now, limit_s + FORM_SLACK_S
        )
        for instance in chosen:
            self._give(
                instance, orders.Join(name, epoch, figures.name, members)
            )
        return True

    def _stage_spares(
        self,
        free: list[instances.Instance],
        engine: document_module.Engine,
        serving: collections.Counter[str],
        room: int,
    ) -> int:
        """Lets standbys hold weights, so that they can stand in at once.

        A model's groups lose a member the more often the more VMs they have,
        so the standbys are split by the VMs that serve each model.
        """
        loads = 0
        held = collections.Counter(
            model for i in free for model in i.staged[:1]
        )
        for instance in sorted(free, key=lambda i: i.name):
            if (
                self._now - self._free_since.get(instance.name, self._now)
                < IDLE_BEFORE_STAGE_S
            ):
                continue
            if instance.staged:
                if self._rate(instance, instance.staged[0]) == _STAGED:
                    self._warm_up(instance, instance.staged[0])
                continue
            if loads >= room:
                continue
            model = max(
                engine.models,
                key=lambda m: (
                    max(1, serving[m.name]) * m.group_size / (1 + held[m.name]),
                    m.name,
                ),
            )
            held[model.name] += 1
            loads += self._stage(instance, model.name)
        return loads

    def _stage(self, instance: instances.Instance, model: str) -> int:
        """Orders a load beside; returns how many loads that starts."""
        order = orders.Stage(model)
        pending = self._pending.get(instance.name)
        if pending is not None and pending.order == order:
            return 0
        self._give(instance, order)
        self._loads.append(self._now)
        return 1

    def _warm_up(self, instance: instances.Instance, model: str) -> None:
        """Brings staged weights into memory, in a group of one.

        A server whose last group had the model joins another one of it in
        0.2 s instead of the time to load it from its VM (1.1 to 1.6 s).
        """
        if instance.name in self._contested:
            self._ask(instance)
            return
        epoch = self._make_epoch()
        name = f"{WARM_UP_PREFIX}{epoch}"
        self._give(instance, orders.Join(name, epoch, model, (instance.name,)))

    def _make_epoch(self) -> int:
        step = self._highest_epoch // EPOCH_STEP + 1
        self._highest_epoch = step * EPOCH_STEP + self._number
        return self._highest_epoch

    # Orders.

    def _ask(self, instance: instances.Instance) -> None:
        if self._now - self._asked.get(instance.name, -1e9) < ASK_PERIOD_S:
            return
        self._asked[instance.name] = self._now
        self._effects.append(orders.AskReport(instance.name, instance.address))

    def _give(self, instance: instances.Instance, order: orders.Order) -> None:
        pending = self._pending.get(instance.name)
        if pending is not None and pending.order == order:
            wait_s = EFFECT_WAIT_S if pending.answered else ORDER_RETRY_S
            if self._now - pending.given_at < wait_s:
                return
        self._pending[instance.name] = _Pending(order, self._now)
        expected = None
        if isinstance(order, orders.Join):
            expected = self._accepted.get(instance.name, 0)
        self._effects.append(
            orders.Give(instance.name, instance.address, order, expected)
        )

    def _trim_loads(self) -> None:
        while self._loads and self._now - self._loads[0] > LOAD_WINDOW_S:
            self._loads.popleft()


_WARM, _STAGED, _COLD = 0, 1, 2


def _is_done(order: orders.Order, instance: instances.Instance) -> bool:
    """Says whether a server tells that an order has had its effect."""
    member = instance.member
    match order:
        case orders.Join(group, epoch):
            return (member.group, member.epoch) == (group, epoch)
        case orders.Open(group, epoch):
            return (
                member.group,
                member.epoch,
                member.state,
            ) != (group, epoch, instances.GROUP_READY)
        case orders.Close(group, epoch):
            return (
                member.group,
                member.epoch,
                member.state,
            ) != (group, epoch, instances.GROUP_OPEN)
        case orders.Leave(group, epoch):
            return (member.group, member.epoch) != (group, epoch)
        case orders.Stage(model):
            return model in instance.staged
