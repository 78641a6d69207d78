"""Steps about crashing requests while nodes restart or are partitioned."""

from __future__ import annotations

from behave import given, then, when
from steps import crash_steps
from support import traffic_simulation


def crash_servers(traffic, count, gateways):
    """Crashes a number of servers with a request sent to some gateways."""
    before = len(traffic.list_crash_times(crash_steps.CRASHING_BODY))
    # If callers did not disconnect early, each submission would be retried and
    # crash two servers.
    traffic.disconnects_early = True
    # Only one gateway sends a suspected request, so it is submitted to all
    # gateways until enough servers have crashed.
    for number in range(count * len(gateways)):
        if (
            len(traffic.list_crash_times(crash_steps.CRASHING_BODY))
            < before + count
        ):
            traffic.submit(
                gateways[number % len(gateways)], crash_steps.CRASHING_BODY
            )
            traffic.run(0.5)
    traffic.disconnects_early = False
    assert (
        len(traffic.list_crash_times(crash_steps.CRASHING_BODY))
        == before + count
    ), traffic.crashes


@given("a request that is blocked everywhere")
def _(context):
    traffic = context.traffic
    crash_servers(traffic, 3, sorted(traffic.simulation.gateways))
    traffic.run(1.0)
    assert_refused(traffic)


def assert_refused(traffic):
    """Asserts that each gateway refuses the request."""
    for node in sorted(traffic.simulation.gateways):
        submission = traffic.submit(node, crash_steps.CRASHING_BODY)
        assert submission.reason == crash_steps.BLOCKED, (node, submission)
        assert submission.status == 503, submission
        assert not submission.sent, submission


@when("a gateway restarts")
def _(context):
    simulation = context.traffic.simulation
    context.node = sorted(simulation.gateways)[0]
    simulation.kill(context.node)
    simulation.start_gateway(context.node)


@then("that gateway refuses the request as soon as it has a configuration")
def _(context):
    traffic = context.traffic
    role = traffic.simulation.gateways[context.node]
    for _ in range(300):
        traffic.run(traffic_simulation.STEP_S)
        if role.is_ready():
            break
    assert role.is_ready()
    assert (
        traffic.submit(context.node, crash_steps.CRASHING_BODY).reason
        == crash_steps.BLOCKED
    )


@when("all coordinators and gateways restart after a power loss")
def _(context):
    traffic = context.traffic
    nodes = [
        *traffic.simulation.coordinator_names,
        *sorted(traffic.simulation.gateways),
    ]
    for node in nodes:
        traffic.simulation.kill(node)
    traffic.run(1.0)
    for node in nodes:
        if node in traffic.simulation.coordinator_names:
            traffic.simulation.start(node)
        else:
            traffic.simulation.start_gateway(node)


@when("the coordinators lose their disks one after the other")
def _(context):
    traffic = context.traffic
    for node in traffic.simulation.coordinator_names:
        traffic.simulation.kill(node)
        traffic.simulation.wipe(node)
        traffic.run(0.5)
        traffic.simulation.start(node)
        traffic.run(8.0)


@then("every gateway refuses the request {seconds:g} seconds later")
def _(context, seconds):
    context.traffic.run(seconds)
    assert_refused(context.traffic)


def isolate_zone(simulation, zone):
    """Partitions the nodes of a zone from those of the other zones."""
    nodes = [*simulation.coordinator_names, *sorted(simulation.gateways)]
    inside = [node for node in nodes if node.startswith(f"{zone}/")]
    for node in inside:
        for other in nodes:
            if other not in inside:
                simulation.partition(node, other)
    return inside, [node for node in nodes if node not in inside]


@when("a zone is isolated and a request is blocked in the others")
def _(context):
    traffic = context.traffic
    _, outside = isolate_zone(traffic.simulation, "z1")
    traffic.run(3.0)
    crash_servers(
        traffic, 3, [n for n in outside if n in traffic.simulation.gateways]
    )
    traffic.run(1.0)


@when("a zone is isolated and a request crashes 1 server there and 2 elsewhere")
def _(context):
    traffic = context.traffic
    inside, outside = isolate_zone(traffic.simulation, "z1")
    traffic.run(3.0)
    crash_servers(
        traffic, 1, [n for n in inside if n in traffic.simulation.gateways]
    )
    crash_servers(
        traffic, 2, [n for n in outside if n in traffic.simulation.gateways]
    )
    traffic.run(1.0)


@when("the partitions are healed")
def _(context):
    context.traffic.simulation.heal()


@when(
    "all coordinators are stopped for {seconds:g} seconds"
    " and a request crashes 3 servers"
)
def _(context, seconds):
    traffic = context.traffic
    for node in traffic.simulation.coordinator_names:
        traffic.simulation.kill(node)
    crash_servers(traffic, 3, sorted(traffic.simulation.gateways))
    traffic.run(seconds - 1.5)
    for node in traffic.simulation.coordinator_names:
        traffic.simulation.start(node)


@when("a connection to a live head is reset in the middle of a response")
def _(context):
    traffic = context.traffic
    context.reported = []
    handle_probe = traffic.simulation._handle_probe

    def record_probe(node, request):
        context.reported.append(request.name)
        handle_probe(node, request)

    traffic.simulation._handle_probe = record_probe
    traffic.run(3.0)
    gateway = sorted(traffic.simulation.gateways)[0]
    submission = traffic.submit(gateway, b"is reset")
    traffic.run(traffic_simulation.RUN_S + 0.05)
    context.head = submission.sent[0][1]
    traffic.reset(submission)
    context.reported.clear()
    traffic.run(4.0)


@then("that head is probed once")
def _(context):
    found = context.reported.count(context.head)
    assert found == 1, context.reported
