"""Steps about requests that crash the servers which run them."""

from __future__ import annotations

from behave import given, then, when
from support import fleet_simulation, traffic_simulation

from hickorylead.forwarding import refusals

CRASHING_BODY = b"ends its replica"
# Body of a request that many callers send repeatedly.
COMMON_BODY = b"asked by many"
BLOCKED = refusals.BLOCKED_REASON
# Time between the requests of other callers, in seconds.
OTHERS_INTERVAL_S = 0.05


def send(
    traffic,
    seconds,
    *,
    crashing_interval_s=0.0,
    others_interval_s=OTHERS_INTERVAL_S,
):
    """Sends requests of callers to all gateways in turn."""
    step = traffic_simulation.STEP_S
    gateways = sorted(traffic.simulation.gateways)
    for number in range(round(seconds / step)):
        if is_due(number, crashing_interval_s):
            turn = number // round(crashing_interval_s / step)
            traffic.submit(gateways[turn % len(gateways)], CRASHING_BODY)
        if is_due(number, others_interval_s):
            turn = number // round(others_interval_s / step)
            body = b"other %d" % len(traffic.submissions)
            traffic.submit(gateways[turn % len(gateways)], body)
        traffic.run(step)


def is_due(number, interval_s):
    """Returns whether a periodic action is due in a step."""
    return (
        interval_s
        and number % round(interval_s / traffic_simulation.STEP_S) == 0
    )


def list_other_submissions(traffic, since=0.0):
    """Returns the submissions of other callers sent to replicas since then."""
    return [
        submission
        for submission in traffic.submissions.values()
        if submission.body != CRASHING_BODY
        and submission.sent
        and submission.sent[0][0] >= since
    ]


