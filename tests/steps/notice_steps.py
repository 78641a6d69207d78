"""Steps about servers that ask for a pause, or say that they leave."""

from __future__ import annotations

import collections

import attrs
from behave import given, then, when
from steps import limit_steps
from support import forwarder_harness, notice_schedules, traffic_simulation

from hickorylead.fleet import instances, orders
from hickorylead.forwarding import events, model
from hickorylead.notices import notice_store
from hickorylead.verdict import Verdict

PAUSED = model.ResponseHead(503, not_run=True, retry_after_s=3.0)


@given("a fleet of {gateways:d} gateways and {servers:d} servers with callers")
def _(context, gateways, servers):
    context.play = notice_schedules.make_play(gateways, servers)


@when(
    "two heads turn requests away and ask for {pause:g} seconds, "
    "for {seconds:g} seconds"
)
def _(context, pause, seconds):
    play = context.play
    context.heads = notice_schedules.list_used(play)[:2]
    play.pausing = dict.fromkeys(context.heads, pause)
    context.began_at = play.world.now
    notice_schedules.send(play, seconds)


@then(
    "no gateway sends over {most:d} requests in a pause that it was asked for"
)
def _(context, most):
    assert most == notice_schedules.MOST_IN_PAUSE
    assert context.play.refusals
    found = notice_schedules.find_most_in_pause(context.play)
    assert found <= most, found


@when(
    "all heads turn requests away and ask for {pause:g} seconds, "
    "for {seconds:g} seconds"
)
def _(context, pause, seconds):
    play = context.play
    heads = {server.name for server in play.world.list_open()}
    play.pausing = dict.fromkeys(heads, pause)
    context.began_at = play.world.now
    notice_schedules.send(play, seconds)


@when("two heads turn requests away and name no time, for {seconds:g} seconds")
def _(context, seconds):
    play = context.play
    context.heads = notice_schedules.list_used(play)[:2]
    play.pausing = dict.fromkeys(context.heads, 0.0)
    context.began_at = play.world.now
    notice_schedules.send(play, seconds)


@then("no gateway sends one of them over {most:d} requests")
def _(context, most):
    counts = collections.Counter(
        (refusal.gateway, refusal.server) for refusal in context.play.refusals
    )
    assert counts and max(counts.values()) <= most, counts


@then("no request was refused")
def _(context):
    refused = [s for s in list_new(context) if s.status not in (0, 200)]
    assert not refused, refused


def list_new(context):
    """Returns what was asked since servers asked for a pause."""
    return [
        submission
        for submission in context.play.submissions.values()
        if submission.asked_at >= context.began_at
    ]


@then(
    "each refused request got {status:d} and a time to come back within "
    "its objective"
)
def _(context, status):
    objective_s = traffic_simulation.ROUTES["drafts"].objective_s
    refused = [s for s in list_new(context) if s.status not in (0, 200)]
    assert refused
    for submission in refused:
        assert submission.status == status, submission
        assert submission.retry_after_s, submission
        took_s = submission.ended_at - submission.asked_at
        assert took_s <= objective_s, submission


@when("they take requests again for {seconds:g} seconds")
def _(context, seconds):
    context.play.pausing.clear()
    context.ended_at = context.play.world.now
    notice_schedules.send(context.play, seconds)


@then(
    "each of them gets over {per_s:g} requests a second from {late_s:g} "
    "seconds after that"
)
def _(context, per_s, late_s):
    since = context.ended_at + late_s
    for head in context.heads:
        times = [at for at, _ in context.play.list_arrivals(head)]
        found = sum(at >= since for at in times)
        seconds = context.play.world.now - since
        assert found > per_s * seconds, (head, found, seconds)


@when(
    "{which} turns requests of one gateway away and asks for {pause:g} seconds"
)
def _(context, which, pause):
    turn_one_away(context, notice_schedules.list_used(context.play)[:1], pause)


@when(
    "all heads turn requests of one gateway away and ask for {pause:g} seconds"
)
def _(context, pause):
    turn_one_away(context, notice_schedules.list_used(context.play), pause)


