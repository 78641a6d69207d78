"""Steps about the presence of backend servers."""

from __future__ import annotations

from behave import then, when

from hickorylead.roles import nodes
from hickorylead.verdict import Verdict


def pick_member(world, zone, rank=1):
    return next(
        vm
        for vm, s in sorted(world.servers.items())
        if s.state.zone == zone and s.state.group and s.state.rank == rank
    )


@when('the entries of "{zone}" die and return, one after another')
def _(context, zone):
    world = context.world
    context.order_count = len(world.log)
    for node in world.entries:
        if nodes.get_zone(node) == zone:
            world.kill(node)
            world.run(10)
            world.start(node)
            world.run(10)


@then('no group of "{zone}" was rebuilt')
def _(context, zone):
    given = [
        line
        for line in context.world.log[context.order_count :]
        if f" {zone}/" in line
    ]
    assert not given, given


@when('a member of "{zone}" is paused for {seconds:g} s')
def _(context, zone, seconds):
    context.order_count = len(context.world.log)
    context.vm = pick_member(context.world, zone, rank=0)
    context.world.pause_server(context.vm, seconds)
    if seconds > 10:
        context.world.run(6)


@then("the paused member belongs to no group of which it is not part")
def _(context):
    state = context.world.servers[context.vm].state
    if state.group:
        fellows = [
            s.state
            for s in context.world.servers.values()
            if s.state.group == state.group
        ]
        assert len(fellows) == state.size
        assert {f.generation for f in fellows} == {state.generation}


@when('half of all messages are lost while a domain of "{zone}" restarts')
def _(context, zone):
    world = context.world
    world.loss = 0.5
    for vm, server in world.servers.items():
        if server.state.zone == zone and not server.is_plain:
            world.kill_server(vm)
    world.run(6)
    for vm, server in world.servers.items():
        if server.state.zone == zone and not server.alive:
            world.restart_server(vm)
    world.run(6)
    world.loss = 0.0


@then('the control processes of "{zone}" know exactly the servers present')
def _(context, zone):
    world = context.world
    present = {
        vm
        for vm, s in world.servers.items()
        if s.state.zone == zone and s.is_up(world.now)
    }
    for node in world.controls:
        if nodes.get_zone(node) == zone:
            status = world.roles[node].get_status(world.now)
            assert status.members == len(present), (node, status.members)


@when('requests run and a server of "{zone}" announces that it leaves')
def _(context, zone):
    world = context.world
    context.answers = [
        world.submit(node, "assistant", max_tokens=100)
        for node in world.entries
        for _ in range(3)
    ]
    world.run(1)
    context.vm = pick_member(world, zone, rank=0)
    server = world.servers[context.vm]
    assert server.batch.running
    server.member.leave()
    server.left_at = world.now
    for step in range(40):
        world.call_later(
            step * 0.2,
            lambda n=step: context.answers.append(
                world.submit(world.entries[n % 9], "assistant", max_tokens=20)
            ),
        )


@then("all requests have their whole answer")
def _(context):
    wrong = [
        (a.request.request_id, a.code)
        for a in context.answers
        if a.verdict != Verdict.RAN
    ]
    assert not wrong, wrong


@then("the leaving server is in no group")
def _(context):
    assert not context.world.servers[context.vm].state.group
