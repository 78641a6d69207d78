"""Steps about loads from the weight store."""

from __future__ import annotations

import attrs
from behave import given, then, when
from support import fleet_simulation

from hickorylead.fleet import (
    events,
    group_builder,
    instances,
    loads,
    orders,
    planner,
)

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
    context.engine = attrs.evolve(
        fleet_simulation.ENGINE, max_concurrent_loads=7
    )


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
            mine = len(own[number])
            under_way = loads.LoadsInProgress(mine, sum(map(len, own)) - mine)
            budget.begin_round(
                context.engine, planners=3, in_progress=under_way, now=now
            )
            for name in context.beside[number] - set(store.left):
                wish = loads.LoadRequest(
                    make_server(name), "other", loads.LoadPriority.SECONDARY
                )
                budget.request(wish)
            for name in empty:
                if number == 0 and name not in store.left:
                    wish = loads.LoadRequest(
                        make_server(name), "model", loads.LoadPriority.STANDBY
                    )
                    budget.request(wish)
            for wish in budget.grant():
                budget.record_start(now)
                store.left[wish.instance.name] = LOAD_S
                own[number].add(wish.instance.name)
                context.beside[number].discard(wish.instance.name)
        now += STEP_S


@then("the empty servers hold their model within {limit:g} seconds each")
def _(context, limit):
    assert len(context.took) >= 14, context.took
    assert max(context.took) <= limit, context.took


@then(
    "a coordinator with {elsewhere:d} loads reported elsewhere starts {count:d}"
)
def _(context, elsewhere, count):
    assert count_started(context, 3, elsewhere) == count


@then("a coordinator without peers starts {count:d}")
def _(context, count):
    assert count_started(context, 1, 0) == count


def count_started(context, planners, elsewhere):
    """Returns how many of 12 wanted loads a planner starts."""
    budget = loads.LoadBudget()
    engine = attrs.evolve(context.engine, max_load_starts_per_s=10.0)
    under_way = loads.LoadsInProgress(0, elsewhere)
    budget.begin_round(
        engine, planners=planners, in_progress=under_way, now=0.0
    )
    for number in range(12):
        server = make_server(f"i{number}")
        budget.request(
            loads.LoadRequest(server, "large", loads.LoadPriority.STANDBY)
        )
    return len(budget.grant())


@then("loads start for the second group, the first, the standby, no other")
def _(context):
    budget = loads.LoadBudget()
    under_way = loads.LoadsInProgress(0, 0)
    budget.begin_round(
        context.engine, planners=1, in_progress=under_way, now=0.0
    )
    wishes = [
        ("a", loads.LoadPriority.SECONDARY, 0),
        ("b", loads.LoadPriority.STANDBY, 0),
        ("c", loads.LoadPriority.GROUP, 2),
        ("d", loads.LoadPriority.GROUP, 1),
    ]
    for name, need, missing in wishes:
        budget.request(
            loads.LoadRequest(make_server(name), "large", need, missing)
        )
    names = [wish.instance.name for wish in budget.grant()]
    assert names == ["d", "c", "b"], names


@given("a planner whose order to an empty server gets no response")
def _(context):
    context.subject = make_planner()
    context.server = make_server("i1")
    context.given = play_rounds(context, 10.0, 15.0)


def play_rounds(context, first, last):
    """Returns the times and orders to stage that are given in a stretch."""
    found = []
    now = first
    while now < last:
        found += [
            (now, item)
            for item in plan_round(context.subject, [context.server], now)
            if isinstance(item, orders.SendOrder)
            and isinstance(item.order, orders.Stage)
        ]
        now += STEP_S
    return found


@then("the order is sent again after 2 seconds, with the same number")
def _(context):
    (first, one), (second, other), *_ = context.given
    assert 2.0 <= second - first <= 2.5, (first, second)
    assert one == other


