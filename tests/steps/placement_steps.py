"""Steps about placement and repair."""

from __future__ import annotations

from behave import given, then, when
from support import (
    invariants,
    operator_actions,
    simulation as simulation_module,
)

from hickorylead.configuration import changes, model
from hickorylead.membership import announcements
from hickorylead.placement import planner
from hickorylead.roles import nodes
from hickorylead.verdict import Verdict


@then("the other member stayed in its group")
def _(context):
    world = context.world
    dead = world.servers[context.dead].state
    fellows = [
        s.state
        for s in world.servers.values()
        if s.alive and s.state.group == dead.group
    ]
    assert len(fellows) == 2 and {f.generation for f in fellows} == {2}


@when(
    'a member of "{zone}" dies and its replacement within a second of the'
    " repair"
)
def _(context, zone):
    world = context.world
    vm = next(
        vm
        for vm, s in sorted(world.servers.items())
        if s.state.zone == zone and s.state.rank == 1
    )
    group = world.servers[vm].state.group
    world.kill_server(vm)

    def find_replacement():
        return next(
            (
                v
                for v, s in world.servers.items()
                if s.alive
                and s.state.group == group
                and s.state.generation > 1
                and s.state.rank == 1
                and s.state.phase == announcements.PHASE_READY
            ),
            None,
        )

    world.run_until(find_replacement)
    world.run(0.5)
    world.kill_server(find_replacement())
    world.run(6)


@then('every VM of "{zone}" in a group serves in it')
def _(context, zone):
    world = context.world
    groups = {}
    for server in world.servers.values():
        if server.alive and server.state.zone == zone and server.state.group:
            groups.setdefault(server.state.group, []).append(server.state)
    for states in groups.values():
        assert len(states) == states[0].size, states
        assert {s.phase for s in states} == {announcements.PHASE_READY}
        assert len({s.domain for s in states}) == 1


@when('domain "{domain}" goes dark')
def _(context, domain):
    world = context.world
    for vm, server in world.servers.items():
        if server.state.domain == domain:
            world.kill_server(vm)


@when('callers of "{zone}" ask for {seconds:d} s')
def _(context, zone, seconds):
    world = context.world
    own = [n for n in world.entries if nodes.get_zone(n) == zone]
    context.answers = []
    for second in range(seconds):
        world.call_later(
            second,
            lambda s=second: context.answers.append(
                world.submit(own[s % len(own)], "assistant")
            ),
        )
    world.run(seconds + 5)


@then("at least {share:d} in 100 of them got their answer")
def _(context, share):
    ran = sum(a.verdict == Verdict.RAN for a in context.answers)
    assert 100 * ran >= share * len(context.answers), ran


@then('the survivor in "{zone}" is still held')
def _(context, zone):
    held = [s for s in list_survivors(context, zone) if s.group]
    assert len(held) == 3, held


@then('the survivor in "{zone}" is free')
def _(context, zone):
    held = [s for s in list_survivors(context, zone) if s.group]
    assert len(held) == 2, held


def list_survivors(context, zone):
    return [
        s.state
        for s in context.world.servers.values()
        if s.alive and s.state.zone == zone and not s.is_plain
    ]


@when('requests run and the preset "maintenance" is switched to')
def _(context):
    world = context.world
    operator_actions.apply(
        world, changes.ApplyPreset(model.Preset("maintenance", ()))
    )
    context.answers = [
        world.submit(node, "assistant", max_tokens=200)
        for node in world.entries
        for _ in range(3)
    ]
    world.run(1)
    operator_actions.apply(world, changes.SwitchPreset("maintenance"))


@then("no replica serves and every VM is free")
def _(context):
    world = context.world
    for server in world.servers.values():
        assert server.is_plain or not server.state.group, server.state
    refused = world.submit(world.entries[0], "assistant")
    assert refused.code == "no_replica" and refused.verdict == Verdict.NOT_RUN


@when("the version of the service changes")
def _(context):
    world = context.world
    context.gaps = []

    def watch():
        for zone in world.zones:
            own = [n for n in world.entries if nodes.get_zone(n) == zone]
            if not any(
                operator_actions.count_replicas(world, n, zone) for n in own
            ):
                context.gaps.append((world.now, zone))
        world.call_later(0.2, watch)

    watch()
    operator_actions.apply(
        world,
        changes.ApplyService(
            model.Service(
                "assistant", model="lead", version="2", replicas=6, group_size=2
            )
        ),
    )


@then("within {seconds:g} s all replicas hold the new version")
def _(context, seconds):
    world = context.world

    def all_new():
        held = [
            s.state.weights for s in world.servers.values() if s.state.group
        ]
        return len(held) >= 12 and set(held) == {"lead@2"}

    context.took_s = world.run_until(all_new, limit_s=seconds)


@then("some replica of each zone served all the time")
def _(context):
    # A plain service counts as a replica in two zones; the first has none.
    assert not context.gaps, context.gaps[:3]


