"""Steps about acknowledged configurations under losses."""

from __future__ import annotations

import random

import attrs
from behave import given, then, when
from steps import fleet_steps, voter_replacement_steps
from support import fleet_simulation, loss_schedules

from hickorylead.consensus import messages as consensus_messages, options
from hickorylead.fleet import events, messages
from hickorylead.roles import interface, nodes

CALL = "call 1"
STEP_S = 0.0005


@given("six coordinators of which two may be lost")
def _(context):
    simulation = fleet_simulation.FleetSimulation(
        servers_per_zone=0,
        gateways_per_zone=0,
        coordinators_per_zone=2,
        voter_options=options.derive_options(catch_up_s=6.0, max_lost_disks=2),
    )
    simulation.run(4.0)
    fleet_steps.replace_until_acknowledged(
        simulation, simulation.coordinator_names[0], 7
    )
    simulation.run(1.0)
    context.simulation = simulation


def restart_and_deliver(context, kind, make_request):
    """Restarts a coordinator and delivers a reply to its former process."""
    simulation = context.simulation
    leader = simulation.find_leader()
    node = next(n for n in simulation.coordinator_names if n != leader)
    replies = []

    def capture(sender, target, message):
        if target == node and isinstance(message, kind):
            replies.append((sender, message))

    simulation.on_send = capture
    simulation.one_way_partitions.add((leader, node))
    simulation.replace(leader, 6)
    simulation.run(0.1)
    simulation.apply(node, make_request(8))
    simulation.run(0.1)
    simulation.kill(node)
    for other in simulation.coordinator_names:
        if other != node:
            simulation.partition(node, other)
    simulation.run(0.5)
    simulation.start(node)
    simulation.outcomes.pop(CALL, None)
    simulation.apply(node, make_request(9))
    assert replies
    for sender, message in replies:
        arrived = interface.MessageArrived(sender, message, 0.0)
        simulation.apply(node, arrived)


def make_change(version):
    document = fleet_simulation.make_document(version)
    content = fleet_simulation.encode_content(document)
    return events.ReplaceRequested(CALL, version, content)


@when(
    "a coordinator that has started again gets the reply to its former"
    " process's change"
)
def _(context):
    restart_and_deliver(context, messages.ReplaceReply, make_change)


@when(
    "a coordinator that has started again gets the reply to its former"
    " process's read"
)
def _(context):
    restart_and_deliver(
        context, messages.ReadReply, lambda _: events.ReadRequested(CALL)
    )


@then("the change that was sent to the new process is not acknowledged")
def _(context):
    assert context.simulation.outcomes.get(CALL) is not True


@then("the read that was sent to the new process is not answered")
def _(context):
    assert context.simulation.outcomes.get(CALL) is None


def find_stale(simulation, version):
    """Returns the coordinators that claim to be up to date and are not."""
    return [
        (round(simulation.now, 4), node, role.version)
        for node, role in simulation.coordinators.items()
        if node not in simulation.frozen
        and role.is_fresh(simulation.now)
        and role.version < version
    ]


def watch(simulation, version, seconds):
    """Runs in short steps; returns where a version is older than claimed."""
    end = simulation.now + seconds
    found = []
    while simulation.now < end:
        simulation.run(STEP_S)
        found += find_stale(simulation, version)
    return found


@when("one is cut off while another leader accepts version 9")
def _(context):
    simulation = context.simulation
    leader = simulation.find_leader()
    names = simulation.coordinator_names
    cut = next(n for n in names if n != leader)
    for other in names:
        if other != cut:
            simulation.partition(cut, other)
    simulation.run(0.5)
    simulation.kill(leader)
    simulation.run_until(lambda: simulation.find_leader(), 5.0)
    fleet_steps.replace_until_acknowledged(
        simulation, simulation.find_leader(), 9
    )
    simulation.run(1.0)
    simulation.heal()


