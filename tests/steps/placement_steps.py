"""Steps of placement and repair."""

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
    simulation = context.simulation
    dead = simulation.servers[context.dead].state
    members = [
        s.state
        for s in simulation.servers.values()
        if s.alive and s.state.group == dead.group
    ]
    assert len(members) == 2 and {m.generation for m in members} == {2}


@when(
    'a member of "{zone}" dies and its replacement dies within a second of the'
    " repair"
)
def _(context, zone):
    simulation = context.simulation
    vm = next(
        vm
        for vm, s in sorted(simulation.servers.items())
        if s.state.zone == zone and s.state.rank == 1
    )
    group = simulation.servers[vm].state.group
    simulation.kill_server(vm)

    def find_replacement():
        return next(
            (
                v
                for v, s in simulation.servers.items()
                if s.alive
                and s.state.group == group
                and s.state.generation > 1
                and s.state.rank == 1
                and s.state.phase == announcements.PHASE_READY
            ),
            None,
        )

    simulation.run_until(find_replacement)
    simulation.run(0.5)
    simulation.kill_server(find_replacement())
    simulation.run(6)


@then('every VM of "{zone}" that is in a group serves')
def _(context, zone):
    simulation = context.simulation
    groups = {}
    for server in simulation.servers.values():
        if server.alive and server.state.zone == zone and server.state.group:
            groups.setdefault(server.state.group, []).append(server.state)
    for states in groups.values():
        assert len(states) == states[0].size, states
        assert {s.phase for s in states} == {announcements.PHASE_READY}
        assert len({s.domain for s in states}) == 1


@when('all VMs of domain "{domain}" fail')
def _(context, domain):
    simulation = context.simulation
    for vm, server in simulation.servers.items():
        if server.state.domain == domain:
            simulation.kill_server(vm)


@when('callers of "{zone}" send requests for {seconds:d} s')
def _(context, zone, seconds):
    simulation = context.simulation
    own = [n for n in simulation.entries if nodes.get_zone(n) == zone]
    context.answers = []
    for second in range(seconds):
        simulation.call_later(
            second,
            lambda s=second: context.answers.append(
                simulation.submit(own[s % len(own)], "assistant")
            ),
        )
    simulation.run(seconds + 5)


@then("at least {share:d} in 100 of their requests succeeded")
def _(context, share):
    ran = sum(a.verdict == Verdict.RAN for a in context.answers)
    assert 100 * ran >= share * len(context.answers), ran


@then('the surviving member in "{zone}" is still in its group')
def _(context, zone):
    held = [s for s in list_live_engines(context, zone) if s.group]
    assert len(held) == 3, held


@then('the surviving member in "{zone}" is free')
def _(context, zone):
    held = [s for s in list_live_engines(context, zone) if s.group]
    assert len(held) == 2, held


def list_live_engines(context, zone):
    return [
        s.state
        for s in context.simulation.servers.values()
        if s.alive and s.state.zone == zone and not s.is_plain
    ]


@when('an operator switches to the preset "maintenance" while requests run')
def _(context):
    simulation = context.simulation
    operator_actions.apply(
        simulation, changes.ApplyPreset(model.Preset("maintenance", ()))
    )
    context.answers = [
        simulation.submit(node, "assistant", max_tokens=200)
        for node in simulation.entries
        for _ in range(3)
    ]
    simulation.run(1)
    operator_actions.apply(simulation, changes.SwitchPreset("maintenance"))


@then("no replica serves and every VM is free")
def _(context):
    simulation = context.simulation
    for server in simulation.servers.values():
        assert server.is_plain or not server.state.group, server.state
    refused = simulation.submit(simulation.entries[0], "assistant")
    assert refused.code == "no_replica" and refused.verdict == Verdict.NOT_RUN


@when("the version of the service changes")
def _(context):
    simulation = context.simulation
    context.gaps = []

    def watch():
        for zone in simulation.zones:
            own = [n for n in simulation.entries if nodes.get_zone(n) == zone]
            if not any(
                operator_actions.count_replicas(simulation, n, zone)
                for n in own
            ):
                context.gaps.append((simulation.now, zone))
        simulation.call_later(0.2, watch)

    watch()
    operator_actions.apply(
        simulation,
        changes.ApplyService(
            model.Service(
                "assistant", model="lead", version="2", replicas=6, group_size=2
            )
        ),
    )


@then("within {seconds:g} s all replicas hold the new version")
def _(context, seconds):
    simulation = context.simulation

    def all_new():
        held = [
            s.state.weights
            for s in simulation.servers.values()
            if s.state.group
        ]
        return len(held) >= 12 and set(held) == {"lead@2"}

    context.took_s = simulation.run_until(all_new, limit_s=seconds)


@then("each zone had a serving replica all the time")
def _(context):
    # A plain service counts as a replica in two zones; the first zone has none.
    assert not context.gaps, context.gaps[:3]


