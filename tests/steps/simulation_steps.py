"""Steps that set up a simulated deployment and advance its time."""

from __future__ import annotations

from behave import given, then, when
from support import (
    deployments,
    invariants,
    operator_actions,
    simulation as simulation_module,
)

from hickorylead.placement import planner
from hickorylead.roles import nodes


def build_deployment(context, **options):
    context.simulation = deployments.build(**options)


@given("a deployment in three zones")
def _(context):
    build_deployment(context)


@given("a deployment whose engines ignore fencing numbers")
def _(context):
    build_deployment(context, checks_fence=False)


@given("a deployment whose engines check fencing numbers")
def _(context):
    build_deployment(context, checks_fence=True)


@given("a deployment with {count:d} engines a zone in domains of {size:d}")
def _(context, count, size):
    build_deployment(context, engines=count, domain=size)


@given(
    "a deployment with {count:d} engines a zone in {domains:d} domains and"
    " {replicas:d} replicas"
)
def _(context, count, domains, replicas):
    build_deployment(
        context, engines=count, domain=count // domains, replicas=replicas
    )


@given("a deployment that holds broken groups for {seconds:g} s")
def _(context, seconds):
    policy = planner.Policy(spares=0, hold_broken_s=seconds)
    build_deployment(context, engines=4, domain=4, policy=policy)


@given("the processes of a deployment that is not bootstrapped")
def _(context):
    context.simulation = simulation_module.Simulation()
    context.simulation.checkers = list(invariants.ALL)


@when("{seconds:g} s pass")
def _(context, seconds):
    context.simulation.run(seconds)


@when('zone "{zone}" is isolated')
def _(context, zone):
    context.simulation.isolate_zone(zone)


@when("all partitions are healed")
def _(context):
    context.simulation.heal()


@when('all control processes of zone "{zone}" restart at the same time')
def _(context, zone):
    for node in context.simulation.controls:
        if nodes.get_zone(node) == zone:
            context.simulation.start(node)


@then("within {seconds:g} s every entry may use {count:d} replicas")
def _(context, seconds, count):
    simulation = context.simulation
    context.took_s = simulation.run_until(
        lambda: all(
            operator_actions.count_replicas(simulation, node) >= count
            for node in simulation.entries
        ),
        limit_s=seconds,
    )


@then(
    'within {seconds:g} s the entries of "{zone}" may use {count:d} replicas'
    " of their zone"
)
def _(context, seconds, zone, count):
    simulation = context.simulation
    context.took_s = simulation.run_until(
        lambda: all(
            operator_actions.count_replicas(simulation, node, zone) == count
            for node in simulation.entries
            if nodes.get_zone(node) == zone
        ),
        limit_s=seconds,
    )
