"""Steps about gateways whose turns come late."""

from __future__ import annotations

import collections

from behave import then, when

from hickorylead.fleet import messages
from hickorylead.roles import gateway as gateway_module, interface


@when(
    "a gateway is {seconds:g} seconds late, and the messages of that time are "
    "handled after its next {count:d} ticks"
)
def _(context, seconds, count):
    context.simulation.run(3.0)
    start_pause(context)
    end_pause(context, seconds, count)
    context.simulation.run(1.0)


def start_pause(context):
    """Stops a gateway, and counts its hellos from now on."""
    simulation = context.simulation
    context.node = min(simulation.gateways)
    context.gateway = simulation.gateways[context.node]
    context.home = context.gateway._coordinators.home
    assert context.home
    context.hellos = []
    simulation.on_send = lambda sender, target, message: (
        record_hello(context, target, message)
        if sender == context.node
        else None
    )
    simulation.frozen.add(context.node)


def end_pause(context, seconds, count):
    """Lets a gateway tick again before it handles what has arrived."""
    simulation = context.simulation
    simulation.run(seconds)
    late_s = seconds
    for number in range(count):
        tick = interface.Tick(0.0, late_s=late_s)
        at = simulation.now + number * gateway_module.LONGEST_TICK_S
        for effect in context.gateway.reduce(tick, at):
            if isinstance(effect, interface.Send):
                record_hello(context, effect.node, effect.message)
        late_s = 0.0
    simulation.run(count * gateway_module.LONGEST_TICK_S)
    simulation.unfreeze(context.node)


def record_hello(context, target, message):
    if isinstance(message, messages.GatewayHello):
        context.hellos.append((target.removeprefix("@"), message.is_home))


@when(
    "a gateway whose home coordinator has just lost its leader is {seconds:g} "
    "seconds late"
)
def _(context, seconds):
    simulation = context.simulation
    simulation.run(3.0)
    start_pause(context)
    other = next(n for n in simulation.coordinator_names if n != context.home)
    for node in (context.home, other):
        known = messages.KnownCoordinators(node, (), (), node == other)
        arrived = interface.MessageArrived(node, known, 0.0)
        context.gateway.reduce(arrived, simulation.now)
    end_pause(context, seconds, 2)
    simulation.run(1.0)


@when(
    "a gateway's home coordinator is killed while the gateway is {seconds:g} "
    "seconds late"
)
def _(context, seconds):
    context.simulation.run(3.0)
    start_pause(context)
    context.simulation.kill(context.home)
    end_pause(context, seconds, 1)


@when("a gateway's home coordinator is killed while the gateway is on time")
def _(context):
    context.simulation.run(3.0)
    start_pause(context)
    context.simulation.frozen.discard(context.node)
    context.simulation.kill(context.home)


@then("all hellos of the gateway name the same home coordinator")
def _(context):
    homes = {target for target, is_home in context.hellos if is_home}
    assert homes == {context.home}, context.hellos
    assert (context.home, False) not in context.hellos, context.hellos


@then("the gateway sends the other coordinators at most one hello each")
def _(context):
    sent = collections.Counter(
        target for target, is_home in context.hellos if not is_home
    )
    assert set(sent.values()) <= {1}, sent


@then("the gateway has another home coordinator within {seconds:g} seconds")
def _(context, seconds):
    context.simulation.run_until(
        lambda: context.gateway._coordinators.home not in ("", context.home),
        seconds,
    )
