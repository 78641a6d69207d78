"""Steps about the configuration log."""

from __future__ import annotations

from behave import then, when
from support import operator_actions

from hickorylead.configuration import changes
from hickorylead.roles import nodes

SWITCH = changes.SwitchPreset("ordinary")


def get_version(world, node):
    role = world.roles[node]
    if node in world.entries:
        return role.configuration.version
    return role.version


def follow(world, version, limit_s, skip=()):
    return world.run_until(
        lambda: all(
            get_version(world, node) >= version
            for node in world.roles
            if node not in skip
        ),
        limit_s=limit_s,
    )


@when("two operators in two zones change the configuration from one version")
def _(context):
    world = context.world
    expected = get_version(world, world.controls[0])
    context.pair = [
        operator_actions.submit(
            world,
            changes.DrainVm(f"vm-{node}", True),
            change_id=f"race-{node}",
            node=node,
            expected=expected,
        )
        for node in (world.entries[0], world.entries[-1])
    ]
    world.run_until(lambda: all(c in world.outcomes for c in context.pair))


@then("one change is accepted and the other is told the winning version")
def _(context):
    outcomes = [context.world.outcomes[c].outcome for c in context.pair]
    won = [o for o in outcomes if o.accepted]
    lost = [o for o in outcomes if not o.accepted]
    assert len(won) == len(lost) == 1, outcomes
    assert lost[0].reason == "version_conflict", lost
    assert lost[0].version == won[0].version, outcomes


@when("a change is accepted and its leader is killed")
def _(context):
    world = context.world
    context.expected = get_version(world, operator_actions.find_leader(world))
    context.version = operator_actions.apply(
        world, SWITCH, change_id="change-resent"
    )
    context.killed = operator_actions.find_leader(world)
    world.kill(context.killed)


@when("the same change is sent again through another zone")
def _(context):
    world = context.world
    node = next(
        n
        for n in world.entries
        if nodes.get_zone(n) != nodes.get_zone(context.killed)
    )
    del world.outcomes["change-resent"]
    world.run_until(lambda: operator_actions.find_leader(world))
    operator_actions.submit(
        world,
        SWITCH,
        change_id="change-resent",
        node=node,
        expected=context.expected,
    )
    world.run_until(lambda: "change-resent" in world.outcomes)


@then("the resend gets the first answer and the version is the same")
def _(context):
    outcome = context.world.outcomes["change-resent"].outcome
    assert outcome.accepted and outcome.version == context.version, outcome
    leader = operator_actions.find_leader(context.world)
    assert get_version(context.world, leader) == context.version


@when('an operator in "{zone}" submits a change')
def _(context, zone):
    world = context.world
    context.asked_at = world.now
    node = next(n for n in world.entries if nodes.get_zone(n) == zone)
    operator_actions.submit(
        world, changes.DrainVm("never", True), change_id="cut-off", node=node
    )


@then("the change is refused within {seconds:g} s as certainly not applied")
def _(context, seconds):
    world = context.world
    world.run_until(lambda: "cut-off" in world.outcomes, limit_s=seconds)
    answer = world.outcomes["cut-off"]
    assert answer.outcome is None and not answer.may_apply, answer


@then("the refused change is in force nowhere")
def _(context):
    for node, role in context.world.roles.items():
        if node in context.world.entries:
            assert "never" not in role.configuration.drained, node


@when("the leader is cut off from all others")
def _(context):
    world = context.world
    context.old = operator_actions.find_leader(world)
    context.version = get_version(world, context.old)
    for other in (*world.controls, *world.entries):
        if other != context.old:
            world.partition(context.old, other)


@then("never two processes lead, and a new one leads within {seconds:g} s")
def _(context, seconds):
    world = context.world

    def has_new_leader():
        leaders = [
            n
            for n in world.voters
            if world.roles[n].voter.is_ready_leader(world.now)
        ]
        assert len(leaders) <= 1, leaders
        return leaders and leaders != [context.old]

    context.took_s = world.run_until(has_new_leader, limit_s=seconds)


@then(
    "a change submitted to the new side is in force within {seconds:g} s"
    " everywhere else"
)
def _(context, seconds):
    world = context.world
    node = next(
        n
        for n in world.entries
        if nodes.get_zone(n) != nodes.get_zone(context.old)
    )
    version = operator_actions.apply(
        world, SWITCH, node=node, expected=context.version
    )
    follow(world, version, seconds, skip=(context.old,))


@when("a voter that does not lead is cut off for {seconds:g} s")
def _(context, seconds):
    world = context.world
    context.old = operator_actions.find_leader(world)
    context.term = world.roles[context.old].voter.term
    cut = next(v for v in world.voters if v != context.old)
    for other in world.controls:
        if other != cut:
            world.partition(cut, other)
    world.run(seconds)
    world.heal()
    world.run(10)


@then("the leader and its term are as before")
def _(context):
    world = context.world
    assert operator_actions.find_leader(world) == context.old
    assert world.roles[context.old].voter.term == context.term


