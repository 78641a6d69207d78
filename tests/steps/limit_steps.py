"""Steps about servers that name a rate limit."""

from __future__ import annotations

import random

from behave import given, then, when
from steps import crash_steps
from support import fleet_simulation, limit_schedules, traffic_simulation

# How long all coordinators are stopped in a fault scenario, in seconds.
FAULT_S = 20.0


def send(traffic, seconds, seed=5):
    """Sends requests of callers at random times to random gateways."""
    limit_schedules.send(traffic, seconds, random.Random(seed))


def set_limit(context, limit, count=None):
    """Makes open heads name a limit from now on."""
    traffic = context.traffic
    heads = sorted(
        {server.name for server in traffic.simulation.list_open_heads()}
    )
    used = [h for h in heads if traffic.list_arrivals(h)]
    for head in used[:count]:
        traffic.limits[head] = limit
    context.named_at = traffic.simulation.now
    context.before = set(traffic.submissions)


def list_new_submissions(context):
    """Returns the submissions since a limit was named."""
    return [
        submission
        for name, submission in context.traffic.submissions.items()
        if name not in context.before
    ]


def count_arrivals(context, head, since_s=limit_schedules.SETTLE_S):
    """Returns how many requests a head got from a time on."""
    since = context.named_at + since_s
    return sum(at >= since for at, _ in context.traffic.list_arrivals(head))


def find_owner(context):
    """Returns the coordinator that grants the permits of limited heads."""
    simulation = context.traffic.simulation
    head = min(context.traffic.limits)
    zone = simulation.servers[head].zone
    return next(
        n for n in simulation.coordinator_names if n.startswith(f"{zone}/")
    )


@given("{count:d} gateways and {servers:d} servers with callers")
def _(context, count, servers):
    simulation = fleet_simulation.FleetSimulation(
        servers_per_zone=servers // 3, gateways_per_zone=count // 3
    )
    simulation.bootstrap()
    context.traffic = traffic_simulation.TrafficSimulation(simulation)
    context.traffic.submitted_at = {}
    send(context.traffic, 3.0)


@when("two heads name a limit of {limit:g} a second for {seconds:g} seconds")
def _(context, limit, seconds):
    set_limit(context, limit, 2)
    crash_steps.send(context.traffic, seconds)


@when("a head names a limit of {limit:g} a second for {seconds:g} seconds")
def _(context, limit, seconds):
    context.traffic.submitted_at = {}
    set_limit(context, limit, 1)
    send(context.traffic, seconds)


@when("all heads name a limit of {limit:g} a second for {seconds:g} seconds")
def _(context, limit, seconds):
    set_limit(context, limit)
    send(context.traffic, seconds)


@when("that head stops naming a limit for {seconds:g} seconds")
def _(context, seconds):
    context.limited_head = next(iter(context.traffic.limits))
    context.traffic.limits.clear()
    context.limits_ended_at = context.traffic.simulation.now
    send(context.traffic, seconds)


@when("{which} heads name a limit of {limit:g} a second while {fault}")
def _(context, which, limit, fault):
    set_limit(context, limit, 2 if which == "two" else None)
    traffic = context.traffic
    send(traffic, 6.0)
    context.fault_at = traffic.simulation.now
    FAULTS[fault](context)
    traffic.simulation.heal()
    send(traffic, 6.0, seed=7)


@when("a gateway restarts while the limits are in force")
def _(context):
    simulation = context.traffic.simulation
    node = sorted(simulation.gateways)[0]
    simulation.kill(node)
    simulation.start_gateway(node)
    context.started = simulation.gateways[node]
    simulation.run_until(lambda: context.started.count_replicas()["replicas"])


@when(
    "no coordinator runs for {seconds:g} seconds in which there are no requests"
)
def _(context, seconds):
    traffic = context.traffic
    for node in traffic.simulation.coordinator_names:
        traffic.simulation.kill(node)
    traffic.run(seconds)
    for node in traffic.simulation.coordinator_names:
        traffic.simulation.start(node)


