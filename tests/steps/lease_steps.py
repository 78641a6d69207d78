"""Steps about the zone lease and fencing numbers."""

from __future__ import annotations

from behave import then, when
from support import operator_actions, simulation as simulation_module

from hickorylead.placement import orders
from hickorylead.roles import nodes


def get_holder(simulation, zone):
    holders = operator_actions.list_lease_holders(simulation, zone)
    assert len(holders) == 1, holders
    return holders[0]


def get_fence(simulation, node):
    return simulation.roles[node].get_status(simulation.now).fence


@when('the holder of "{zone}" is paused for {seconds:g} s')
def _(context, zone, seconds):
    context.zone = zone
    context.old = get_holder(context.simulation, zone)
    context.simulation.pause(context.old, seconds)


@then("another process issues orders within {seconds:g} s")
def _(context, seconds):
    simulation = context.simulation
    context.took_s = simulation.run_until(
        lambda: [
            n
            for n in operator_actions.list_lease_holders(
                simulation, context.zone
            )
            if n != context.old
        ],
        limit_s=seconds,
    )


@then('one process issues orders in "{zone}"')
def _(context, zone):
    get_holder(context.simulation, zone)


@when('two control processes of "{zone}" restart, but not its lease holder')
def _(context, zone):
    simulation = context.simulation
    context.holder = get_holder(simulation, zone)
    for node in simulation.controls:
        if nodes.get_zone(node) == zone and node != context.holder:
            simulation.start(node)
    context.restarted_at = simulation.now


@then(
    'the same process holds the lease of "{zone}" until {seconds:g} s have'
    " passed"
)
def _(context, zone, seconds):
    simulation = context.simulation
    while simulation.now < context.restarted_at + seconds:
        simulation.run(0.1)
        others = set(operator_actions.list_lease_holders(simulation, zone)) - {
            context.holder
        }
        assert not others, others
    simulation.run(6)
    get_holder(simulation, zone)


@then(
    "within {seconds:g} s one process holds a fencing number above the previous"
    " one"
)
def _(context, seconds):
    simulation = context.simulation
    old = max(s.state.fence for s in simulation.servers.values())
    zone = "buda-hall"
    old = max(
        s.state.fence
        for s in simulation.servers.values()
        if s.state.zone == zone
    )
    simulation.run_until(
        lambda: any(
            get_fence(simulation, n) > old
            for n in operator_actions.list_lease_holders(simulation, zone)
        ),
        limit_s=seconds,
    )


@when('a member of a group of "{zone}" dies')
def _(context, zone):
    simulation = context.simulation
    vm = next(
        vm
        for vm, s in sorted(simulation.servers.items())
        if s.state.zone == zone and s.state.rank == 1
    )
    simulation.kill_server(vm)
    context.dead = vm
    simulation.run(6)


@when('the holder of "{zone}" is killed')
def _(context, zone):
    context.order_count = len(context.simulation.log)
    context.simulation.kill(get_holder(context.simulation, zone))


@then('no order is issued in "{zone}" after the kill')
def _(context, zone):
    get_holder(context.simulation, zone)
    issued = [
        line
        for line in context.simulation.log[context.order_count :]
        if zone in line
    ]
    assert not issued, issued


@then(
    "another process gets the lease within {limit:g} s, for {count:d} random"
    " seeds"
)
def _(context, limit, count):
    worst = 0.0
    for seed in range(count):
        simulation = simulation_module.Simulation(seed=seed, zones=("a",))
        simulation.run_until(
            lambda w=simulation: operator_actions.list_lease_holders(w, "a")
        )
        simulation.run(5)
        old = get_holder(simulation, "a")
        simulation.pause(old, 100)
        took_s = simulation.run_until(
            lambda w=simulation, o=old: [
                n for n in operator_actions.list_lease_holders(w, "a") if n != o
            ],
            limit_s=limit,
        )
        worst = max(worst, took_s)
    context.took_s = worst


@when('a late order of a lost holder assigns a free VM of "{zone}"')
def _(context, zone):
    simulation = context.simulation
    holder = get_holder(simulation, zone)
    context.vm = next(
        vm
        for vm, s in sorted(simulation.servers.items())
        if s.state.zone == zone and not s.state.group and not s.is_plain
    )
    late = orders.Assign(
        vm=context.vm,
        address=context.vm,
        fence=get_fence(simulation, holder),
        group="assistant/late",
        generation=1,
        rank=0,
        members=(context.vm,),
        service="assistant",
        weights="lead@1",
    )
    simulation.call_later(9, lambda: simulation._deliver_order(holder, late))
    simulation.kill(holder)
    simulation.run(9.5)
    assert simulation.servers[context.vm].state.group == "assistant/late"


@then("that VM is freed within {seconds:g} s and never served")
def _(context, seconds):
    server = context.simulation.servers[context.vm]
    for node in context.simulation.entries:
        for _ in range(5):
            context.simulation.submit(node, "assistant")
    context.simulation.run_until(
        lambda: not server.state.group, limit_s=seconds
    )
    assert not server.runs


@when('a server of "{zone}" has a higher fencing number than an order')
def _(context, zone):
    context.server = next(
        s
        for s in context.simulation.servers.values()
        if s.state.zone == zone and s.state.group
    )
    state = context.server.state
    context.old_order = orders.Release(
        state.vm, state.address, state.fence - 1, state.group, state.generation
    )


@then("the server refuses the order with the lower number")
def _(context):
    before = context.server.state
    assert context.server.member.apply_order(context.old_order) == "old_fence"
    assert context.server.state == before