def turn_one_away(context, heads, pause):
    """Has heads turn one gateway away, and callers go on for that time."""
    play = context.play
    context.heads = heads
    zone = play.world.servers[heads[0]].zone
    node = min(n for n in play.world.gateways if n.startswith(f"{zone}/"))
    play.pausing = dict.fromkeys(heads, pause)
    play.turned_away = node
    while {refusal.server for refusal in play.refusals} != set(heads):
        play.submit(node, b"asked %d" % len(play.submissions))
        play.run(0.05)
    play.pausing.clear()
    context.node, context.began_at = node, play.world.now
    context.ends_at = play.refusals[0].at + pause
    if pause < 10.0:
        notice_schedules.send(play, pause)


def list_gateways(context, since, until):
    """Returns from which gateways the heads got requests in a time."""
    return [
        gateway
        for head in context.heads
        for at, gateway in context.play.list_arrivals(head)
        if since <= at < until
    ]


@then("the other gateways send them over {per_s:g} requests a second meanwhile")
def _(context, per_s):
    found = list_gateways(context, context.began_at, context.ends_at)
    seconds = context.ends_at - context.began_at
    assert context.node not in found, found
    assert len(found) > per_s * seconds, (len(found), seconds)


@then("the other gateways send it nothing from {late_s:g} seconds after that")
def _(context, late_s):
    since = context.play.refusals[0].at + late_s
    found = list_gateways(context, since, context.ends_at)
    assert not found, found


@when("another gateway starts again and is asked {count:d} requests")
def _(context, count):
    world = context.play.world
    node = next(n for n in sorted(world.gateways) if n != context.node)
    world.kill(node)
    context.play.run(0.5)
    world.start_gateway(node)
    started = world.gateways[node]
    world.run_until(lambda: started.count_replicas()["replicas"])
    context.asked = []
    for _ in range(count):
        body = b"asked %d" % len(context.play.submissions)
        context.asked.append(context.play.submit(node, body))
        context.play.run(0.05)


@then("none of them reaches that head")
def _(context):
    sent = [server for asked in context.asked for _, server in asked.sent]
    assert sent and not set(sent) & set(context.heads), sent


@when("a replica's pause is over and no retries are left")
def _(context):
    play = context.play
    refuse(context)
    play.advance(PAUSED.retry_after_s)
    budget = play.forwarder._budgets.get_budget("plain")
    while budget.try_withdraw():
        pass


@then("no call is sent to it while the others have free slots")
def _(context):
    play = context.play
    before = len(play.list_attempts())
    for _ in range(5):
        play.respond(play.send_request("notices"))
        play.advance(0.05)
    names = [sent.replica.name for sent in play.list_attempts()[before:]]
    assert len(names) == 5 and context.first not in names, names


@then("calls are sent to it once retries are left, and then as before")
def _(context):
    play = context.play
    before = len(play.list_attempts())
    for _ in range(60):
        play.respond(play.send_request("notices"))
        play.advance(0.05)
    names = [sent.replica.name for sent in play.list_attempts()[before:]]
    assert names.count(context.first) >= 10, names


@when(
    "two heads turn requests away and ask for {pause:g} seconds while {fault}"
)
def _(context, pause, fault):
    play = context.play
    heads = notice_schedules.list_used(play)[:2]
    play.pausing = dict.fromkeys(heads, pause)
    notice_schedules.send(play, 2.0)
    limit_steps.FAULTS[fault](context)
    play.world.heal()
    notice_schedules.send(play, 4.0, seed=7)


@then(
    "no gateway sends over {most:d} requests in a pause that it was asked for "
    "since"
)
def _(context, most):
    play = context.play
    node = min(play.world.gateways)
    started_at = notice_schedules.find_restart(play, node)
    play.refusals = [
        r for r in play.refusals if r.gateway != node or r.at >= started_at
    ]
    assert any(
        submission.sent and submission.sent[0][0] >= started_at
        for submission in play.submissions.values()
        if submission.gateway == node
    )
    assert notice_schedules.find_most_in_pause(play) <= most


@then("random schedules {first:d} to {last:d} of faults keep pauses")
def _(context, first, last):
    for seed in range(first, last + 1):
        found = notice_schedules.explore(seed)
        assert found.most <= notice_schedules.MOST_IN_PAUSE, (seed, found)
        assert not found.late, (seed, found)


# One gateway, whose replicas the test plays.


