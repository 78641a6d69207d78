"""Steps that set up a deployment in given time and let time pass."""

from __future__ import annotations

from behave import given, then, when
from support import deployments, invariants, operator_actions, simulation

from hickorylead.placement import planner
from hickorylead.roles import nodes


def build(context, **options):
    context.world = deployments.build(**options)


@given("a deployment in three zones")
def _(context):
    build(context)


@given("a deployment whose engines ignore fencing numbers")
def _(context):
    build(context, checks_fence=False)


@given("a deployment whose engines check fencing numbers")
def _(context):
    build(context, checks_fence=True)


@given("a deployment with {count:d} engines a zone in domains of {size:d}")
def _(context, count, size):
    build(context, engines=count, domain=size)


@given(
    "a deployment with {count:d} engines a zone in {domains:d} domains and"
    " {replicas:d} replicas"
)
def _(context, count, domains, replicas):
    build(context, engines=count, domain=count // domains, replicas=replicas)


@given("a deployment that holds broken groups for {seconds:g} s")
def _(context, seconds):
    policy = planner.Policy(spares=0, hold_broken_s=seconds)
    build(context, engines=4, domain=4, policy=policy)


@given("no deployment yet, only its processes")
def _(context):
    context.world = simulation.Simulation()
    context.world.checkers = list(invariants.ALL)


@when("{seconds:g} s pass")
def _(context, seconds):
    context.world.run(seconds)


@when('zone "{zone}" is cut off')
def _(context, zone):
    context.world.isolate_zone(zone)


@when("all cuts are mended")
def _(context):
    context.world.heal()


@when('all control processes of zone "{zone}" restart at once')
def _(context, zone):
    for node in context.world.controls:
        if nodes.get_zone(node) == zone:
            context.world.start(node)


@then("within {seconds:g} s every entry may use {count:d} replicas")
def _(context, seconds, count):
    built = context.world
    context.took_s = built.run_until(
        lambda: all(
            operator_actions.count_replicas(built, node) >= count
            for node in built.entries
        ),
        limit_s=seconds,
    )


@then(
    'within {seconds:g} s the entries of "{zone}" may use {count:d} replicas'
    " of their zone"
)
def _(context, seconds, zone, count):
    built = context.world
    context.took_s = built.run_until(
        lambda: all(
            operator_actions.count_replicas(built, node, zone) == count
            for node in built.entries
            if nodes.get_zone(node) == zone
        ),
        limit_s=seconds,
    )
