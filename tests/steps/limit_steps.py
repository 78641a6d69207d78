"""Steps about servers that name how many requests they take."""

from __future__ import annotations

import random

from behave import given, then, when
from steps import crash_steps
from support import fleet_simulation, limitfaults, traffic_simulation

# How long faults are played, in seconds.
FAULT_S = 20.0


def send(play, seconds, seed=5):
    """Has callers send requests at random moments to random gateways."""
    limitfaults.send(play, seconds, random.Random(seed))


def name_limit(context, limit, count=None):
    """Has open heads name a limit from now on."""
    play = context.play
    heads = sorted({server.name for server in play.world.list_open()})
    used = [h for h in heads if play.list_arrivals(h)]
    for head in used[:count]:
        play.limits[head] = limit
    context.named_at = play.world.now
    context.before = set(play.submissions)


def list_new(context):
    """Returns what was asked since a limit was named."""
    return [
        submission
        for name, submission in context.play.submissions.items()
        if name not in context.before
    ]


def count_arrivals(context, head, since_s=limitfaults.SETTLE_S):
    """Returns how many requests a head got, from a time on."""
    since = context.named_at + since_s
    return sum(at >= since for at, _ in context.play.list_arrivals(head))


def find_in_charge(context):
    """Returns the coordinator that gives out the permits of limited heads."""
    world = context.play.world
    head = min(context.play.limits)
    zone = world.servers[head].zone
    return next(n for n in world.coordinator_names if n.startswith(f"{zone}/"))


@given("{count:d} gateways with {servers:d} replicas' servers and callers")
def _(context, count, servers):
    world = fleet_simulation.FleetSimulation(
        servers_per_zone=servers // 3, gateways_per_zone=count // 3
    )
    world.bootstrap()
    context.play = traffic_simulation.TrafficSimulation(world)
    context.play.asked_at = {}
    send(context.play, 3.0)


@when("two heads name a limit of {limit:g} a second for {seconds:g} seconds")
def _(context, limit, seconds):
    name_limit(context, limit, 2)
    crash_steps.send(context.play, seconds)


@when("a head names a limit of {limit:g} a second for {seconds:g} seconds")
def _(context, limit, seconds):
    context.play.asked_at = {}
    name_limit(context, limit, 1)
    send(context.play, seconds)


@when("all heads name a limit of {limit:g} a second for {seconds:g} seconds")
def _(context, limit, seconds):
    name_limit(context, limit)
    send(context.play, seconds)


@when("it names none any more for {seconds:g} seconds")
def _(context, seconds):
    context.former = next(iter(context.play.limits))
    context.play.limits.clear()
    context.ended_at = context.play.world.now
    send(context.play, seconds)


@when("{which} heads name a limit of {limit:g} a second while {fault}")
def _(context, which, limit, fault):
    name_limit(context, limit, 2 if which == "two" else None)
    play = context.play
    send(play, 6.0)
    context.fault_at = play.world.now
    FAULTS[fault](context)
    play.world.heal()
    send(play, 6.0, seed=7)


@when("a gateway starts again with the limits in force")
def _(context):
    world = context.play.world
    node = sorted(world.gateways)[0]
    world.kill(node)
    world.start_gateway(node)
    context.started = world.gateways[node]
    world.run_until(lambda: context.started.count_replicas()["replicas"])


@when(
    "no coordinator runs for {seconds:g} seconds in which nobody asks anything"
)
def _(context, seconds):
    play = context.play
    for node in play.world.coordinator_names:
        play.world.kill(node)
    play.run(seconds)
    for node in play.world.coordinator_names:
        play.world.start(node)


@when("each gateway is asked once, {seconds:g} seconds after they are back")
def _(context, seconds):
    play = context.play
    play.run(seconds)
    context.asked_from = play.world.now
    for gateway in sorted(play.world.gateways):
        asked = play.submit(gateway, b"asked %d" % len(play.submissions))
        play.asked_at[asked.name] = play.world.now
        play.run(traffic_simulation.STEP_S)
    play.run(1.0)


@then("none gets more than {most:d} of these requests")
def _(context, most):
    for head in context.play.limits:
        arrivals = context.play.list_arrivals(head)
        found = sum(at >= context.asked_from for at, _ in arrivals)
        assert found <= most, (head, found)


def restart_gateway(context):
    """Starts a gateway again."""
    node = sorted(context.play.world.gateways)[0]
    context.play.world.kill(node)
    send(context.play, 1.0)
    context.play.world.start_gateway(node)
    send(context.play, 4.0)


def restart_in_turn(context):
    """Starts all coordinators again, one after the other."""
    for node in context.play.world.coordinator_names:
        context.play.world.kill(node)
        send(context.play, 1.0)
        context.play.world.start(node)
        send(context.play, 3.0)


def restart_all(context):
    """Starts all coordinators again at the same moment."""
    for node in context.play.world.coordinator_names:
        context.play.world.kill(node)
    send(context.play, 0.5)
    for node in context.play.world.coordinator_names:
        context.play.world.start(node)
    send(context.play, 5.0)


def lose_in_charge(context):
    """Loses the coordinator that gives out the permits, for 5 s."""
    node = find_in_charge(context)
    context.play.world.kill(node)
    send(context.play, 5.0)
    context.play.world.start(node)
    send(context.play, 4.0)


def freeze_in_charge(context):
    """Freezes the coordinator that gives out the permits, for 5 s."""
    node = find_in_charge(context)
    context.play.world.frozen.add(node)
    send(context.play, 5.0)
    context.play.world.unfreeze(node)
    send(context.play, 4.0)


