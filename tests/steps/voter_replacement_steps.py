"""Steps about voters that are replaced."""

from __future__ import annotations

from unittest import mock

from behave import then, when
from steps import fleet_steps
from support import fleet_simulation

from hickorylead.roles import nodes

CATCH_UP_S = 4.0


def add_successor(simulation, gone):
    zone = nodes.get_zone(gone)
    new = nodes.make_node_name(zone, "core-new", nodes.COORDINATOR)
    simulation.disks[new] = fleet_simulation.Disk("new")
    simulation.start(new)
    return new


def prepare(context):
    simulation = context.simulation
    names = simulation.coordinator_names
    fleet_steps.replace_until_acknowledged(simulation, names[0], 7)
    leader = simulation.find_leader()
    return simulation, leader, [n for n in names if n != leader]


@when("a coordinator is replaced as planned and another one loses its disk")
def _(context):
    simulation, leader, (gone, _) = prepare(context)
    add_successor(simulation, gone)
    simulation.run(CATCH_UP_S)
    simulation.kill(gone)
    simulation.kill(leader)
    simulation.wipe(leader)
    simulation.run(1.0)
    simulation.start(leader)


@when("the leader is replaced and another one is lost after the catch-up time")
def _(context):
    simulation, leader, (other, _) = prepare(context)
    simulation.kill(leader)
    simulation.run(1.0)
    add_successor(simulation, leader)
    simulation.run(CATCH_UP_S)
    simulation.kill(other)


@when("the leader ends between the two changes of a planned replacement")
def _(context):
    simulation, leader, others = prepare(context)
    new = add_successor(simulation, others[0])
    voter = simulation.coordinators[leader].voter
    end = simulation.now + 5.0
    while len(voter.voters) == 3 and simulation.now < end:
        simulation.run(0.0005)
    assert len(voter.voters) == 4, voter.voters
    simulation.kill(leader)
    context.expected = {new, *others}


@then("the voters are the three others within 3 seconds")
def _(context):
    simulation = context.simulation

    def has_three():
        leader = simulation.find_leader()
        if not leader:
            return False
        voters = simulation.coordinators[leader].voter.voters
        return len(voters) == 3

    simulation.run_until(has_three, 3.0)


@then("version 7 is read within {limit:g} seconds")
def _(context, limit):
    simulation = context.simulation

    def is_read():
        tokens = [simulation.read(node) for node in simulation.coordinators]
        simulation.run(0.3)
        return 7 in {simulation.outcomes.get(token) for token in tokens}

    simulation.run_until(is_read, limit)


@then("a change is acknowledged within {limit:g} seconds")
def _(context, limit):
    simulation = context.simulation
    node = next(iter(simulation.coordinators))
    fleet_steps.replace_until_acknowledged(simulation, node, 30, limit)


@then("the loss schedules {first:d} to {last:d} leave a majority of the voters")
def _(_, first, last):
    from support import loss_schedules

    problems = loss_schedules.run_schedules(first, last - first + 1)
    assert not problems, "\n".join(problems)


@when("lost voters are replaced after twice the catch-up time")
def _(context):
    from hickorylead.consensus import options

    context.patch = mock.patch.object(options, "REPLACE_SHARE", 2.0)


@then("some loss schedule from {first:d} to {last:d} leaves no majority")
def _(context, first, last):
    from support import loss_schedules

    with context.patch:
        assert loss_schedules.run_schedules(first, last - first + 1)


@when("two of three coordinators lose their disks")
def _(context):
    simulation = context.simulation
    for node in simulation.coordinator_names[1:]:
        simulation.kill(node)
        simulation.wipe(node)


@then("the remaining one reports within 6 seconds that a majority is silent")
def _(context):
    simulation = context.simulation
    simulation.run(6.5)
    found = [
        note
        for _, node, note in simulation.notes
        if getattr(note, "event", "") == "no_leader"
        and node == simulation.coordinator_names[0]
    ]
    assert found and found[-1].fields["is_majority_silent"], found
