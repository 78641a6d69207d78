"""Steps about the presence of backend servers."""

from __future__ import annotations

from behave import then, when

from hickorylead.roles import nodes
from hickorylead.verdict import Verdict


def pick_member(simulation, zone, rank=1):
    return next(
        vm
        for vm, s in sorted(simulation.servers.items())
        if s.state.zone == zone and s.state.group and s.state.rank == rank
    )


@when('the entries of "{zone}" are killed and restarted, one after another')
def _(context, zone):
    simulation = context.simulation
    context.order_count = len(simulation.log)
    for node in simulation.entries:
        if nodes.get_zone(node) == zone:
            simulation.kill(node)
            simulation.run(10)
            simulation.start(node)
            simulation.run(10)


@then('no group of "{zone}" was rebuilt')
def _(context, zone):
    issued = [
        line
        for line in context.simulation.log[context.order_count :]
        if f" {zone}/" in line
    ]
    assert not issued, issued


@when('a member of "{zone}" is paused for {seconds:g} s')
def _(context, zone, seconds):
    context.order_count = len(context.simulation.log)
    context.vm = pick_member(context.simulation, zone, rank=0)
    context.simulation.pause_server(context.vm, seconds)
    if seconds > 10:
        context.simulation.run(6)


@then("the paused member is in no group that was rebuilt without it")
def _(context):
    state = context.simulation.servers[context.vm].state
    if state.group:
        group_members = [
            s.state
            for s in context.simulation.servers.values()
            if s.state.group == state.group
        ]
        assert len(group_members) == state.size
        assert {m.generation for m in group_members} == {state.generation}


@when('half of all messages are lost while a domain of "{zone}" restarts')
def _(context, zone):
    simulation = context.simulation
    simulation.loss = 0.5
    for vm, server in simulation.servers.items():
        if server.state.zone == zone and not server.is_plain:
            simulation.kill_server(vm)
    simulation.run(6)
    for vm, server in simulation.servers.items():
        if server.state.zone == zone and not server.alive:
            simulation.restart_server(vm)
    simulation.run(6)
    simulation.loss = 0.0


@then('the control processes of "{zone}" list exactly the servers present')
def _(context, zone):
    simulation = context.simulation
    present = {
        vm
        for vm, s in simulation.servers.items()
        if s.state.zone == zone and s.is_up(simulation.now)
    }
    for node in simulation.controls:
        if nodes.get_zone(node) == zone:
            status = simulation.roles[node].get_status(simulation.now)
            assert status.members == len(present), (node, status.members)


@when('requests run and a server of "{zone}" announces that it is leaving')
def _(context, zone):
    simulation = context.simulation
    context.answers = [
        simulation.submit(node, "assistant", max_tokens=100)
        for node in simulation.entries
        for _ in range(3)
    ]
    simulation.run(1)
    context.vm = pick_member(simulation, zone, rank=0)
    server = simulation.servers[context.vm]
    assert server.batch.running
    server.member.leave()
    server.left_at = simulation.now
    for step in range(40):
        simulation.call_later(
            step * 0.2,
            lambda n=step: context.answers.append(
                simulation.submit(
                    simulation.entries[n % 9], "assistant", max_tokens=20
                )
            ),
        )


@then("all requests have their complete response")
def _(context):
    incomplete = [
        (a.request.request_id, a.code)
        for a in context.answers
        if a.verdict != Verdict.RAN
    ]
    assert not incomplete, incomplete


@then("the leaving server is in no group")
def _(context):
    assert not context.simulation.servers[context.vm].state.group