def refuse(context, head=PAUSED):
    """Has the replica of a new call turn it away."""
    play = context.play
    name = play.send_request("notices")
    context.first = play.list_attempts(name)[-1].replica.name
    echo = play.list_attempts(name)[-1].request.metadata.attempt_id
    play.send_head(name, attrs.evolve(head, echoed_attempt_id=echo))
    context.paused_at = play.now
    return name


@when("a replica asks for {pause:g} seconds and the others can't be reached")
def _(context, pause):
    play = context.play
    name = refuse(context)
    for _ in range(2):
        sent = play.list_attempts(name)[-1]
        failed = events.AttemptFailed(
            name, sent.attempt, Verdict.NOT_RUN, model.CONNECT_TIMEOUT
        )
        play.deliver(failed)
    assert len(play.list_attempts(name)) == 3


@then("no call is sent to the first one for {pause:g} seconds")
def _(context, pause):
    play = context.play
    before = len(play.list_attempts())
    while play.now < context.paused_at + pause - 0.05:
        play.send_request("notices")
        play.advance(0.1)
    names = [sent.replica.name for sent in play.list_attempts()[before:]]
    assert context.first not in names, names
    play.advance(0.2)
    play.send_request("notices")
    assert context.first in [
        s.replica.name for s in play.list_attempts()[before:]
    ]


@when("the replica asks for a pause of {pause:g} seconds and a call comes")
def _(context, pause):
    refuse(context, attrs.evolve(PAUSED, retry_after_s=pause))
    context.name = context.play.send_request("notices")
    assert not context.play.list_attempts(context.name)


@then("that call is sent when the pause is over")
def _(context):
    context.play.advance(0.04)
    assert len(context.play.list_attempts(context.name)) == 1


@when("the replica asks for {pause:g} seconds and then for {later:g} seconds")
def _(context, pause, later):
    play = context.play
    second = play.send_request("notices")
    refuse(context, attrs.evolve(PAUSED, retry_after_s=pause))
    echo = play.list_attempts(second)[-1].request.metadata.attempt_id
    head = attrs.evolve(PAUSED, retry_after_s=later, echoed_attempt_id=echo)
    play.send_head(second, head)


@when("an answer to another request asks for a pause of {pause:g} seconds")
def _(context, pause):
    play = context.play
    name = play.send_request("notices")
    context.first = play.list_attempts(name)[-1].replica.name
    head = attrs.evolve(
        PAUSED, retry_after_s=pause, echoed_attempt_id="another"
    )
    play.send_head(name, head)
    context.paused_at = play.now


def begin_life(context):
    """Has the replica's next life under its id send a heartbeat."""
    play = context.play
    found = play.registry.instances["p0"]
    play.registry.merge(attrs.evolve(found, born=found.born + 1000), play.now)


@when("the replica asks for {pause:g} seconds and starts again under its id")
def _(context, pause):
    assert pause == PAUSED.retry_after_s
    begin_life(context)
    refuse(context)
    begin_life(context)


@when(
    "the replica starts again under its id and then a pause of its former "
    "life comes"
)
def _(context):
    play = context.play
    begin_life(context)
    name = play.send_request("notices")
    begin_life(context)
    refuse(context, attrs.evolve(PAUSED, retry_after_s=0.01))
    play.advance(0.05)
    echo = play.list_attempts(name)[-1].request.metadata.attempt_id
    play.send_head(name, attrs.evolve(PAUSED, echoed_attempt_id=echo))


@when(
    "the next life of the replica asks for {pause:g} seconds and its former "
    "one for less"
)
def _(context, pause):
    assert pause == PAUSED.retry_after_s
    play = context.play
    begin_life(context)
    name = play.send_request("notices")
    begin_life(context)
    refuse(context)
    echo = play.list_attempts(name)[-1].request.metadata.attempt_id
    play.send_head(
        name, attrs.evolve(PAUSED, retry_after_s=0.01, echoed_attempt_id=echo)
    )


@then("a call is sent to it at once")
def _(context):
    assert context.play.list_attempts(context.play.send_request("notices"))


@then(
    "{servers:d} servers that ask for a pause leave {kept:d} notices of each "
    "kind"
)
def _(context, servers, kept):
    context.notices = notice_store.NoticeStore()
    for number in range(servers):
        replica = model.Replica(f"s{number}", "s", "", "a:1", "z1", 8)
        context.notices.record_response(replica, PAUSED, sent_at=9.9, now=10.0)
    # As many of those that it was asked for itself as of those of all.
    assert len(context.notices) == 2 * kept