@when(
    "each gateway gets one request, {seconds:g} seconds after the coordinators "
    "are back"
)
def _(context, seconds):
    traffic = context.traffic
    traffic.run(seconds)
    context.submitted_from = traffic.simulation.now
    for gateway in sorted(traffic.simulation.gateways):
        submission = traffic.submit(
            gateway, b"asked %d" % len(traffic.submissions)
        )
        traffic.submitted_at[submission.name] = traffic.simulation.now
        traffic.run(traffic_simulation.STEP_S)
    traffic.run(1.0)


@then("no head gets more than {most:d} of these requests")
def _(context, most):
    for head in context.traffic.limits:
        arrivals = context.traffic.list_arrivals(head)
        found = sum(at >= context.submitted_from for at, _ in arrivals)
        assert found <= most, (head, found)


def restart_gateway(context):
    """Restarts a gateway."""
    node = sorted(context.traffic.simulation.gateways)[0]
    context.traffic.simulation.kill(node)
    send(context.traffic, 1.0)
    context.traffic.simulation.start_gateway(node)
    send(context.traffic, 4.0)


def restart_in_turn(context):
    """Restarts all coordinators, one after the other."""
    for node in context.traffic.simulation.coordinator_names:
        context.traffic.simulation.kill(node)
        send(context.traffic, 1.0)
        context.traffic.simulation.start(node)
        send(context.traffic, 3.0)


def restart_all_coordinators(context):
    """Restarts all coordinators at the same moment."""
    for node in context.traffic.simulation.coordinator_names:
        context.traffic.simulation.kill(node)
    send(context.traffic, 0.5)
    for node in context.traffic.simulation.coordinator_names:
        context.traffic.simulation.start(node)
    send(context.traffic, 5.0)


def stop_owner(context):
    """Stops the coordinator that grants the permits, for 5 s."""
    node = find_owner(context)
    context.traffic.simulation.kill(node)
    send(context.traffic, 5.0)
    context.traffic.simulation.start(node)
    send(context.traffic, 4.0)


def freeze_owner(context):
    """Freezes the coordinator that grants the permits, for 5 s."""
    node = find_owner(context)
    context.traffic.simulation.frozen.add(node)
    send(context.traffic, 5.0)
    context.traffic.simulation.unfreeze(node)
    send(context.traffic, 4.0)


def partition_coordinators(context):
    """Partitions all coordinators from each other, but not from gateways."""
    simulation = context.traffic.simulation
    for first in simulation.coordinator_names:
        others = [
            node for node in simulation.coordinator_names if node != first
        ]
        limit_schedules.partition(simulation, [first], others)
    send(context.traffic, 10.0)


def isolate_zone(context):
    """Partitions the nodes of one zone from all others."""
    simulation = context.traffic.simulation
    nodes = [*simulation.coordinator_names, *simulation.gateways]
    inside = [node for node in nodes if node.startswith("z1/")]
    limit_schedules.partition(
        simulation, inside, [n for n in nodes if n not in inside]
    )
    send(context.traffic, 10.0)


def stop_all_coordinators(context):
    """Stops all coordinators for some time."""
    for node in context.traffic.simulation.coordinator_names:
        context.traffic.simulation.kill(node)
    send(context.traffic, FAULT_S)
    context.fault_ended_at = context.traffic.simulation.now
    for node in context.traffic.simulation.coordinator_names:
        context.traffic.simulation.start(node)


FAULTS = {
    "a gateway restarts": restart_gateway,
    "the coordinators restart one after the other": restart_in_turn,
    "all coordinators restart": restart_all_coordinators,
    "the owner is stopped for 5 seconds": stop_owner,
    "the owner is frozen for 5 seconds": freeze_owner,
    "the coordinators are partitioned from each other": partition_coordinators,
    "a zone is isolated": isolate_zone,
    "all coordinators are stopped": stop_all_coordinators,
}


@then(
    "from {late_s:g} seconds after these heads name the limit neither gets "
    "over {most:d} requests in {window_s:g} seconds"
)
def _(context, late_s, most, window_s):
    assert window_s == limit_schedules.WINDOW_S
    since = context.named_at + late_s
    for head in context.traffic.limits:
        arrivals = context.traffic.list_arrivals(head)
        found = limit_schedules.find_max_in_window(arrivals, since)
        late = [a for a in arrivals if a[0] > since]
        assert found <= most, (head, found, late)