@then("not while an accepted load is in progress")
def _(context):
    _, item = context.given[-1]
    answer = orders.OrderAnswered(item.name, item.order, 202)
    context.subject.handle_response(answer)
    assert not play_rounds(context, 15.0, 30.0)


# What becomes of free servers while something loads.


def make_member(name, group, rank, state, model, staged):
    """Returns a server in a group."""
    return make_server(
        name,
        models=(model,),
        staged=(staged,) if staged else (),
        member=instances.Membership(group, int(group[1:]), rank, state),
    )


def make_small_group(number, state=instances.GROUP_OPEN):
    """Returns the two members of a small group that have large staged."""
    group = f"g{64 * number}"
    return [
        make_member(f"{group}a", group, 0, state, "small", "large"),
        make_member(
            f"{group}b", group, 1, instances.GROUP_READY, "small", "large"
        ),
    ]


def make_warm(count):
    """Returns free servers with small in memory."""
    return [
        make_server(f"w{n}", last_model="small", staged=("small",))
        for n in range(count)
    ]


def plan_round(
    subject, present, now, *, engine=fleet_simulation.ENGINE, lost=()
):
    """Returns what a planner gives in one round."""
    return subject.plan(
        present=present,
        services=[fleet_simulation.document.Service("model", engine=engine)],
        domains=frozenset({"d1"}),
        lost=frozenset(lost),
        planners=1,
        has_traffic=True,
        now=now,
    )


def list_given(given, kind):
    """Returns the orders of a kind, by server."""
    return {
        item.name: item.order
        for item in given
        if isinstance(item, orders.SendOrder) and isinstance(item.order, kind)
    }


@given("a domain with one small group, 4 free servers warm with small, 2 empty")
def _(context):
    context.subject = make_planner()
    empty = [make_server("e0"), make_server("e1")]
    context.present = [*make_small_group(1), *make_warm(4), *empty]


def make_planner():
    """Returns a planner that has given no orders."""
    return planner.Planner(
        number=1, policy=group_builder.StandbyPolicy(), start_id="a1"
    )


@then("two more small groups are formed, and the empty ones load large")
def _(context):
    plan_round(context.subject, context.present, 10.0)
    given = plan_round(make_planner(), context.present, 12.0)
    joins = list_given(given, orders.Join)
    assert sorted(joins) == ["w0", "w1", "w2", "w3"], joins
    assert {o.model for o in joins.values()} == {"small"}
    assert len({o.group for o in joins.values()}) == 2
    staged = list_given(given, orders.Stage)
    assert {n: o.model for n, o in staged.items() if n[0] == "e"} == {
        "e0": "large",
        "e1": "large",
    }, staged


@given("a domain with three small groups that have large staged")
def _(context):
    context.subject = make_planner()
    context.groups = [make_small_group(n) for n in (1, 2, 3)]


@then("two small groups are retired")
def _(context):
    present = [m for group in context.groups for m in group]
    closes = list_given(
        plan_round(context.subject, present, 10.0), orders.Close
    )
    assert len(closes) == 2, closes
    assert not any(o.cut for o in closes.values())
    context.closed = {o.group for o in closes.values()}


@then("once they have ended a large group is formed")
def _(context):
    present = [m for group in context.groups for m in group]
    ended = [
        attrs.evolve(
            member,
            sequence=2,
            models=(),
            member=instances.Membership(),
            last_model="small",
        )
        if member.member.group in context.closed
        else member
        for member in present
    ]
    joins = list_given(plan_round(context.subject, ended, 12.0), orders.Join)
    assert len(joins) == 3, joins
    assert {o.model for o in joins.values()} == {"large"}


@given("a domain where a small group is retired to complete a large one")
def _(context):
    context.subject = make_planner()
    closing = make_small_group(1, instances.GROUP_CLOSING)
    free = [
        make_server(f"f{n}", last_model="large", staged=("small",))
        for n in range(2)
    ]
    context.present = [*make_small_group(2), *closing, *free]