@then("none is left when no server is in doubt any more")
def _(context):
    ended_at = 10.0 + PAUSED.retry_after_s
    context.notices.prune(ended_at + notice_store.PROBATION_S)
    assert not len(context.notices)


# Servers that leave.


@when("a head says with its answers that it leaves, for {seconds:g} seconds")
def _(context, seconds):
    play = context.play
    context.head = notice_schedules.list_used(play)[0]
    play.leaving.add(context.head)
    notice_schedules.send(play, seconds)


@then(
    "no gateway sends it a request that came {late_s:g} seconds after it was "
    "told"
)
def _(context, late_s):
    assert late_s == notice_schedules.DRAIN_S
    assert context.play.told_leaving
    found = notice_schedules.list_late(context.play)
    assert not found, found


@when("a head says with its answers that it leaves while {fault}")
def _(context, fault):
    play = context.play
    context.head = notice_schedules.list_used(play)[0]
    play.leaving.add(context.head)
    notice_schedules.send(play, 2.0)
    limit_steps.FAULTS[fault](context)
    play.world.heal()
    notice_schedules.send(play, 4.0, seed=7)


LEAVING = attrs.evolve(forwarder_harness.OK, is_leaving=True)


def leave(context):
    """Has the replica of a new call answer it and say that it leaves."""
    play = context.play
    name = play.send_request("notices")
    sent = play.list_attempts(name)[-1]
    context.first = sent.replica.name
    echo = sent.request.metadata.attempt_id
    play.respond(name, attrs.evolve(LEAVING, echoed_attempt_id=echo))


@when("a replica says that it leaves and is forgotten and known again")
def _(context):
    leave(context)
    play = context.play
    found = play.registry.instances[context.first]
    play.registry.merge(attrs.evolve(found, silent=True), play.now)
    assert play.registry.prune(play.now + 100.0, 60.0) == [context.first]
    play.now += 100.0
    play.registry.merge(attrs.evolve(found, sequence=90), play.now)


@when("a replica says that it leaves and the other can't be reached")
def _(context):
    leave(context)
    play = context.play
    name = play.send_request("notices")
    sent = play.list_attempts(name)[-1]
    play.deliver(
        events.AttemptFailed(
            name, sent.attempt, Verdict.NOT_RUN, model.CONNECT_TIMEOUT
        )
    )


@then("no call is sent to it")
def _(context):
    play = context.play
    before = len(play.list_attempts())
    for _ in range(40):
        play.send_request("notices")
        play.advance(0.05)
    names = [sent.replica.name for sent in play.list_attempts()[before:]]
    assert names, "the other one is used again"
    assert context.first not in names, names


@when("a replica says that it leaves at the beginning of its stream")
def _(context):
    play = context.play
    name = context.name = play.send_request("drafts")
    echo = play.list_attempts(name)[-1].request.metadata.attempt_id
    context.attempt = play.send_head(
        name, attrs.evolve(LEAVING, echoed_attempt_id=echo)
    )


@then("that stream ends whole")
def _(context):
    play, name = context.play, context.name
    for number in range(1, 30):
        play.send_events(name, [number], attempt=context.attempt)
        play.advance(0.1)
    play.deliver(events.ResponseCompleted(name, context.attempt))
    assert len(play.list_attempts(name)) == 1
    assert play.list_effects(name, events.FinishResponse)


@when("the only replica says that it leaves and a call comes")
def _(context):
    leave(context)
    context.asked_at = context.play.now
    context.name = context.play.send_request("alerts")
    context.play.advance(0.2)


@then(
    "that call ends with status {status:d} within {most_s:g} seconds, "
    "never sent"
)
def _(context, status, most_s):
    found = context.play.list_effects(context.name, events.Refuse)
    assert [refusal.status for _, refusal in found] == [status], found
    at, refusal = found[0]
    assert at - context.asked_at <= most_s and refusal.retry_after_s, found
    assert not context.play.list_attempts(context.name)


@when("the replica says that it leaves and starts again under its id")
def _(context):
    begin_life(context)
    leave(context)
    begin_life(context)


@when(
    "the replica says that it leaves and is still there after {late_s:g} "
    "seconds"
)
def _(context, late_s):
    leave(context)
    context.play.now += late_s - 1.0
    assert not context.play.list_attempts(context.play.send_request("notices"))
    context.play.now += 1.5


