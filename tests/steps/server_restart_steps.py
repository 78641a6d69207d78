"""Steps about servers that restart under the same id."""

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

PREVIOUS_START_MS = 1_784_102_400_000
CURRENT_START_MS = PREVIOUS_START_MS + 30_000
NODE = "z1/core"


def make_heartbeat(sequence, born, **changes):
    """Returns a heartbeat of an incarnation of the server."""
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


def make_previous_heartbeat(sequence):
    """Returns a heartbeat of the previous incarnation, which serves a model."""
    member = instances.Membership("g1", 64, 0, instances.GROUP_OPEN)
    return make_heartbeat(
        sequence, PREVIOUS_START_MS, models=("large",), member=member
    )


@given("a server that sent 50 heartbeats and had a model in memory")
def _(context):
    context.simulation = fleet_simulation.FleetSimulation()
    context.simulation.bootstrap()
    context.node = context.simulation.coordinator_names[0]
    for sequence in (49, 50):
        deliver_heartbeat(context, make_previous_heartbeat(sequence))


def deliver_heartbeat(context, heartbeat):
    """Delivers a heartbeat to a coordinator."""
    context.simulation.apply(context.node, events.HeartbeatArrived(heartbeat))
    context.simulation.run(0.01)


@when("the server restarts and sends its first heartbeat")
def _(context):
    deliver_heartbeat(context, make_heartbeat(1, CURRENT_START_MS))


@when("then {update} of the previous incarnation arrives late")
def _(context, update):
    simulation, sender = (
        context.simulation,
        context.simulation.coordinator_names[1],
    )
    arrived = fleet_simulation.interface.MessageArrived
    match update:
        case "a heartbeat":
            deliver_heartbeat(context, make_previous_heartbeat(51))
        case "an Alive message":
            alive = messages.Alive(
                sender, ("i1",), (60,), (50,), (PREVIOUS_START_MS,)
            )
            simulation.apply(context.node, arrived(sender, alive, 0.0))
        case "the end":
            simulation.apply(
                context.node, events.InstanceLeft("i1", PREVIOUS_START_MS)
            )
        case "the end as an update":
            gone = attrs.evolve(
                make_previous_heartbeat(51), phase=instances.PHASE_GONE
            )
            notice = messages.InstanceNews(sender, (gone,))
            simulation.apply(context.node, arrived(sender, notice, 0.0))


@when("then the end of the new incarnation arrives")
def _(context):
    context.simulation.apply(
        context.node, events.InstanceLeft("i1", CURRENT_START_MS)
    )


@then("the new incarnation is registered, free and with nothing in memory")
def _(context):
    for role in context.simulation.coordinators.values():
        known = role.registry.instances["i1"]
        assert known.born == CURRENT_START_MS, known
        assert known.sequence == 1, known
        assert known.phase == instances.PHASE_READY, known
        assert not known.has_group, known
        assert not known.last_model, known


@then("the server is gone")
def _(context):
    role = context.simulation.coordinators[context.node]
    known = role.registry.instances["i1"]
    assert known.phase == instances.PHASE_GONE


@given("a planner that issued two orders to a server")
def _(context):
    context.tracker = order_tracker.OrderTracker()
    context.server = make_heartbeat(1, PREVIOUS_START_MS)
    for number, model in enumerate(("large", "small")):
        issue_order(context, orders.Stage(model), 10.0 + number)
        response = orders.OrderAnswered("i1", orders.Stage(model), 202)
        context.tracker.handle_response(response)
        context.server = attrs.evolve(
            context.server, sequence=number + 2, staged=(model,)
        )
    found = issue_order(context, orders.Stage("large"), 13.0)
    assert found.expected == 2, found


def issue_order(context, order, now):
    """Returns the effect that sends the order to the server."""
    context.tracker.begin_round({"i1": context.server}, now)
    context.tracker.issue_order(context.server, order)
    effects = context.tracker.end_round()
    assert len(effects) == 1, effects
    return effects[0]


@when("the server restarts under the same id")
def _(context):
    context.server = make_heartbeat(1, CURRENT_START_MS)


@then("the next order expects no accepted orders")
def _(context):
    assert issue_order(context, orders.Stage("large"), 14.0).expected == 0


@then("a late report of the previous incarnation changes nothing")
def _(context):
    context.tracker.handle_report(
        orders.ReportArrived("i1", 2, PREVIOUS_START_MS)
    )
    assert issue_order(context, orders.Stage("small"), 15.0).expected == 0


@when("an update reports that the server is leaving, with heartbeat {number:d}")
def _(context, number):
    leaving = attrs.evolve(
        make_previous_heartbeat(number), phase=instances.PHASE_DRAINING
    )
    sender = context.simulation.coordinator_names[1]
    update = messages.InstanceNews(sender, (leaving,))
    context.simulation.apply(
        context.node, interface.MessageArrived(sender, update, 0.0)
    )


@when("the server's heartbeat {number:d} reports that it is ready")
def _(context, number):
    deliver_heartbeat(context, make_previous_heartbeat(number))


@then("the server is registered as leaving, with heartbeat {number:d}")
def _(context, number):
    name = make_previous_heartbeat(number).name
    found = context.simulation.coordinators[context.node].registry.instances[
        name
    ]
    assert found.phase == instances.PHASE_DRAINING, found
    assert found.sequence == number, found