def cut_coordinators(context):
    """Cuts all coordinators from each other; gateways reach all of them."""
    world = context.play.world
    for first in world.coordinator_names:
        others = [node for node in world.coordinator_names if node != first]
        limitfaults.cut(world, [first], others)
    send(context.play, 10.0)


def cut_zone(context):
    """Cuts the nodes of one zone off from all others."""
    world = context.play.world
    nodes = [*world.coordinator_names, *world.gateways]
    inside = [node for node in nodes if node.startswith("z1/")]
    limitfaults.cut(world, inside, [n for n in nodes if n not in inside])
    send(context.play, 10.0)


def lose_all(context):
    """Loses all coordinators."""
    for node in context.play.world.coordinator_names:
        context.play.world.kill(node)
    send(context.play, FAULT_S)
    context.fault_ended_at = context.play.world.now
    for node in context.play.world.coordinator_names:
        context.play.world.start(node)


FAULTS = {
    "a gateway starts again": restart_gateway,
    "the coordinators start again one after the other": restart_in_turn,
    "all coordinators start again": restart_all,
    "the coordinator in charge is lost for 5 seconds": lose_in_charge,
    "the coordinator in charge is frozen for 5 seconds": freeze_in_charge,
    "the coordinators are cut from each other": cut_coordinators,
    "a zone is cut off": cut_zone,
    "all coordinators are lost": lose_all,
}


@then(
    "from {late_s:g} seconds after that neither gets over {most:d} requests "
    "in {window_s:g} seconds"
)
def _(context, late_s, most, window_s):
    assert window_s == limitfaults.WINDOW_S
    since = context.named_at + late_s
    for head in context.play.limits:
        arrivals = context.play.list_arrivals(head)
        found = limitfaults.find_most(arrivals, since)
        late = [a for a in arrivals if a[0] > since]
        assert found <= most, (head, found, late)


@then(
    "{which} ever gets more than it takes, from {late_s:g} seconds after that"
)
def _(context, which, late_s):
    since = context.named_at + late_s
    for head, limit in context.play.limits.items():
        most = limitfaults.find_allowed(limit)
        found = limitfaults.find_most(context.play.list_arrivals(head), since)
        assert found <= most, (head, found, most)


@then("it never gets more than it takes, from {late_s:g} seconds after that")
def _(context, late_s):
    context.execute_steps(
        f"Then none ever gets more than it takes, from {late_s:g} seconds "
        "after that"
    )


@then("it gets at least half of what it takes")
def _(context):
    (head, limit), *_ = context.play.limits.items()
    seconds = context.play.world.now - context.named_at - limitfaults.SETTLE_S
    found = count_arrivals(context, head)
    assert found >= 0.5 * limit * seconds, (found, limit * seconds)


@then("together they get nine tenths of what they take")
def _(context):
    limits = context.play.limits
    seconds = context.play.world.now - context.named_at - limitfaults.SETTLE_S
    found = sum(count_arrivals(context, head) for head in limits)
    assert found >= 0.9 * sum(limits.values()) * seconds, (found, limits)


@then("no request is refused")
def _(context):
    refused = [s for s in list_new(context) if s.status not in (0, 200)]
    assert not refused, refused


@then("the rest is refused as not run within half of its objective")
def _(context):
    refused = [s for s in list_new(context) if s.status not in (0, 200)]
    assert refused
    route = traffic_simulation.ROUTES["drafts"]
    for submission in refused:
        took_s = submission.ended_at - context.play.asked_at[submission.name]
        assert took_s <= 0.5 * route.objective_s, (took_s, submission)
        assert submission.status == 503 and not submission.sent, submission
        assert submission.retry_after_s, submission


@then("each request reaches a replica within a tenth of a second")
def _(context):
    play = context.play
    for submission in list_new(context):
        asked_at = play.asked_at[submission.name]
        if asked_at < play.world.now - 0.1:
            assert submission.sent, submission
            assert submission.sent[0][0] - asked_at <= 0.1, submission


@then(
    "from {late_s:g} seconds after that it gets over {per_s:g} requests "
    "a second"
)
def _(context, late_s, per_s):
    since = context.ended_at + late_s
    times = [at for at, _ in context.play.list_arrivals(context.former)]
    seconds = context.play.world.now - since
    found = sum(at >= since for at in times)
    assert found > per_s * seconds, (found, seconds)


@then("each gets a third of what it takes while no coordinator runs")
def _(context):
    for head, limit in context.play.limits.items():
        found = sum(
            context.fault_at <= at < context.fault_ended_at
            for at, _ in context.play.list_arrivals(head)
        )
        assert found >= limit * FAULT_S / 3, (head, found, limit * FAULT_S)


@then("it knows the limits as soon as it knows the servers")
def _(context):
    limits = context.play.limits
    assert context.started.count_rate_limited_replicas() == len(limits)


@then("nine in ten of them within {limit_s:g} seconds")
def _(context, limit_s):
    delays = [
        submission.sent[0][0] - context.play.asked_at[submission.name]
        for submission in list_new(context)
        if submission.sent
    ]
    late = sum(delay_s > limit_s + 1e-9 for delay_s in delays)
    assert late <= 0.1 * len(delays), (late, len(delays))


@then("random schedules {first:d} to {last:d} of faults keep the limit")
def _(context, first, last):
    for seed in range(first, last + 1):
        found = limitfaults.explore(seed)
        assert found.most <= found.allowed, (seed, found)
