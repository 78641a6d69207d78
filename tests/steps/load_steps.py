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


class WeightStore:
    """A weight store that loads more slowly beyond a number of loads."""

    def __init__(self, capacity):
        self.capacity = capacity
        # Time that each load still needs at full speed, in seconds.
        self.remaining_s: dict[str, float] = {}

    def advance(self, seconds):
        """Advances the loads in progress; returns those that completed."""
        speed = min(1.0, self.capacity / max(1, len(self.remaining_s)))
        for name in self.remaining_s:
            self.remaining_s[name] -= seconds * speed
        completed = [n for n, left_s in self.remaining_s.items() if left_s <= 0]
        for name in completed:
            del self.remaining_s[name]
        return completed


@given("a store that serves 7 loads at once, shared by 3 coordinators")
def _(context):
    context.engine = attrs.evolve(
        fleet_simulation.ENGINE, max_concurrent_loads=7
    )


@given(
    "each coordinator has {count:d} servers that serve and lack the other model"
)
def _(context, count):
    context.secondary = [
        {f"c{number}s{n}" for n in range(count)} for number in range(3)
    ]


@when("one coordinator gets an empty server every 3 seconds for a minute")
def _(context):
    store = WeightStore(7)
    budgets = [loads.LoadBudget() for _ in range(3)]
    active: list[set[str]] = [set(), set(), set()]
    empty: dict[str, float] = {}
    context.waits_s = []
    now, started = 0.0, 0
    while now < 60.0:
        if now >= 3.0 * started:
            empty[f"e{started}"] = now
            started += 1
        for name in store.advance(STEP_S):
            for names in active:
                names.discard(name)
            if name in empty:
                context.waits_s.append(now - empty.pop(name))
        for number, budget in enumerate(budgets):
            own = len(active[number])
            in_progress = loads.LoadsInProgress(
                own, sum(map(len, active)) - own
            )
            budget.begin_round(
                context.engine, planners=3, in_progress=in_progress, now=now
            )
            for name in context.secondary[number] - set(store.remaining_s):
                request = loads.LoadRequest(
                    make_server(name), "other", loads.LoadPriority.SECONDARY
                )
                budget.request(request)
            for name in empty:
                if number == 0 and name not in store.remaining_s:
                    request = loads.LoadRequest(
                        make_server(name), "model", loads.LoadPriority.STANDBY
                    )
                    budget.request(request)
            for request in budget.grant():
                budget.record_start(now)
                store.remaining_s[request.instance.name] = LOAD_S
                active[number].add(request.instance.name)
                context.secondary[number].discard(request.instance.name)
        now += STEP_S


@then("each empty server holds its model within {limit:g} seconds")
def _(context, limit):
    assert len(context.waits_s) >= 14, context.waits_s
    assert max(context.waits_s) <= limit, context.waits_s


@then(
    "a coordinator with {elsewhere:d} loads reported elsewhere starts {count:d}"
)
def _(context, elsewhere, count):
    assert count_started(context, 3, elsewhere) == count


@then("a coordinator without peers starts {count:d}")
def _(context, count):
    assert count_started(context, 1, 0) == count


def count_started(context, planners, elsewhere):
    """Returns how many of 12 requested loads a planner starts."""
    budget = loads.LoadBudget()
    engine = attrs.evolve(context.engine, max_load_starts_per_s=10.0)
    in_progress = loads.LoadsInProgress(0, elsewhere)
    budget.begin_round(
        engine, planners=planners, in_progress=in_progress, now=0.0
    )
    for number in range(12):
        server = make_server(f"i{number}")
        budget.request(
            loads.LoadRequest(server, "large", loads.LoadPriority.STANDBY)
        )
    return len(budget.grant())


@then(
    "loads start in this order: for the second group, the first group, the "
    "standby; no others start"
)
def _(context):
    budget = loads.LoadBudget()
    in_progress = loads.LoadsInProgress(0, 0)
    budget.begin_round(
        context.engine, planners=1, in_progress=in_progress, now=0.0
    )
    requests = [
        ("a", loads.LoadPriority.SECONDARY, 0),
        ("b", loads.LoadPriority.STANDBY, 0),
        ("c", loads.LoadPriority.GROUP, 2),
        ("d", loads.LoadPriority.GROUP, 1),
    ]
    for name, priority, missing in requests:
        budget.request(
            loads.LoadRequest(make_server(name), "large", priority, missing)
        )
    names = [request.instance.name for request in budget.grant()]
    assert names == ["d", "c", "b"], names


