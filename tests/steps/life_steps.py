"""Steps about servers that start again under the id that they had."""

from __future__ import annotations

import attrs
from behave import given, then, when
from support import fleet_simulation

from hickorylead.fleet import (
    events,
    instances,
    messages,
    order_tracker,
    orders,
)
from hickorylead.roles import interface

FORMER = 1_784_102_400_000
PRESENT = FORMER + 30_000
NODE = "z1/core"


def make_life(sequence, born, **changes):
    """Returns what a life of the server tells."""
    return instances.Instance(
        "i1",
        "model",
        "10.0.0.9:80",
        "z1",
        "z1-d0",
        sequence=sequence,
        born=born,
        **changes,
    )


def make_warm(sequence):
    """Returns what the former life tells: it serves a model."""
    member = instances.Membership("g1", 64, 0, instances.GROUP_OPEN)
    return make_life(sequence, FORMER, models=("large",), member=member)


@given("a server that told 50 heartbeats and had a model in memory")
def _(context):
    context.world = fleet_simulation.FleetSimulation()
    context.world.bootstrap()
    context.node = context.world.coordinator_names[0]
    for sequence in (49, 50):
        hear(context, make_warm(sequence))


def hear(context, told):
    """Gives a heartbeat to a coordinator."""
    context.world.apply(context.node, events.HeartbeatArrived(told))
    context.world.run(0.01)


@when("it starts again and tells its first heartbeat")
def _(context):
    hear(context, make_life(1, PRESENT))


@when("then {news} of the former life comes late")
def _(context, news):
    world, sender = context.world, context.world.coordinator_names[1]
    arrived = fleet_simulation.interface.MessageArrived
    match news:
        case "a heartbeat":
            hear(context, make_warm(51))
        case "a sign of life":
            alive = messages.Alive(sender, ("i1",), (60,), (50,), (FORMER,))
            world.apply(context.node, arrived(sender, alive, 0.0))
        case "the end":
            world.apply(context.node, events.InstanceLeft("i1", FORMER))
        case "the end as a news":
            gone = attrs.evolve(make_warm(51), phase=instances.PHASE_GONE)
            told = messages.InstanceNews(sender, (gone,))
            world.apply(context.node, arrived(sender, told, 0.0))


@when("then the end of the new life comes")
def _(context):
    context.world.apply(context.node, events.InstanceLeft("i1", PRESENT))


@then("the new life is known, free and with nothing in memory")
def _(context):
    for role in context.world.coordinators.values():
        known = role.registry.instances["i1"]
        assert known.born == PRESENT, known
        assert known.sequence == 1, known
        assert known.phase == instances.PHASE_READY, known
        assert not known.has_group, known
        assert not known.last_model, known


@then("the server is gone")
def _(context):
    role = context.world.coordinators[context.node]
    known = role.registry.instances["i1"]
    assert known.phase == instances.PHASE_GONE


@given("a planner that gave two orders to a server")
def _(context):
    context.ledger = order_tracker.OrderTracker()
    context.server = make_life(1, FORMER)
    for number, model in enumerate(("large", "small")):
        give(context, orders.Stage(model), 10.0 + number)
        order = orders.OrderAnswered("i1", orders.Stage(model), 202)
        context.ledger.handle_response(order)
        context.server = attrs.evolve(
            context.server, sequence=number + 2, staged=(model,)
        )
    found = give(context, orders.Stage("large"), 13.0)
    assert found.expected == 2, found


def give(context, order, now):
    """Returns the order as a planner gives it to the server."""
    context.ledger.begin_round({"i1": context.server}, now)
    context.ledger.issue_order(context.server, order)
    found = context.ledger.end_round()
    assert len(found) == 1, found
    return found[0]


@when("the server starts again")
def _(context):
    context.server = make_life(1, PRESENT)


@then("the next order names no accepted orders")
def _(context):
    assert give(context, orders.Stage("large"), 14.0).expected == 0


@then("a report of the former life that comes late changes nothing")
def _(context):
    context.ledger.handle_report(orders.ReportArrived("i1", 2, FORMER))
    assert give(context, orders.Stage("small"), 15.0).expected == 0


@when("it is told that it leaves, with heartbeat {number:d}")
def _(context, number):
    leaving = attrs.evolve(make_warm(number), phase=instances.PHASE_DRAINING)
    sender = context.world.coordinator_names[1]
    news = messages.InstanceNews(sender, (leaving,))
    context.world.apply(
        context.node, interface.MessageArrived(sender, news, 0.0)
    )


@when("its heartbeat {number:d} says that it is ready")
def _(context, number):
    hear(context, make_warm(number))


@then("it is known as leaving, with heartbeat {number:d}")
def _(context, number):
    name = make_warm(number).name
    found = context.world.coordinators[context.node].registry.instances[name]
    assert found.phase == instances.PHASE_DRAINING, found
    assert found.sequence == number, found
