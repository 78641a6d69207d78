"""Steps about the configuration log."""

from __future__ import annotations

from behave import then, when
from support import operator_actions

from hickorylead.configuration import changes
from hickorylead.roles import nodes

SWITCH = changes.SwitchPreset("ordinary")


def get_version(simulation, node):
    role = simulation.roles[node]
    if node in simulation.entries:
        return role.configuration.version
    return role.version


def wait_for_version(simulation, version, limit_s, skip=()):
    return simulation.run_until(
        lambda: all(
            get_version(simulation, node) >= version
            for node in simulation.roles
            if node not in skip
        ),
        limit_s=limit_s,
    )


@when("two operators in two zones submit changes based on the same version")
def _(context):
    simulation = context.simulation
    expected = get_version(simulation, simulation.controls[0])
    context.pair = [
        operator_actions.submit(
            simulation,
            changes.DrainVm(f"vm-{node}", True),
            change_id=f"race-{node}",
            node=node,
            expected=expected,
        )
        for node in (simulation.entries[0], simulation.entries[-1])
    ]
    simulation.run_until(
        lambda: all(c in simulation.outcomes for c in context.pair)
    )


@then("one change is accepted and the other refused with the winning version")
def _(context):
    outcomes = [context.simulation.outcomes[c].outcome for c in context.pair]
    won = [o for o in outcomes if o.accepted]
    lost = [o for o in outcomes if not o.accepted]
    assert len(won) == len(lost) == 1, outcomes
    assert lost[0].reason == "version_conflict", lost
    assert lost[0].version == won[0].version, outcomes


@when("a change is accepted and its leader is killed")
def _(context):
    simulation = context.simulation
    context.expected = get_version(
        simulation, operator_actions.find_leader(simulation)
    )
    context.version = operator_actions.apply(
        simulation, SWITCH, change_id="change-resent"
    )
    context.killed = operator_actions.find_leader(simulation)
    simulation.kill(context.killed)


@when("the same change is sent again through another zone")
def _(context):
    simulation = context.simulation
    node = next(
        n
        for n in simulation.entries
        if nodes.get_zone(n) != nodes.get_zone(context.killed)
    )
    del simulation.outcomes["change-resent"]
    simulation.run_until(lambda: operator_actions.find_leader(simulation))
    operator_actions.submit(
        simulation,
        SWITCH,
        change_id="change-resent",
        node=node,
        expected=context.expected,
    )
    simulation.run_until(lambda: "change-resent" in simulation.outcomes)


@then("the resend gets the first outcome and the version is unchanged")
def _(context):
    outcome = context.simulation.outcomes["change-resent"].outcome
    assert outcome.accepted and outcome.version == context.version, outcome
    leader = operator_actions.find_leader(context.simulation)
    assert get_version(context.simulation, leader) == context.version


@when('an operator in "{zone}" submits a change')
def _(context, zone):
    simulation = context.simulation
    context.submitted_at = simulation.now
    node = next(n for n in simulation.entries if nodes.get_zone(n) == zone)
    operator_actions.submit(
        simulation,
        changes.DrainVm("never", True),
        change_id="cut-off",
        node=node,
    )


@then("the change is refused within {seconds:g} s as certainly not applied")
def _(context, seconds):
    simulation = context.simulation
    simulation.run_until(
        lambda: "cut-off" in simulation.outcomes, limit_s=seconds
    )
    answer = simulation.outcomes["cut-off"]
    assert answer.outcome is None and not answer.may_apply, answer


@then("the refused change is in force nowhere")
def _(context):
    for node, role in context.simulation.roles.items():
        if node in context.simulation.entries:
            assert "never" not in role.configuration.drained, node


@when("the leader is partitioned from all others")
def _(context):
    simulation = context.simulation
    context.old = operator_actions.find_leader(simulation)
    context.version = get_version(simulation, context.old)
    for other in (*simulation.controls, *simulation.entries):
        if other != context.old:
            simulation.partition(context.old, other)


@then(
    "no two processes lead at once, and a new leader leads within {seconds:g} s"
)
def _(context, seconds):
    simulation = context.simulation

    def has_new_leader():
        leaders = [
            n
            for n in simulation.voters
            if simulation.roles[n].voter.is_ready_leader(simulation.now)
        ]
        assert len(leaders) <= 1, leaders
        return leaders and leaders != [context.old]

    context.took_s = simulation.run_until(has_new_leader, limit_s=seconds)


@then(
    "a change submitted to the majority side is in force there within"
    " {seconds:g} s"
)
def _(context, seconds):
    simulation = context.simulation
    node = next(
        n
        for n in simulation.entries
        if nodes.get_zone(n) != nodes.get_zone(context.old)
    )
    version = operator_actions.apply(
        simulation, SWITCH, node=node, expected=context.version
    )
    wait_for_version(simulation, version, seconds, skip=(context.old,))


@when("a voter that is not the leader is partitioned for {seconds:g} s")
def _(context, seconds):
    simulation = context.simulation
    context.old = operator_actions.find_leader(simulation)
    context.term = simulation.roles[context.old].voter.term
    partitioned = next(v for v in simulation.voters if v != context.old)
    for other in simulation.controls:
        if other != partitioned:
            simulation.partition(partitioned, other)
    simulation.run(seconds)
    simulation.heal()
    simulation.run(10)


@then("the leader and its term are as before")
def _(context):
    simulation = context.simulation
    assert operator_actions.find_leader(simulation) == context.old
    assert simulation.roles[context.old].voter.term == context.term