@then(
    "no coordinator that claims to be up to date has an older version for 3"
    " seconds after the cut"
)
def _(context):
    found = watch(context.simulation, 9, 3.0)
    assert not found, found[:3]


@when("the leader ends right after it has acknowledged version 9")
def _(context):
    simulation = context.simulation
    leader = simulation.find_leader()
    token = simulation.replace(leader, 9)
    while not simulation.outcomes.get(token):
        simulation.run(STEP_S)
    simulation.kill(leader)
    context.leader = leader


@then(
    "no follower of the next leader claims to be up to date with an older"
    " version"
)
def _(context):
    simulation = context.simulation
    end = simulation.now + 5.0
    while simulation.now < end:
        simulation.run(STEP_S)
        found = [
            (at, node, version)
            for at, node, version in find_stale(simulation, 9)
            if not simulation.coordinators[node].voter.leader.startswith(
                context.leader
            )
        ]
        assert not found, found


@then(
    "all other coordinators hold version {version:d} within {seconds:g} seconds"
)
def _(context, version, seconds):
    simulation = context.simulation
    simulation.run(seconds)
    held = {n: role.version for n, role in simulation.coordinators.items()}
    assert set(held.values()) == {version}, held


@when("one is stopped for 4 seconds while version 9 is acknowledged")
def _(context):
    simulation = context.simulation
    leader = simulation.find_leader()
    node = next(n for n in simulation.coordinator_names if n != leader)
    simulation.frozen.add(node)
    simulation.run(1.0)
    fleet_steps.replace_until_acknowledged(simulation, leader, 9)
    simulation.run(3.0)
    context.node = node


@then(
    "it does not claim to be up to date with an older version once it goes on"
)
def _(context):
    simulation, node = context.simulation, context.node
    simulation.frozen.discard(node)
    for event in simulation.buffers.pop(node, []):
        simulation.apply(node, event)
        assert not find_stale(simulation, 9)
    found = watch(simulation, 9, 2.0)
    assert not found, found[:3]


@when(
    "a voter is cut off and another one loses its disk at the first change of"
    " voters"
)
def _(context):
    simulation, leader, (cut, other) = voter_replacement_steps.prepare(context)
    for node in simulation.coordinator_names:
        if node != cut:
            simulation.partition(cut, node)
    simulation.run(1.0)
    new = voter_replacement_steps.add_successor(simulation, cut)
    simulation.partition(cut, new)
    voter = simulation.coordinators[leader].voter
    while len(voter.voters) == 3:
        simulation.run(STEP_S)
    simulation.kill(other)
    simulation.wipe(other)
    simulation.run(1.0)
    simulation.start(other)
    simulation.run(2.0)
    simulation.heal()


@then("version 7 is read within 12 seconds after the cut")
def _(context):
    simulation = context.simulation

    def is_read():
        leader = simulation.find_leader()
        if not leader:
            return False
        token = simulation.read(leader)
        simulation.run(0.5)
        return simulation.outcomes.get(token) == 7

    simulation.run_until(is_read, 12.0)


@then(
    "the overlapping loss schedules {first:d} to {last:d} keep what was"
    " acknowledged"
)
def _(context, first, last):
    problems = loss_schedules.run_schedules(
        first, last - first + 1, overlaps=True
    )
    assert not problems, "\n".join(problems)


@when("a coordinator that holds version 7 gets its disk of version 5 back")
def _(context):
    simulation = context.simulation
    names = simulation.coordinator_names
    fleet_steps.replace_until_acknowledged(simulation, names[0], 5)
    simulation.run(1.0)
    leader = simulation.find_leader()
    node = next(n for n in names if n != leader)
    role = simulation.coordinators[node]
    snapshot = consensus_messages.Snapshot(
        role.voter.commit,
        role.voter.term,
        role.voter.voters,
        role.voter.configuration,
    )
    records = [
        consensus_messages.HardState(role.voter.cluster, role.voter.term),
        consensus_messages.InstallSnapshot(snapshot),
    ]
    fleet_steps.replace_until_acknowledged(simulation, names[0], 7)
    simulation.run(1.0)
    simulation.partition(node, leader)
    role.configuration.restart_voter(
        records,
        random.Random(1),
        simulation.now,
        fleet_simulation.VOTER_OPTIONS,
    )
    context.node = node