@then("its free servers are left free")
def _(context):
    given = plan_round(context.subject, context.present, 10.0)
    assert not list_given(given, orders.Join), given


@given("a planner whose loads are refused by three empty servers")
def _(context):
    context.subject = make_planner()
    context.present = [make_server(f"e{n}") for n in range(3)]
    context.again = {}
    now = 10.0
    while now < 20.0:
        given = plan_round(context.subject, context.present, now)
        for name, order in list_given(given, orders.Stage).items():
            context.again[name] = context.again.get(name, 0) + 1
            answer = orders.OrderAnswered(name, order, 409)
            context.subject.handle_response(answer)
        now += STEP_S


@then("it counts 3 loads in progress and orders none of them again")
def _(context):
    assert len(context.subject._tracker.list_loading()) == 3
    assert context.again == {"e0": 1, "e1": 1, "e2": 1}, context.again


@given("three coordinators, one of which ordered an empty server to load")
def _(context):
    context.world = fleet_simulation.FleetSimulation()
    context.world.bootstrap()
    context.server = make_server("i1")
    world, node = context.world, context.world.coordinator_names[0]
    world.apply(node, events.HeartbeatArrived(context.server))
    order = orders.Stage("large")
    world.apply(node, orders.OrderAnswered("i1", order, 202))
    world.run(1.2)


@when("it restarts with what its disk holds")
def _(context):
    world, node = context.world, context.world.coordinator_names[0]
    world.kill(node)
    world.start(node)
    world.run(0.1)


@then("all three list the server as loading until it reports the model")
def _(context):
    world = context.world
    for role in world.coordinators.values():
        assert role.registry.instances["i1"].loading == "large"
    told = attrs.evolve(context.server, sequence=9, staged=("large",))
    world.apply(world.coordinator_names[0], events.HeartbeatArrived(told))
    world.run(0.1)
    for role in world.coordinators.values():
        assert not role.registry.instances["i1"].loading


@given(
    "a planner of five empty servers and a store that serves 3 loads at once"
)
def _(context):
    context.subject = make_planner()
    context.present = [make_server(f"e{n}") for n in range(5)]


def plan_small_store(context, now, lost=()):
    """Returns the servers told to load, with a store of 3 loads at once."""
    engine = attrs.evolve(
        fleet_simulation.ENGINE,
        max_concurrent_loads=3,
        max_load_starts_per_s=10.0,
    )
    given = plan_round(
        context.subject, context.present, now, engine=engine, lost=lost
    )
    return set(list_given(given, orders.Stage))


@when("three of them load and two of these are lost")
def _(context):
    context.first = plan_small_store(context, 10.0)
    assert len(context.first) == 3, context.first
    for name in context.first:
        order = context.subject._tracker._pending[name].order
        answer = orders.OrderAnswered(name, order, 202)
        context.subject.handle_response(answer)
    context.present = [
        attrs.evolve(s, loading="large" if s.name in context.first else "")
        for s in context.present
    ]
    assert not plan_small_store(context, 12.0)


@then("the other two are ordered to load")
def _(context):
    lost = sorted(context.first)[:2]
    others = {s.name for s in context.present} - context.first
    assert plan_small_store(context, 14.0, lost) == others


@when("a load is requested for a group that lacks 3 and one that lacks 1")
def _(context):
    context.budget = loads.LoadBudget()
    under_way = loads.LoadsInProgress(0, 0)
    context.budget.begin_round(
        context.engine, planners=3, in_progress=under_way, now=0.0
    )
    for model, missing in (("large", 3), ("small", 1), ("large", 2)):
        wish = loads.LoadRequest(
            make_server("e0"), model, loads.LoadPriority.GROUP, missing
        )
        context.budget.request(wish)


@then("the server loads for the group that lacks 1")
def _(context):
    models = [wish.model for wish in context.budget.grant()]
    assert models == ["small"], models