@when("each voter loses its disk, one after another")
def _(context):
    simulation = context.simulation
    context.version = operator_actions.apply(
        simulation, changes.DrainVm("kept", True)
    )
    for voter in simulation.voters:
        simulation.wipe_disk(voter)
        simulation.run(1)
        simulation.start(voter)
        incarnation = f"{voter}#i{simulation.disk_incarnations[voter]}"
        simulation.run_until(
            lambda i=incarnation: (
                (leader := operator_actions.find_leader(simulation))
                and i in simulation.roles[leader].voter.voters
                and len(simulation.roles[leader].voter.voters) == 3
            ),
            limit_s=40,
        )
    assert all(simulation.disk_incarnations[v] == 1 for v in simulation.voters)


@then("every accepted change is still in force")
def _(context):
    simulation = context.simulation
    version = operator_actions.apply(simulation, SWITCH)
    assert version == context.version + 1
    wait_for_version(simulation, version, 8)
    for node in simulation.entries:
        assert "kept" in simulation.roles[node].configuration.drained


@when("two voters lose their disks at the same time")
def _(context):
    simulation = context.simulation
    context.version = get_version(
        simulation, operator_actions.find_leader(simulation)
    )
    for voter in simulation.voters[:2]:
        simulation.wipe_disk(voter)
        simulation.start(voter)


@then("no process leads and the version in force is as before")
def _(context):
    simulation = context.simulation
    assert not operator_actions.find_leader(simulation)
    for node in simulation.entries:
        assert get_version(simulation, node) == context.version, node


@then("the entries continue to serve requests")
def _(context):
    simulation = context.simulation
    answers = [
        simulation.submit(node, "assistant") for node in simulation.entries
    ]
    simulation.run(5)
    assert all(a.verdict and a.verdict.value == "ran" for a in answers)


@when("a voter is stopped during {count:d} changes")
def _(context, count):
    simulation = context.simulation
    leader = operator_actions.find_leader(simulation)
    context.away = next(v for v in simulation.voters if v != leader)
    simulation.kill(context.away)
    node = next(
        n
        for n in simulation.entries
        if nodes.get_zone(n) == nodes.get_zone(leader)
    )
    for number in range(count):
        drain = changes.DrainVm("vm-x", number % 2 == 0)
        context.version = operator_actions.apply(
            simulation, drain, node=node, change_id=f"many-{number:04}"
        )


@then(
    "the voter has all changes within {seconds:g} s of its start, from one"
    " snapshot"
)
def _(context, seconds):
    simulation = context.simulation
    before = simulation.sent["SnapshotRequest"]
    simulation.start(context.away)
    role = simulation.roles[context.away]
    simulation.run_until(
        lambda: role.version == context.version, limit_s=seconds
    )
    simulation.run_until(
        lambda: role.voter.commit >= context.version, limit_s=seconds
    )
    assert simulation.sent["SnapshotRequest"] - before == 1


@when("one message in ten is lost")
def _(context):
    context.simulation.loss = 0.1


@when("a change is accepted")
def _(context):
    context.version = operator_actions.apply(context.simulation, SWITCH)


@then("all processes apply the change within {seconds:g} s")
def _(context, seconds):
    context.took_s = wait_for_version(
        context.simulation, context.version, seconds
    )


@when('two control processes of "{zone}" get a change before its isolation')
def _(context, zone):
    simulation = context.simulation
    own = [n for n in simulation.controls if nodes.get_zone(n) == zone]
    behind = own[1]
    for other in (*simulation.controls, *simulation.entries):
        if other != behind:
            simulation.partition(behind, other)
    context.version = operator_actions.apply(
        simulation, changes.DrainVm("newer", True), node=simulation.entries[-1]
    )
    wait_for_version(simulation, context.version, 8, skip=(behind,))
    simulation.heal()
    for node in own:
        # The zone's other control processes are lost with their state.
        if node not in (behind, own[2]):
            simulation.kill(node)
    simulation.isolate_zone(zone)
    context.zone, context.behind = zone, behind
    # The process that is behind must not receive the newer version first.
    simulation.partition(behind, own[2])


@when('an entry of "{zone}" restarts')
def _(context, zone):
    simulation = context.simulation
    context.node = next(
        n for n in simulation.entries if nodes.get_zone(n) == zone
    )
    simulation.start(context.node)


@then("the entry is not ready before it has the version that was in force")
def _(context):
    simulation = context.simulation
    role = simulation.roles[context.node]
    for _ in range(200):
        simulation.run(0.1)
        if role.is_ready():
            break
        assert not role.is_ready()
    assert not role.is_ready() or (
        role.configuration.version >= context.version
    )
    assert role.configuration.version == context.version


@when("a change is accepted and every process restarts at once")
def _(context):
    simulation = context.simulation
    context.version = operator_actions.apply(
        simulation, changes.DrainVm("kept", True)
    )
    for node in (*simulation.controls, *simulation.entries):
        simulation.start(node)


@then("the change is in force everywhere within {seconds:g} s")
def _(context, seconds):
    wait_for_version(context.simulation, context.version, seconds)
    for node in context.simulation.entries:
        assert "kept" in context.simulation.roles[node].configuration.drained


@when("the leader is killed")
def _(context):
    context.killed = operator_actions.find_leader(context.simulation)
    context.simulation.kill(context.killed)


@then(
    "a change submitted in the leader's zone is accepted within {seconds:g} s"
)
def _(context, seconds):
    simulation = context.simulation
    zone = nodes.get_zone(context.killed)
    node = next(n for n in simulation.entries if nodes.get_zone(n) == zone)
    end = simulation.now + seconds
    number = 0
    while simulation.now < end:
        number += 1
        change_id = operator_actions.submit(
            simulation, SWITCH, change_id=f"again-{number}", node=node
        )
        simulation.run_until(lambda c=change_id: c in simulation.outcomes)
        outcome = simulation.outcomes[change_id].outcome
        if outcome and outcome.accepted:
            return
    raise AssertionError("no change was accepted")