@when("each voter loses its disk, one after another")
def _(context):
    world = context.world
    context.version = operator_actions.apply(
        world, changes.DrainVm("kept", True)
    )
    for voter in world.voters:
        world.wipe_disk(voter)
        world.run(1)
        world.start(voter)
        incarnation = f"{voter}#i{world.disk_incarnations[voter]}"
        world.run_until(
            lambda i=incarnation: (
                (leader := operator_actions.find_leader(world))
                and i in world.roles[leader].voter.voters
                and len(world.roles[leader].voter.voters) == 3
            ),
            limit_s=40,
        )
    assert all(world.disk_incarnations[v] == 1 for v in world.voters)


@then("every accepted change is still in force")
def _(context):
    world = context.world
    version = operator_actions.apply(world, SWITCH)
    assert version == context.version + 1
    follow(world, version, 8)
    for node in world.entries:
        assert "kept" in world.roles[node].configuration.drained


@when("two voters lose their disks at the same time")
def _(context):
    world = context.world
    context.version = get_version(world, operator_actions.find_leader(world))
    for voter in world.voters[:2]:
        world.wipe_disk(voter)
        world.start(voter)


@then("no process leads and the version in force is as before")
def _(context):
    world = context.world
    assert not operator_actions.find_leader(world)
    for node in world.entries:
        assert get_version(world, node) == context.version, node


@then("the entries go on serving")
def _(context):
    world = context.world
    answers = [world.submit(node, "assistant") for node in world.entries]
    world.run(5)
    assert all(a.verdict and a.verdict.value == "ran" for a in answers)


@when("a voter is away for {count:d} changes")
def _(context, count):
    world = context.world
    leader = operator_actions.find_leader(world)
    context.away = next(v for v in world.voters if v != leader)
    world.kill(context.away)
    node = next(
        n for n in world.entries if nodes.get_zone(n) == nodes.get_zone(leader)
    )
    for number in range(count):
        drain = changes.DrainVm("vm-x", number % 2 == 0)
        context.version = operator_actions.apply(
            world, drain, node=node, change_id=f"many-{number:04}"
        )


@then("it has them all within {seconds:g} s of its return, by one snapshot")
def _(context, seconds):
    world = context.world
    before = world.sent["SnapshotRequest"]
    world.start(context.away)
    role = world.roles[context.away]
    world.run_until(lambda: role.version == context.version, limit_s=seconds)
    world.run_until(
        lambda: role.voter.commit >= context.version, limit_s=seconds
    )
    assert world.sent["SnapshotRequest"] - before == 1


@when("one message in ten is lost")
def _(context):
    context.world.loss = 0.1


@when("a change is accepted")
def _(context):
    context.version = operator_actions.apply(context.world, SWITCH)


@then("all processes follow it within {seconds:g} s")
def _(context, seconds):
    context.took_s = follow(context.world, context.version, seconds)


@when('a change reaches two control processes of "{zone}" before the cut')
def _(context, zone):
    world = context.world
    own = [n for n in world.controls if nodes.get_zone(n) == zone]
    behind = own[1]
    for other in (*world.controls, *world.entries):
        if other != behind:
            world.partition(behind, other)
    context.version = operator_actions.apply(
        world, changes.DrainVm("newer", True), node=world.entries[-1]
    )
    follow(world, context.version, 8, skip=(behind,))
    world.heal()
    for node in own:
        # The others of the zone are gone, or lost what they held.
        if node not in (behind, own[2]):
            world.kill(node)
    world.isolate_zone(zone)
    context.zone, context.behind = zone, behind
    # The one that is behind must not learn the newer version first.
    world.partition(behind, own[2])


@when('an entry of "{zone}" restarts')
def _(context, zone):
    world = context.world
    context.node = next(n for n in world.entries if nodes.get_zone(n) == zone)
    world.start(context.node)


@then("it is not ready below the version that was in force")
def _(context):
    world = context.world
    role = world.roles[context.node]
    for _ in range(200):
        world.run(0.1)
        if role.is_ready():
            break
        assert not role.is_ready()
    assert not role.is_ready() or (
        role.configuration.version >= context.version
    )
    assert role.configuration.version == context.version


@when("a change is accepted and every process restarts at once")
def _(context):
    world = context.world
    context.version = operator_actions.apply(
        world, changes.DrainVm("kept", True)
    )
    for node in (*world.controls, *world.entries):
        world.start(node)


@then("the change is in force everywhere within {seconds:g} s")
def _(context, seconds):
    follow(context.world, context.version, seconds)
    for node in context.world.entries:
        assert "kept" in context.world.roles[node].configuration.drained


@when("the leader is killed")
def _(context):
    context.killed = operator_actions.find_leader(context.world)
    context.world.kill(context.killed)


@then("a change through its zone is accepted within {seconds:g} s")
def _(context, seconds):
    world = context.world
    zone = nodes.get_zone(context.killed)
    node = next(n for n in world.entries if nodes.get_zone(n) == zone)
    end = world.now + seconds
    number = 0
    while world.now < end:
        number += 1
        change_id = operator_actions.submit(
            world, SWITCH, change_id=f"again-{number}", node=node
        )
        world.run_until(lambda c=change_id: c in world.outcomes)
        outcome = world.outcomes[change_id].outcome
        if outcome and outcome.accepted:
            return
    raise AssertionError("no change was accepted")