@then("what it sends to a gateway that starts has the version that it names")
def _(context):
    simulation, node = context.simulation, context.node
    updates = []

    def capture(sender, _, message):
        if sender == node and isinstance(message, messages.DocumentUpdate):
            updates.append(message)

    simulation.on_send = capture
    simulation.start_gateway(
        nodes.make_node_name(nodes.get_zone(node), "new", nodes.GATEWAY)
    )
    simulation.run(1.0)
    assert updates
    for update in updates:
        document = fleet_simulation.decode_content(update.content).unwrap()
        assert document.version == update.version, (document, update.version)


@when(
    "version 9 is acknowledged unknown to the followers and the next leader"
    " cannot commit"
)
def _(context):
    simulation = context.simulation
    leader = simulation.find_leader()
    others = [n for n in simulation.coordinator_names if n != leader]
    index = simulation.coordinators[leader].voter.log.last_index + 1
    token = simulation.replace(leader, 9)
    while any(
        simulation.coordinators[n].voter.log.last_index < index for n in others
    ):
        simulation.run(STEP_S / 5)
    simulation.one_way_partitions |= {(leader, node) for node in others}
    simulation.run(0.01)
    assert simulation.outcomes.get(token)
    simulation.kill(leader)
    simulation.one_way_partitions.clear()

    def find_next():
        return [
            n
            for n in others
            if simulation.coordinators[n].voter.role == "leader"
        ]

    while not find_next():
        simulation.run(STEP_S / 5)
    successor = find_next()[0]
    followers = [n for n in others if n != successor]
    simulation.one_way_partitions |= {(n, successor) for n in followers[2:]}


@then(
    "no coordinator that claims to be up to date has an older version for"
    " {seconds:g} seconds"
)
def _(context, seconds):
    found = watch(context.simulation, 9, seconds)
    assert not found, found[:3]


@when("the leader repeats no times of its followers")
def _(context):
    simulation = context.simulation
    deliver = simulation.apply

    def remove_times(node, event):
        match event:
            case interface.MessageArrived(
                sender, consensus_messages.AppendRequest() as request
            ):
                event = interface.MessageArrived(
                    sender, attrs.evolve(request, echoed_at=0.0), 0.0
                )
        deliver(node, event)

    simulation.apply = remove_times


@then("all coordinators are up to date after {seconds:g} second")
def _(context, seconds):
    simulation = context.simulation
    simulation.run(seconds)
    for node, role in simulation.coordinators.items():
        assert role.is_fresh(simulation.now), node


@when(
    "the leader ends after it has added the successor of a voter that returns"
)
def _(context):
    simulation, leader, (cut, _) = voter_replacement_steps.prepare(context)
    for node in simulation.coordinator_names:
        if node != cut:
            simulation.partition(cut, node)
    simulation.run(1.0)
    new = voter_replacement_steps.add_successor(simulation, cut)
    simulation.partition(cut, new)
    voter = simulation.coordinators[leader].voter
    while len(voter.voters) == 3:
        simulation.run(STEP_S)
    simulation.run(0.0012)
    simulation.kill(leader)
    simulation.heal()
    simulation.run(0.5)
    simulation.start(leader)


@then("there are three voters within {seconds:g} seconds")
def _(context, seconds):
    simulation = context.simulation

    def has_three():
        leader = simulation.find_leader()
        return leader and len(simulation.coordinators[leader].voter.voters) == 3

    simulation.run_until(has_three, seconds)
    simulation.run(2.0)
    assert has_three()
