"""Steps about reports of backend servers."""

from __future__ import annotations

import attrs
from behave import then, when
from steps import fleet_steps, server_restart_steps
from support import address_schedules, fleet_simulation

from hickorylead.configuration import document
from hickorylead.fleet import events, instances

UNNAMED = "extra"
PERIOD_S = fleet_simulation.HEARTBEAT_S


def deliver(context, *reports, node=""):
    """Delivers reports to a coordinator, the first one by default."""
    simulation = context.simulation
    for report in reports:
        simulation.apply(
            node or simulation.coordinator_names[0],
            events.HeartbeatArrived(report),
        )


def list_registries(context):
    """Returns the registry of each node, by name."""
    simulation = context.simulation
    return {
        **{n: c.registry for n, c in simulation.coordinators.items()},
        **{n: g._registry for n, g in simulation.gateways.items()},
    }


def configure(context, version, *services):
    """Puts a configuration in force that names further plain services."""
    simulation = context.simulation
    base = fleet_simulation.make_document(version)
    found = attrs.evolve(
        base,
        services=(*base.services, *map(document.Service, services)),
    )
    event = events.ReplaceRequested(
        f"v{version}", version, fleet_simulation.encode_content(found)
    )
    simulation.apply(simulation.find_leader(), event)
    simulation.run_until(lambda: simulation.outcomes.get(event.token) is True)
    simulation.run(0.3)


@when(
    "an agent of a service that no configuration names reports the address of"
    " each server {how}"
)
def _(context, how):
    simulation = context.simulation
    context.agents = []
    for number in range(1 if how == "once" else 4):
        context.agents = [
            instances.Instance(
                f"agent-{server.name}",
                UNNAMED,
                server.address,
                server.zone,
                sequence=number + 1,
            )
            for server in simulation.servers.values()
        ]
        deliver(context, *context.agents)
        simulation.run(PERIOD_S)
    if how in (
        "and all coordinators start again",
        "and each coordinator loses its disk",
    ):
        for node in simulation.coordinator_names:
            if "loses" in how:
                simulation.wipe(node)
            simulation.start(node)
            simulation.run(2 * PERIOD_S)
            deliver(context, *context.agents, node=node)
    simulation.run(2 * PERIOD_S)


@then("every server is known as ready at every node")
def _(context):
    for node, registry in list_registries(context).items():
        for name in context.simulation.servers:
            known = registry.instances.get(name)
            assert known is not None, (node, name)
            assert known.phase == instances.PHASE_READY, (node, known)
            assert not known.silent, (node, known)


@then("no agent is known at any node")
def _(context):
    for node, registry in list_registries(context).items():
        known = [a.name for a in context.agents if a.name in registry.instances]
        assert not known, (node, known)


# Services that are named later.


@when(
    "a server of a service that no configuration names reports {reports}",
)
def _(context, reports):
    context.server = instances.Instance(
        "later", UNNAMED, "10.0.0.7:80", "z1", slots=3, sequence=5
    )
    deliver(context, context.server)
    if reports.endswith("then older"):
        old = attrs.evolve(context.server, sequence=4, slots=1)
        deliver(context, old)
    if reports.endswith("then it leaves"):
        node = context.simulation.coordinator_names[0]
        context.simulation.apply(node, events.InstanceLeft("later"))
    context.simulation.run(0.3)


@when(
    "a server of a service that a configuration names reports that it is ready"
)
def _(context):
    configure(context, 7, UNNAMED)
    context.server = instances.Instance(
        "later", UNNAMED, "10.0.0.7:80", "z1", slots=3, sequence=5
    )
    deliver(context, context.server)
    context.simulation.run(0.3)


@when("a configuration that names the service is acknowledged")
def _(context):
    configure(context, 8, UNNAMED)


@when("a configuration without the service is acknowledged")
def _(context):
    configure(context, 9)


@when("the server sends heartbeats for {seconds:d} seconds")
def _(context, seconds):
    for _ in range(int(seconds / PERIOD_S)):
        context.server = attrs.evolve(
            context.server, sequence=context.server.sequence + 1
        )
        deliver(context, context.server)
        context.simulation.run(PERIOD_S)