@given("a planner whose order to an empty server gets no response")
def _(context):
    context.subject = make_planner()
    context.server = make_server("i1")
    context.issued = run_rounds(context, 10.0, 15.0)


def run_rounds(context, first, last):
    """Returns the stage orders issued from `first` to `last`, with times."""
    issued = []
    now = first
    while now < last:
        issued += [
            (now, item)
            for item in plan_round(context.subject, [context.server], now)
            if isinstance(item, orders.SendOrder)
            and isinstance(item.order, orders.Stage)
        ]
        now += STEP_S
    return issued


@then("the order is sent again after 2 seconds, with the same number")
def _(context):
    (first_at, first), (second_at, second), *_ = context.issued
    assert 2.0 <= second_at - first_at <= 2.5, (first_at, second_at)
    assert first == second


@then("the order is not sent again while an accepted load is in progress")
def _(context):
    _, item = context.issued[-1]
    response = orders.OrderAnswered(item.name, item.order, 202)
    context.subject.handle_response(response)
    assert not run_rounds(context, 15.0, 30.0)


# Planning of free servers while other servers load.


def make_member(name, group, rank, state, model, staged):
    """Returns a server in a group."""
    return make_server(
        name,
        models=(model,),
        staged=(staged,) if staged else (),
        member=instances.Membership(group, int(group[1:]), rank, state),
    )


def make_small_group(number, state=instances.GROUP_OPEN):
    """Returns a small group's two members, with the large model staged."""
    group = f"g{64 * number}"
    return [
        make_member(f"{group}a", group, 0, state, "small", "large"),
        make_member(
            f"{group}b", group, 1, instances.GROUP_READY, "small", "large"
        ),
    ]


def make_warm_servers(count):
    """Returns free servers that hold the small model in memory."""
    return [
        make_server(f"w{n}", last_model="small", staged=("small",))
        for n in range(count)
    ]


def plan_round(
    subject, present, now, *, engine=fleet_simulation.ENGINE, lost=()
):
    """Returns the effects of one planning round."""
    return subject.plan(
        present=present,
        services=[fleet_simulation.document.Service("model", engine=engine)],
        domains=frozenset({"d1"}),
        lost=frozenset(lost),
        planners=1,
        has_traffic=True,
        now=now,
    )


def list_orders(effects, kind):
    """Returns the orders of one type, by server."""
    return {
        item.name: item.order
        for item in effects
        if isinstance(item, orders.SendOrder) and isinstance(item.order, kind)
    }


@given(
    "a domain with one small group, 4 free servers with the small model in "
    "memory and 2 empty servers"
)
def _(context):
    context.subject = make_planner()
    empty = [make_server("e0"), make_server("e1")]
    context.present = [*make_small_group(1), *make_warm_servers(4), *empty]


def make_planner():
    """Returns a planner that has issued no orders."""
    return planner.Planner(
        number=1, policy=group_builder.StandbyPolicy(), start_id="a1"
    )


@then(
    "two more small groups are formed, and the empty servers load the large "
    "model"
)
def _(context):
    plan_round(context.subject, context.present, 10.0)
    effects = plan_round(make_planner(), context.present, 12.0)
    joins = list_orders(effects, orders.Join)
    assert sorted(joins) == ["w0", "w1", "w2", "w3"], joins
    assert {o.model for o in joins.values()} == {"small"}
    assert len({o.group for o in joins.values()}) == 2
    staged = list_orders(effects, orders.Stage)
    assert {n: o.model for n, o in staged.items() if n[0] == "e"} == {
        "e0": "large",
        "e1": "large",
    }, staged


@given("a domain with three small groups that have the large model staged")
def _(context):
    context.subject = make_planner()
    context.groups = [make_small_group(n) for n in (1, 2, 3)]


@then("two small groups are retired")
def _(context):
    present = [m for group in context.groups for m in group]
    closes = list_orders(
        plan_round(context.subject, present, 10.0), orders.Close
    )
    assert len(closes) == 2, closes
    assert not any(o.cut for o in closes.values())
    context.retired = {o.group for o in closes.values()}