def start_two_ranks(context, policy, *, engines, urgent, ordinary):
    """Starts one zone with an urgent service and one of a lower rank."""
    simulation = context.simulation = simulation_module.Simulation(
        policy=policy, zones=("a",)
    )
    simulation.checkers = list(invariants.ALL)
    simulation.group_size = 2
    simulation.add_engines("a", engines, domain_size=engines)
    operator_actions.bootstrap_cluster(simulation)
    for name, rank in (("ordinary", 5), ("urgent", 0)):
        service = model.Service(
            name, model="m", version="1", group_size=2, rank=rank
        )
        operator_actions.apply(simulation, changes.ApplyService(service))
    shares = (
        model.Share("ordinary", "a", ordinary),
        model.Share("urgent", "a", urgent),
    )
    operator_actions.apply(
        simulation, changes.ApplyPreset(model.Preset("p", shares))
    )
    operator_actions.apply(simulation, changes.SwitchPreset("p"))
    return simulation


@when("two services of different rank start with one load at a time")
def _(context):
    policy = planner.Policy(spares=0, max_loads=1)
    start_two_ranks(context, policy, engines=8, urgent=2, ordinary=2).run(30)


@then("the groups of the more urgent service were formed first")
def _(context):
    formed = list(
        dict.fromkeys(
            line.split()[4]
            for line in context.simulation.log
            if "Assign" in line
        )
    )
    services = [group.split("/")[0] for group in formed]
    assert services == ["urgent", "urgent", "ordinary", "ordinary"], services


@when("a service with groups of {size:d} VMs is applied")
def _(context, size):
    simulation = context.simulation
    service = model.Service("big", model="m", version="1", group_size=size)
    context.change = operator_actions.submit(
        simulation, changes.ApplyService(service)
    )
    simulation.run_until(lambda: context.change in simulation.outcomes)


@then("the change is refused because it does not fit")
def _(context):
    outcome = context.simulation.outcomes[context.change].outcome
    assert outcome.reason == "does_not_fit", outcome
    assert "largest one has 6" in outcome.detail, outcome


@given("a zone full of groups of two ranks")
def _(context):
    policy = planner.Policy(spares=0, hold_broken_s=2)
    simulation = start_two_ranks(
        context, policy, engines=6, urgent=1, ordinary=2
    )
    simulation.run_until(
        lambda: (
            operator_actions.count_replicas(simulation, simulation.entries[0])
            == 3
        )
    )


@when("the group of the more urgent service loses a member")
def _(context):
    simulation = context.simulation
    vm = next(
        vm
        for vm, s in sorted(simulation.servers.items())
        if s.state.service == "urgent" and s.state.rank == 1
    )
    simulation.kill_server(vm)
    simulation.run(6)


@then("within {seconds:g} s the more urgent service serves again")
def _(context, seconds):
    simulation = context.simulation
    role = simulation.roles[simulation.entries[0]]
    context.took_s = simulation.run_until(
        lambda: role.table.list_replicas("urgent"), limit_s=seconds
    )


def list_all_nodes(simulation, zone):
    return [
        n
        for n in (*simulation.controls, *simulation.entries)
        if nodes.get_zone(n) == zone
    ]


def count_running(simulation, zone):
    return len(
        {
            s.state.group
            for s in simulation.servers.values()
            if s.alive and s.state.zone == zone and s.state.group
        }
    )


@when('all processes and VMs of zone "{zone}" fail')
def _(context, zone):
    simulation = context.simulation
    for node in list_all_nodes(simulation, zone):
        simulation.kill(node)
    for vm, server in simulation.servers.items():
        if server.state.zone == zone:
            simulation.kill_server(vm)


@then("the remaining zones run {count:d} replicas")
def _(context, count):
    simulation = context.simulation
    assert sum(count_running(simulation, z) for z in simulation.zones) == count


@when('zone "{zone}" returns and traffic runs for {seconds:d} s')
def _(context, zone, seconds):
    simulation = context.simulation
    for node in list_all_nodes(simulation, zone):
        simulation.start(node)
    for vm, server in simulation.servers.items():
        if server.state.zone == zone and not server.is_plain:
            simulation.restart_server(vm)
    remaining = [n for n in simulation.entries if nodes.get_zone(n) != zone]
    context.answers = []
    for step in range(seconds * 5):
        simulation.call_later(
            step / 5,
            lambda s=step: context.answers.append(
                simulation.submit(
                    remaining[s % len(remaining)], "assistant", max_tokens=40
                )
            ),
        )
    simulation.run(seconds + 10)


@then("each zone runs {count:d} replicas and every request succeeded")
def _(context, count):
    simulation = context.simulation
    running = {
        zone: count_running(simulation, zone) for zone in simulation.zones
    }
    assert set(running.values()) == {count}, running
    codes = {a.code for a in context.answers if a.verdict != Verdict.RAN}
    assert not codes, codes
    attempts = [
        len([s for s in history.steps if s.code == "attempt"])
        for a in context.answers
        if (
            history := simulation.roles[a.entry].dispatcher.histories.get(
                a.request.request_id
            )
        )
    ]
    assert max(attempts) == 1, "a planned drain aborted a request"