@then("the server is {state} at every node without another report")
def _(context, state):
    for node, registry in list_registries(context).items():
        known = registry.instances.get("later")
        if state == "gone":
            assert known.phase == instances.PHASE_GONE, (node, known)
            continue
        assert known is not None, node
        assert known.phase == state, (node, known)
        assert (known.slots, known.silent) == (3, False), (node, known)


@then("the server is unknown at every node")
def _(context):
    for node, registry in list_registries(context).items():
        assert "later" not in registry.instances, node


# Addresses that are used again.


@when(
    "a server of {service} at the address of a server that crashed has sent"
    " {count:d} reports"
)
def _(context, service, count):
    simulation = context.simulation
    names = {"the same one": "plain", "another service": "model"}
    context.crashed = instances.Instance(
        "crashed", "plain", "10.0.0.7:80", "z1"
    )
    context.user = instances.Instance(
        "user", names[service], "10.0.0.7:80", "z1"
    )
    for number in range(count):
        if number:
            simulation.run(PERIOD_S)
        report_user(context)


def report_user(context):
    """Sends the next report of the server that uses the address now."""
    context.user = attrs.evolve(
        context.user, sequence=context.user.sequence + 1
    )
    deliver(context, context.user)


@when(
    "the late report {number:d} of the server that crashed arrives at {place}"
)
def _(context, number, place):
    simulation = context.simulation
    simulation.run(0.3)
    late = attrs.evolve(context.crashed, sequence=number)
    nodes = simulation.coordinator_names
    targets = {
        "the same coordinator": nodes[:1],
        "another coordinator": nodes[1:2],
        "all coordinators": nodes,
        "a started coordinator": nodes[2:],
    }[place]
    if place == "a started coordinator":
        simulation.start(targets[0])
    for node in targets:
        deliver(context, late, node=node)
    simulation.run(0.3)


@then("the server that uses the address is known as ready at every node")
def _(context):
    for node, registry in list_registries(context).items():
        known = registry.instances.get("user")
        assert known is not None, node
        assert known.phase == instances.PHASE_READY, (node, known)


@then(
    "the server that crashed is not used at any gateway {seconds:d} seconds"
    " later"
)
def _(context, seconds):
    for _ in range(int(seconds / PERIOD_S) + 1):
        report_user(context)
        context.simulation.run(PERIOD_S)
    for node, gateway in context.simulation.gateways.items():
        assert gateway.find_replica("crashed") is None, node
        known = gateway._registry.instances.get("user")
        assert known.phase == instances.PHASE_READY, (node, known)


@when(
    "a server of {service} takes the address of a server that ended {gap:g}"
    " seconds before"
)
def _(context, service, gap):
    simulation = context.simulation
    names = {"the same one": "model", "another service": "plain"}
    member, _ = fleet_steps.pick_member(simulation)
    simulation.crash(member.name)
    context.previous_name = member.name
    simulation.run(gap)
    context.user = instances.Instance(
        "user", names[service], member.address, "z1"
    )
    report_user(context)


@then("the ended incarnation is gone at every gateway within {limit:g} seconds")
def _(context, limit):
    simulation = context.simulation
    ends = simulation.now + limit
    while simulation.now < ends:
        simulation.run(min(PERIOD_S, ends - simulation.now))
        report_user(context)
    for node, gateway in simulation.gateways.items():
        known = gateway._registry.instances.get(context.previous_name)
        assert known is None or known.phase == instances.PHASE_GONE, (
            node,
            known,
        )


@when("the end of the new incarnation arrives before its first heartbeat")
def _(context):
    context.simulation.apply(
        context.node,
        events.InstanceLeft("i1", server_restart_steps.CURRENT_START_MS),
    )
    context.simulation.run(0.1)
    server_restart_steps.deliver_heartbeat(
        context,
        server_restart_steps.make_heartbeat(
            1, server_restart_steps.CURRENT_START_MS
        ),
    )


@then("{count:d} random schedules of reused addresses violate no promise")
def _(_, count):
    found = address_schedules.run_schedules(0, count)
    violations = {seed: lines[:3] for seed, lines in found.items() if lines}
    assert not violations, violations