@then("a large group is formed once the retired groups have ended")
def _(context):
    present = [m for group in context.groups for m in group]
    reported = [
        attrs.evolve(
            member,
            sequence=2,
            models=(),
            member=instances.Membership(),
            last_model="small",
        )
        if member.member.group in context.retired
        else member
        for member in present
    ]
    joins = list_orders(
        plan_round(context.subject, reported, 12.0), orders.Join
    )
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


@then("no group is formed from the free servers")
def _(context):
    effects = plan_round(context.subject, context.present, 10.0)
    assert not list_orders(effects, orders.Join), effects


@given("a planner whose load orders are refused by three empty servers")
def _(context):
    context.subject = make_planner()
    context.present = [make_server(f"e{n}") for n in range(3)]
    context.order_counts = {}
    now = 10.0
    while now < 20.0:
        effects = plan_round(context.subject, context.present, now)
        for name, order in list_orders(effects, orders.Stage).items():
            context.order_counts[name] = context.order_counts.get(name, 0) + 1
            response = orders.OrderAnswered(name, order, 409)
            context.subject.handle_response(response)
        now += STEP_S


@then("the planner counts 3 loads in progress and orders none of them again")
def _(context):
    assert len(context.subject._tracker.list_loading()) == 3
    assert context.order_counts == {"e0": 1, "e1": 1, "e2": 1}, (
        context.order_counts
    )


@given("three coordinators, one of which ordered an empty server to load")
def _(context):
    context.simulation = fleet_simulation.FleetSimulation()
    context.simulation.bootstrap()
    context.server = make_server("i1")
    simulation, node = (
        context.simulation,
        context.simulation.coordinator_names[0],
    )
    simulation.apply(node, events.HeartbeatArrived(context.server))
    order = orders.Stage("large")
    simulation.apply(node, orders.OrderAnswered("i1", order, 202))
    simulation.run(1.2)


@when("that coordinator restarts with what its disk holds")
def _(context):
    simulation, node = (
        context.simulation,
        context.simulation.coordinator_names[0],
    )
    simulation.kill(node)
    simulation.start(node)
    simulation.run(0.1)


@then("all three list the server as loading until it reports the model")
def _(context):
    simulation = context.simulation
    for role in simulation.coordinators.values():
        assert role.registry.instances["i1"].loading == "large"
    reported = attrs.evolve(context.server, sequence=9, staged=("large",))
    simulation.apply(
        simulation.coordinator_names[0], events.HeartbeatArrived(reported)
    )
    simulation.run(0.1)
    for role in simulation.coordinators.values():
        assert not role.registry.instances["i1"].loading


@given(
    "a planner of five empty servers and a store that serves 3 loads at once"
)
def _(context):
    context.subject = make_planner()
    context.present = [make_server(f"e{n}") for n in range(5)]


def plan_small_store(context, now, lost=()):
    """Returns the servers ordered to load, with a store of 3 loads at once."""
    engine = attrs.evolve(
        fleet_simulation.ENGINE,
        max_concurrent_loads=3,
        max_load_starts_per_s=10.0,
    )
    effects = plan_round(
        context.subject, context.present, now, engine=engine, lost=lost
    )
    return set(list_orders(effects, orders.Stage))


@when("three of the servers load and two of these three are lost")
def _(context):
    context.first = plan_small_store(context, 10.0)
    assert len(context.first) == 3, context.first
    for name in context.first:
        order = context.subject._tracker._pending[name].order
        response = orders.OrderAnswered(name, order, 202)
        context.subject.handle_response(response)
    context.present = [
        attrs.evolve(s, loading="large" if s.name in context.first else "")
        for s in context.present
    ]
    assert not plan_small_store(context, 12.0)


@then("the other two servers are ordered to load")
def _(context):
    lost = sorted(context.first)[:2]
    others = {s.name for s in context.present} - context.first
    assert plan_small_store(context, 14.0, lost) == others


@when(
    "one server's load is requested for a group that lacks 3 and one that "
    "lacks 1"
)
def _(context):
    context.budget = loads.LoadBudget()
    in_progress = loads.LoadsInProgress(0, 0)
    context.budget.begin_round(
        context.engine, planners=3, in_progress=in_progress, now=0.0
    )
    for model, missing in (("large", 3), ("small", 1), ("large", 2)):
        request = loads.LoadRequest(
            make_server("e0"), model, loads.LoadPriority.GROUP, missing
        )
        context.budget.request(request)


@then("the server loads for the group that lacks 1")
def _(context):
    models = [request.model for request in context.budget.grant()]
    assert models == ["small"], models