@then(
    "{which} gets more than it accepts from {late_s:g} seconds after the limit "
    "is named"
)
def _(context, which, late_s):
    since = context.named_at + late_s
    for head, limit in context.traffic.limits.items():
        most = limit_schedules.get_allowed_requests(limit)
        found = limit_schedules.find_max_in_window(
            context.traffic.list_arrivals(head), since
        )
        assert found <= most, (head, found, most)


@then(
    "that head gets no more than it accepts from {late_s:g} seconds after it "
    "names the limit"
)
def _(context, late_s):
    context.execute_steps(
        f"Then none gets more than it accepts from {late_s:g} seconds "
        "after the limit is named"
    )


@then("that head gets at least half of what it accepts")
def _(context):
    (head, limit), *_ = context.traffic.limits.items()
    seconds = (
        context.traffic.simulation.now
        - context.named_at
        - limit_schedules.SETTLE_S
    )
    found = count_arrivals(context, head)
    assert found >= 0.5 * limit * seconds, (found, limit * seconds)


@then("together the heads get nine tenths of what they accept")
def _(context):
    limits = context.traffic.limits
    seconds = (
        context.traffic.simulation.now
        - context.named_at
        - limit_schedules.SETTLE_S
    )
    found = sum(count_arrivals(context, head) for head in limits)
    assert found >= 0.9 * sum(limits.values()) * seconds, (found, limits)


@then("no request is refused")
def _(context):
    refused = [
        s for s in list_new_submissions(context) if s.status not in (0, 200)
    ]
    assert not refused, refused


@then(
    "the other requests are refused as not run within half of their objective"
)
def _(context):
    refused = [
        s for s in list_new_submissions(context) if s.status not in (0, 200)
    ]
    assert refused
    route = traffic_simulation.ROUTES["drafts"]
    for submission in refused:
        took_s = (
            submission.refused_at
            - context.traffic.submitted_at[submission.name]
        )
        assert took_s <= 0.5 * route.objective_s, (took_s, submission)
        assert submission.status == 503 and not submission.sent, submission
        assert submission.retry_after_s, submission


@then("each request reaches a replica within a tenth of a second")
def _(context):
    traffic = context.traffic
    for submission in list_new_submissions(context):
        submitted_at = traffic.submitted_at[submission.name]
        if submitted_at < traffic.simulation.now - 0.1:
            assert submission.sent, submission
            assert submission.sent[0][0] - submitted_at <= 0.1, submission


@then(
    "from {late_s:g} seconds after that head stops naming the limit it gets "
    "over {per_s:g} requests a second"
)
def _(context, late_s, per_s):
    since = context.limits_ended_at + late_s
    times = [
        at for at, _ in context.traffic.list_arrivals(context.limited_head)
    ]
    seconds = context.traffic.simulation.now - since
    found = sum(at >= since for at in times)
    assert found > per_s * seconds, (found, seconds)


@then("each head gets a third of what it accepts while no coordinator runs")
def _(context):
    for head, limit in context.traffic.limits.items():
        found = sum(
            context.fault_at <= at < context.fault_ended_at
            for at, _ in context.traffic.list_arrivals(head)
        )
        assert found >= limit * FAULT_S / 3, (head, found, limit * FAULT_S)


@then("that gateway has the limits as soon as it has the servers")
def _(context):
    limits = context.traffic.limits
    assert context.started.count_rate_limited_replicas() == len(limits)


@then("nine in ten requests reach a replica within {limit_s:g} seconds")
def _(context, limit_s):
    delays = [
        submission.sent[0][0] - context.traffic.submitted_at[submission.name]
        for submission in list_new_submissions(context)
        if submission.sent
    ]
    late = sum(delay_s > limit_s + 1e-9 for delay_s in delays)
    assert late <= 0.1 * len(delays), (late, len(delays))


@then(
    "gateways keep the limit in the random fault schedules {first:d} to "
    "{last:d}"
)
def _(context, first, last):
    for seed in range(first, last + 1):
        found = limit_schedules.run_schedule(seed)
        assert found.max_requests <= found.allowed_requests, (seed, found)