def start_two_ranks(context, policy, *, engines, urgent, ordinary):
    """Starts one zone with an urgent service and one of a lower rank."""
    world = context.world = simulation_module.Simulation(
        policy=policy, zones=("a",)
    )
    world.checkers = list(invariants.ALL)
    world.group_size = 2
    world.add_engines("a", engines, domain_size=engines)
    operator_actions.bootstrap_cluster(world)
    for name, rank in (("ordinary", 5), ("urgent", 0)):
        service = model.Service(
            name, model="m", version="1", group_size=2, rank=rank
        )
        operator_actions.apply(world, changes.ApplyService(service))
    shares = (
        model.Share("ordinary", "a", ordinary),
        model.Share("urgent", "a", urgent),
    )
    operator_actions.apply(
        world, changes.ApplyPreset(model.Preset("p", shares))
    )
    operator_actions.apply(world, changes.SwitchPreset("p"))
    return world


@when("two services of different rank start with one load at a time")
def _(context):
    policy = planner.Policy(spares=0, max_loads=1)
    start_two_ranks(context, policy, engines=8, urgent=2, ordinary=2).run(30)


@then("the groups of the more urgent service were formed first")
def _(context):
    formed = list(
        dict.fromkeys(
            line.split()[4] for line in context.world.log if "Assign" in line
        )
    )
    services = [group.split("/")[0] for group in formed]
    assert services == ["urgent", "urgent", "ordinary", "ordinary"], services


@when("a service with groups of {size:d} VMs is applied")
def _(context, size):
    world = context.world
    service = model.Service("big", model="m", version="1", group_size=size)
    context.change = operator_actions.submit(
        world, changes.ApplyService(service)
    )
    world.run_until(lambda: context.change in world.outcomes)


@then("the change is refused because it does not fit")
def _(context):
    outcome = context.world.outcomes[context.change].outcome
    assert outcome.reason == "does_not_fit", outcome
    assert "largest one has 6" in outcome.detail, outcome


@given("a zone full of groups of two ranks")
def _(context):
    policy = planner.Policy(spares=0, hold_broken_s=2)
    world = start_two_ranks(context, policy, engines=6, urgent=1, ordinary=2)
    world.run_until(
        lambda: operator_actions.count_replicas(world, world.entries[0]) == 3
    )


@when("the group of the more urgent service loses a member")
def _(context):
    world = context.world
    vm = next(
        vm
        for vm, s in sorted(world.servers.items())
        if s.state.service == "urgent" and s.state.rank == 1
    )
    world.kill_server(vm)
    world.run(6)


@then("within {seconds:g} s the more urgent service serves again")
def _(context, seconds):
    world = context.world
    role = world.roles[world.entries[0]]
    context.took_s = world.run_until(
        lambda: role.table.list_replicas("urgent"), limit_s=seconds
    )


def list_all_nodes(world, zone):
    return [
        n
        for n in (*world.controls, *world.entries)
        if nodes.get_zone(n) == zone
    ]


def count_running(world, zone):
    return len(
        {
            s.state.group
            for s in world.servers.values()
            if s.alive and s.state.zone == zone and s.state.group
        }
    )


@when('zone "{zone}" vanishes with all its VMs')
def _(context, zone):
    world = context.world
    for node in list_all_nodes(world, zone):
        world.kill(node)
    for vm, server in world.servers.items():
        if server.state.zone == zone:
            world.kill_server(vm)


@then("the zones that are left run {count:d} replicas")
def _(context, count):
    world = context.world
    assert sum(count_running(world, z) for z in world.zones) == count


@when('zone "{zone}" is back under traffic for {seconds:d} s')
def _(context, zone, seconds):
    world = context.world
    for node in list_all_nodes(world, zone):
        world.start(node)
    for vm, server in world.servers.items():
        if server.state.zone == zone and not server.is_plain:
            world.restart_server(vm)
    left = [n for n in world.entries if nodes.get_zone(n) != zone]
    context.answers = []
    for step in range(seconds * 5):
        world.call_later(
            step / 5,
            lambda s=step: context.answers.append(
                world.submit(left[s % len(left)], "assistant", max_tokens=40)
            ),
        )
    world.run(seconds + 10)


@then("each zone runs {count:d} replicas and every caller had its answer")
def _(context, count):
    world = context.world
    running = {zone: count_running(world, zone) for zone in world.zones}
    assert set(running.values()) == {count}, running
    codes = {a.code for a in context.answers if a.verdict != Verdict.RAN}
    assert not codes, codes
    attempts = [
        len([s for s in trail.steps if s.code == "attempt"])
        for a in context.answers
        if (
            trail := world.roles[a.entry].dispatcher.trails.get(
                a.request.request_id
            )
        )
    ]
    assert max(attempts) == 1, "a planned drain cut a request"