@given("gateways and {count:d} servers with callers")
def _(context, count):
    simulation = fleet_simulation.FleetSimulation(servers_per_zone=count // 3)
    simulation.bootstrap()
    context.traffic = traffic_simulation.TrafficSimulation(simulation)
    context.traffic.crashing_bodies.add(CRASHING_BODY)
    # Coordinators need to receive reports of traffic, as loads count then.
    send(context.traffic, 2.0)


@when(
    "a caller sends a request every {interval_s:g} seconds that crashes its "
    "replica"
)
def _(context, interval_s):
    send(context.traffic, 10.0, crashing_interval_s=interval_s)
    context.traffic.run(2.0)


@then(
    "from {late_s:g} second after the third crash that request reaches no "
    "replica"
)
def _(context, late_s):
    traffic = context.traffic
    context.third_crash_at = traffic.list_crash_times(CRASHING_BODY)[2]
    late = [
        at - context.third_crash_at
        for at in traffic.list_send_times(CRASHING_BODY)
        if at > context.third_crash_at + late_s
    ]
    assert not late, f"{len(late)} times, first {late[:3]} s later"


@then("each later submission is refused at once as not run")
def _(context):
    refused = [
        s
        for s in context.traffic.submissions.values()
        if s.body == CRASHING_BODY and not s.sent
    ]
    assert len(refused) > 20, len(refused)
    for submission in refused:
        assert submission.status == 503, submission
        assert submission.retry_after_s, submission


@then("nine in ten requests of other callers get a response after that")
def _(context):
    # 5 s after the third crash, replacements of all lost groups serve.
    others = list_other_submissions(
        context.traffic, context.third_crash_at + 5.0
    )
    served = [s for s in others if s.status == 200]
    assert len(others) > 50, len(others)
    assert len(served) >= 0.9 * len(others), (len(served), len(others))


@when(
    "a request crashes 2 servers and is then sent {count:d} times to each "
    "gateway"
)
def _(context, count):
    traffic = context.traffic
    gateways = sorted(traffic.simulation.gateways)
    traffic.submit(gateways[0], CRASHING_BODY)
    traffic.run(1.0)
    assert len(traffic.list_crash_times(CRASHING_BODY)) == 2, (
        traffic.list_crash_times(CRASHING_BODY)
    )
    for _ in range(3):
        for gateway in gateways:
            for _ in range(count):
                traffic.submit(gateway, CRASHING_BODY)
        traffic.run(1.5)


@when(
    "a request crashes 1 server and is then sent {count:d} times to the same"
    " gateway"
)
def _(context, count):
    traffic = context.traffic
    gateway = min(traffic.simulation.gateways)
    traffic.disconnects_early = True
    traffic.submit(gateway, CRASHING_BODY)
    traffic.run(1.0)
    assert len(traffic.list_crash_times(CRASHING_BODY)) == 1, (
        traffic.list_crash_times(CRASHING_BODY)
    )
    for _ in range(count):
        traffic.submit(gateway, CRASHING_BODY)
    traffic.run(3.0)


@then("at most {limit:d} servers crashed while running that request")
def _(context, limit):
    lost = context.traffic.list_crash_times(CRASHING_BODY)
    assert len(lost) <= limit, lost


# Requests that lost servers without crashing them.


@when("a request loses 2 servers that end for another reason")
def _(context):
    traffic = context.traffic
    submission = traffic.submit(min(traffic.simulation.gateways), COMMON_BODY)
    for count in (1, 2):
        traffic.run(0.05)
        assert len(submission.sent) == count, submission
        traffic.crash_server(submission.sent[-1][1])
    traffic.run(1.0)


@then(
    "every gateway serves the same request from {delay:g} seconds after these "
    "losses"
)
def _(context, delay):
    traffic = context.traffic
    gateways = sorted(traffic.simulation.gateways)
    started_at = traffic.simulation.now
    sent = []
    for number in range(round((delay + 3.0) / 0.2)):
        sent.append(
            traffic.submit(gateways[number % len(gateways)], COMMON_BODY)
        )
        traffic.run(0.2)
    traffic.run(3.0)
    late = [s for s in sent if s.submitted_at >= started_at + delay]
    assert {s.gateway for s in late} == set(gateways)
    assert all(s.status == 200 for s in late), late


@when("a busy head crashes every {interval_s:g} seconds, {count:d} times")
def _(context, interval_s, count):
    traffic = context.traffic
    for _ in range(count):
        send(traffic, interval_s)
        traffic.crash_server(traffic.list_busy_servers()[0])
    send(traffic, 3.0)
    assert len(traffic.crashes) == count
    assert any(len(bodies) > 2 for _, _, bodies in traffic.crashes), (
        traffic.crashes
    )


@then("no request is refused because of these crashes")
def _(context):
    refused = [
        s
        for s in list_other_submissions(context.traffic)
        if s.reason == BLOCKED
    ]
    assert not refused, refused
    served = [
        s for s in list_other_submissions(context.traffic) if s.status == 200
    ]
    assert len(served) > 50, len(served)


@then("no other request is refused because of these crashes")
def _(context):
    refused = [
        s
        for s in context.traffic.submissions.values()
        if s.body != CRASHING_BODY and s.reason == BLOCKED
    ]
    assert not refused, refused
    lost = {body for _, _, bodies in context.traffic.crashes for body in bodies}
    assert len(lost) > 5, lost


@then("no node blocks a request")
def _(context):
    simulation = context.traffic.simulation
    for role in simulation.coordinators.values():
        assert role.crashes.count_blocked() == 0
        # The lost runs were reported to the coordinators.
        assert role.crashes.digest != 0
    assert not any(
        g.count_blocked_requests() for g in simulation.gateways.values()
    )


@when("all busy heads crash at once while running the same request")
def _(context):
    traffic = context.traffic
    for number in range(40):
        gateways = sorted(traffic.simulation.gateways)
        traffic.submit(gateways[number % len(gateways)], COMMON_BODY)
        traffic.run(0.05)
    running = traffic.list_busy_servers()
    for name in running:
        traffic.crash_server(name)
    assert len(traffic.list_crash_times(COMMON_BODY)) >= 3, traffic.crashes
    traffic.run(1.0)


@then("that request is served again within {limit_s:g} seconds")
def _(context, limit_s):
    traffic = context.traffic
    gateways = sorted(traffic.simulation.gateways)
    submissions_sent = []
    for number in range(round(limit_s / 0.2)):
        submissions_sent.append(
            traffic.submit(gateways[number % len(gateways)], COMMON_BODY)
        )
        traffic.run(0.2)
    traffic.run(2.0)
    late = submissions_sent[-len(gateways) :]
    assert [s.status for s in late] == [200] * len(late), late