def tell_leave(context):
    """Has a head answer one gateway, which is told that it leaves."""
    play = context.play
    world = play.world
    context.head = head = notice_schedules.list_used(play)[0]
    zone = world.servers[head].zone
    context.node = min(n for n in world.gateways if n.startswith(f"{zone}/"))
    context.before = len(world.list_open())
    play.leaving.add(head)
    while (context.node, head) not in play.told_leaving:
        play.submit(context.node, b"asked %d" % len(play.submissions))
        play.run(0.05)
    assert len({gateway for gateway, _ in play.told_leaving}) == 1


@when("a head tells one gateway that it leaves")
def _(context):
    tell_leave(context)


@when("a head tells one gateway that it leaves while {fault}")
def _(context, fault):
    world = context.play.world
    node = min(world.gateways)
    home = world.gateways[node]._home
    match fault:
        case "that gateway's home is lost":
            tell_leave(context)
            world.kill(home)
        case "that gateway's first message is lost":
            world.partition(node, home)
            tell_leave(context)
            context.play.run(0.3)
            world.heal()
        case "all coordinators start again":
            for each in world.coordinator_names:
                world.kill(each)
            tell_leave(context)
            for each in world.coordinator_names:
                world.start(each)
        case _:
            raise AssertionError(fault)
    assert context.node == node


@then("no gateway offers that head after {late_s:g} seconds")
def _(context, late_s):
    context.play.run(late_s)
    for name, gateway in context.play.world.gateways.items():
        found = gateway._directory.find(context.head)
        assert found is None, (name, found)


@then("as many groups serve without it within {limit_s:g} seconds")
def _(context, limit_s):
    world = context.play.world

    def is_repaired():
        heads = [server.name for server in world.list_open()]
        return len(heads) >= context.before and context.head not in heads

    world.run_until(is_repaired, limit_s)


@when("it starts again under its id")
def _(context):
    context.play.run(0.5)
    world = context.play.world
    former = world.servers[context.head]
    world.crash(context.head)
    domain = int(former.domain.rpartition("d")[2])
    context.life = world.add_server(context.head, former.zone, domain)
    context.life.born = 2000


@then("all coordinators take it for ready within {limit_s:g} seconds")
def _(context, limit_s):
    context.play.run(limit_s)
    for role in context.play.world.coordinators.values():
        found = role.registry.instances[context.head]
        assert found.born == context.life.born, found
        assert found.phase == instances.PHASE_READY, found


@when(
    "a head asks all coordinators for {pause:g} seconds and a member of it dies"
)
def _(context, pause):
    world = context.play.world
    head = world.servers[notice_schedules.list_used(context.play)[0]]
    context.head, context.before = head.name, len(world.list_open())
    for node in world.coordinator_names:
        world.apply(node, orders.NoticeArrived(head.name, head.born, pause))
    context.taken = head.accepted
    context.calls = []
    world.on_call = lambda node, call: context.calls.append(call)
    world.crash(head.members[1])


@then("it gets no order and no question for {pause:g} seconds")
def _(context, pause):
    world = context.play.world
    world.run(pause - 0.01)
    assert context.calls
    found = [call for call in context.calls if call.name == context.head]
    assert not found, found


@when("a head that nobody hears turns a question of its coordinator away")
def _(context):
    play, world = context.play, context.play.world
    context.head = notice_schedules.list_used(play)[0]
    server = world.servers[context.head]
    node = next(
        n for n in world.coordinator_names if n.startswith(f"{server.zone}/")
    )
    # No stream runs there any more that would show that it lives.
    play.run(2.0)
    for other in [*world.coordinator_names, *world.gateways]:
        world.partition(other, context.head)
    role = world.coordinators[node]
    found = role.registry.instances[context.head]
    assert role._supervisor._ask([found], world.now)
    turned = orders.ReportArrived(context.head, None, is_turned_away=True)
    world.apply(node, turned)
    context.role = role


@then("that head is not marked as silent")
def _(context):
    context.play.world.run(0.2)
    assert not context.role.registry.instances[context.head].silent


@then("as many groups serve as with it within {limit_s:g} seconds")
def _(context, limit_s):
    world = context.play.world
    world.run_until(lambda: len(world.list_open()) >= context.before, limit_s)
