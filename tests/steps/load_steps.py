"""Steps about loads from the weight store."""

from __future__ import annotations

import attrs
from behave import given, then, when
from support import fleetworld

from hickorylead.fleet import former, instances, loads, orders, planner

LOAD_S = 14.0
STEP_S = 0.25


def make_server(name, **changes):
    """Returns an empty server."""
    return instances.Instance(
        name, "model", f"{name}:1", "z1", "d1", sequence=1, **changes
    )


class Store:
    """A weight store that shares its speed among loads beyond a number."""

    def __init__(self, at_once):
        self.at_once = at_once
        # What is left of each load at full speed, in seconds.
        self.left: dict[str, float] = {}

    def advance(self, seconds):
        """Lets time pass; returns the loads that ended."""
        speed = min(1.0, self.at_once / max(1, len(self.left)))
        for name in self.left:
            self.left[name] -= seconds * speed
        ended = [name for name, left in self.left.items() if left <= 0]
        for name in ended:
            del self.left[name]
        return ended


@given("a store that serves 7 loads at once, shared by 3 coordinators")
def _(context):
    context.engine = attrs.evolve(fleetworld.ENGINE, loads_at_once=7)


@given("each has {count:d} servers that serve and lack the other model")
def _(context, count):
    context.beside = [
        {f"c{number}s{n}" for n in range(count)} for number in range(3)
    ]


@when("one of them gets an empty server each 3 seconds for a minute")
def _(context):
    store = Store(7)
    budgets = [loads.LoadBudget() for _ in range(3)]
    own: list[set[str]] = [set(), set(), set()]
    empty: dict[str, float] = {}
    context.took = []
    now, came = 0.0, 0
    while now < 60.0:
        if now >= 3.0 * came:
            empty[f"e{came}"] = now
            came += 1
        for name in store.advance(STEP_S):
            for part in own:
                part.discard(name)
            if name in empty:
                context.took.append(now - empty.pop(name))
        for number, budget in enumerate(budgets):
            elsewhere = sum(map(len, own)) - len(own[number])
            budget.open(
                context.engine, planners=3, elsewhere=elsewhere, now=now
            )
            for name in context.beside[number] - set(store.left):
                wish = loads.Wish(make_server(name), "other", loads.Need.BESIDE)
                budget.wish(wish)
            for name in empty:
                if number == 0 and name not in store.left:
                    wish = loads.Wish(
                        make_server(name), "model", loads.Need.STANDBY
                    )
                    budget.wish(wish)
            for wish in budget.grant(len(own[number])):
                budget.spend(now)
                store.left[wish.instance.name] = LOAD_S
                own[number].add(wish.instance.name)
                context.beside[number].discard(wish.instance.name)
        now += STEP_S


@then("the empty servers hold their model within {limit:g} seconds each")
def _(context, limit):
    assert len(context.took) >= 14, context.took
    assert max(context.took) <= limit, context.took


@then("one that is told of {elsewhere:d} loads elsewhere starts {count:d}")
def _(context, elsewhere, count):
    assert count_started(context, 3, elsewhere) == count


@then("one that hears of no other starts {count:d}")
def _(context, count):
    assert count_started(context, 1, 0) == count


def count_started(context, planners, elsewhere):
    """Returns how many of 12 wanted loads a planner starts."""
    budget = loads.LoadBudget()
    engine = attrs.evolve(context.engine, loads_per_s=10.0)
    budget.open(engine, planners=planners, elsewhere=elsewhere, now=0.0)
    for number in range(12):
        server = make_server(f"i{number}")
        budget.wish(loads.Wish(server, "large", loads.Need.STANDBY))
    return len(budget.grant(0))


@then("loads start for the second group, the first, the standby, no other")
def _(context):
    budget = loads.LoadBudget()
    budget.open(context.engine, planners=1, elsewhere=0, now=0.0)
    wishes = [
        ("a", loads.Need.BESIDE, 0),
        ("b", loads.Need.STANDBY, 0),
        ("c", loads.Need.GROUP, 2),
        ("d", loads.Need.GROUP, 1),
    ]
    for name, need, missing in wishes:
        budget.wish(loads.Wish(make_server(name), "large", need, missing))
    names = [wish.instance.name for wish in budget.grant(0)]
    assert names == ["d", "c", "b"], names


@given("a planner whose order to an empty server gets no answer")
def _(context):
    context.subject = planner.Planner(
        number=1, policy=former.Policy(), life="a1"
    )
    context.server = make_server("i1")
    context.given = play_rounds(context, 10.0, 15.0)


def play_rounds(context, first, last):
    """Returns the times and orders to stage that are given in a stretch."""
    service = fleetworld.document.Service("model", engine=fleetworld.ENGINE)
    found = []
    now = first
    while now < last:
        orders_given = context.subject.plan(
            present=[context.server],
            services=[service],
            domains=frozenset({"d1"}),
            lost=frozenset(),
            planners=1,
            is_started=True,
            now=now,
        )
        found += [
            (now, item)
            for item in orders_given
            if isinstance(item, orders.Give)
            and isinstance(item.order, orders.Stage)
        ]
        now += STEP_S
    return found


@then("the order is given again after 2 seconds, with the same number")
def _(context):
    (first, one), (second, other), *_ = context.given
    assert 2.0 <= second - first <= 2.5, (first, second)
    assert one == other


@then("not while an answered load goes on")
def _(context):
    _, item = context.given[-1]
    answer = orders.OrderAnswered(item.name, item.order, 202)
    context.subject.take_answer(answer)
    assert not play_rounds(context, 15.0, 30.0)
