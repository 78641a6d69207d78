"""Steps about requests that end the servers which run them."""

from __future__ import annotations

from behave import given, then, when
from support import fleet_simulation, traffic_simulation

from hickorylead.forwarding import refusals

DEADLY = b"ends its replica"
# What many callers ask again and again.
COMMON = b"asked by many"
BLOCKED = refusals.BLOCKED_REASON
# Other callers send one request each so many seconds.
OTHERS_S = 0.05


def send(play, seconds, *, deadly_each_s=0.0, others_each_s=OTHERS_S):
    """Has callers send requests, in turn to all gateways."""
    step = traffic_simulation.STEP_S
    gateways = sorted(play.world.gateways)
    for number in range(round(seconds / step)):
        if is_due(number, deadly_each_s):
            turn = number // round(deadly_each_s / step)
            play.submit(gateways[turn % len(gateways)], DEADLY)
        if is_due(number, others_each_s):
            turn = number // round(others_each_s / step)
            body = b"other %d" % len(play.submissions)
            play.submit(gateways[turn % len(gateways)], body)
        play.run(step)


def is_due(number, each_s):
    """Says whether something is due in a step."""
    return each_s and number % round(each_s / traffic_simulation.STEP_S) == 0


def list_others(play, since=0.0):
    """Returns the submissions of other callers that were sent since."""
    return [
        submission
        for submission in play.submissions.values()
        if submission.body != DEADLY
        and submission.sent
        and submission.sent[0][0] >= since
    ]


@given("gateways with {count:d} replicas' servers and callers")
def _(context, count):
    world = fleet_simulation.FleetSimulation(servers_per_zone=count // 3)
    world.bootstrap()
    context.play = traffic_simulation.TrafficSimulation(world)
    context.play.deadly.add(DEADLY)
    # Coordinators must know that there is traffic, as loads count then.
    send(context.play, 2.0)


@when("a caller sends a request each {each_s:g} seconds that ends its replica")
def _(context, each_s):
    send(context.play, 10.0, deadly_each_s=each_s)
    context.play.run(2.0)


@then("from {late_s:g} second after the third one ended it reaches no replica")
def _(context, late_s):
    play = context.play
    context.third = play.find_lost(DEADLY)[2]
    late = [
        at - context.third
        for at in play.list_sent(DEADLY)
        if at > context.third + late_s
    ]
    assert not late, f"{len(late)} times, after {late[:3]} s and so on"


@then("each later submission is refused at once as not run")
def _(context):
    refused = [
        s
        for s in context.play.submissions.values()
        if s.body == DEADLY and not s.sent
    ]
    assert len(refused) > 20, len(refused)
    for submission in refused:
        assert submission.status == 503, submission
        assert submission.retry_after_s, submission


@then("other callers have nine in ten of their requests answered after that")
def _(context):
    # By then all groups that were lost serve again.
    others = list_others(context.play, context.third + 5.0)
    answered = [s for s in others if s.status == 200]
    assert len(others) > 50, len(others)
    assert len(answered) >= 0.9 * len(others), (len(answered), len(others))


@when(
    "a request ends 2 servers and is then sent {count:d} times to each gateway"
)
def _(context, count):
    play = context.play
    gateways = sorted(play.world.gateways)
    play.submit(gateways[0], DEADLY)
    play.run(1.0)
    assert len(play.find_lost(DEADLY)) == 2, play.find_lost(DEADLY)
    for _ in range(3):
        for gateway in gateways:
            for _ in range(count):
                play.submit(gateway, DEADLY)
        play.run(1.5)


@when(
    "a request ends 1 server and is then sent {count:d} times to the same"
    " gateway"
)
def _(context, count):
    play = context.play
    gateway = min(play.world.gateways)
    play.leaves_early = True
    play.submit(gateway, DEADLY)
    play.run(1.0)
    assert len(play.find_lost(DEADLY)) == 1, play.find_lost(DEADLY)
    for _ in range(count):
        play.submit(gateway, DEADLY)
    play.run(3.0)


@then("at most {limit:d} servers ended under it")
def _(context, limit):
    lost = context.play.find_lost(DEADLY)
    assert len(lost) <= limit, lost


# Requests that are not to blame.


@when("a request loses 2 servers that end for another reason")
def _(context):
    play = context.play
    submission = play.submit(min(play.world.gateways), COMMON)
    for count in (1, 2):
        play.run(0.05)
        assert len(submission.sent) == count, submission
        play.end_server(submission.sent[-1][1])
    play.run(1.0)


@then(
    "the same request is answered by every gateway from {delay:g} seconds after"
    " that"
)
def _(context, delay):
    play = context.play
    gateways = sorted(play.world.gateways)
    began = play.world.now
    sent = []
    for number in range(round((delay + 3.0) / 0.2)):
        sent.append(play.submit(gateways[number % len(gateways)], COMMON))
        play.run(0.2)
    play.run(3.0)
    late = [s for s in sent if s.asked_at >= began + delay]
    assert {s.gateway for s in late} == set(gateways)
    assert all(s.status == 200 for s in late), late


@when(
    "a head that runs something ends each {each_s:g} seconds, {count:d} times"
)
def _(context, each_s, count):
    play = context.play
    for _ in range(count):
        send(play, each_s)
        play.end_server(play.list_running()[0])
    send(play, 3.0)
    assert len(play.ended) == count
    assert any(len(bodies) > 2 for _, _, bodies in play.ended), play.ended


@then("no request is refused for the servers that it ended")
def _(context):
    refused = [s for s in list_others(context.play) if s.reason == BLOCKED]
    assert not refused, refused
    answered = [s for s in list_others(context.play) if s.status == 200]
    assert len(answered) > 50, len(answered)


@then("no other request is refused for the servers that it ended")
def _(context):
    refused = [
        s
        for s in context.play.submissions.values()
        if s.body != DEADLY and s.reason == BLOCKED
    ]
    assert not refused, refused
    lost = {body for _, _, bodies in context.play.ended for body in bodies}
    assert len(lost) > 5, lost


@then("no node blocks anything")
def _(context):
    world = context.play.world
    for role in world.coordinators.values():
        assert role.crashes.count_blocked() == 0
        # They did hear of the lost runs.
        assert role.crashes.digest != 0
    assert not any(g.count_blocked_requests() for g in world.gateways.values())


@when("all heads that run something end at once under the same request")
def _(context):
    play = context.play
    for number in range(40):
        gateways = sorted(play.world.gateways)
        play.submit(gateways[number % len(gateways)], COMMON)
        play.run(0.05)
    running = play.list_running()
    for name in running:
        play.end_server(name)
    assert len(play.find_lost(COMMON)) >= 3, play.ended
    play.run(1.0)


@then("that request is answered again within {limit_s:g} seconds")
def _(context, limit_s):
    play = context.play
    gateways = sorted(play.world.gateways)
    asked = []
    for number in range(round(limit_s / 0.2)):
        asked.append(play.submit(gateways[number % len(gateways)], COMMON))
        play.run(0.2)
    play.run(2.0)
    late = asked[-len(gateways) :]
    assert [s.status for s in late] == [200] * len(late), late


# Nodes that start again or are cut off.


def end_servers(play, count, gateways):
    """Has a request end so many servers, by way of some gateways."""
    before = len(play.find_lost(DEADLY))
    # Otherwise a submission ends two.
    play.leaves_early = True
    # Once the request is suspected only one gateway sends it, so every gateway
    # is asked until the servers have ended.
    for number in range(count * len(gateways)):
        if len(play.find_lost(DEADLY)) < before + count:
            play.submit(gateways[number % len(gateways)], DEADLY)
            play.run(0.5)
    play.leaves_early = False
    assert len(play.find_lost(DEADLY)) == before + count, play.ended


@given("a request that is blocked everywhere")
def _(context):
    play = context.play
    end_servers(play, 3, sorted(play.world.gateways))
    play.run(1.0)
    check_refused(play)


def check_refused(play):
    """Checks that each gateway refuses the request."""
    for node in sorted(play.world.gateways):
        submission = play.submit(node, DEADLY)
        assert submission.reason == BLOCKED, (node, submission)
        assert submission.status == 503, submission
        assert not submission.sent, submission


@when("a gateway starts again")
def _(context):
    world = context.play.world
    context.node = sorted(world.gateways)[0]
    world.kill(context.node)
    world.start_gateway(context.node)


@then("it refuses the request as soon as it has a configuration")
def _(context):
    play = context.play
    role = play.world.gateways[context.node]
    for _ in range(300):
        play.run(traffic_simulation.STEP_S)
        if role.is_ready():
            break
    assert role.is_ready()
    assert play.submit(context.node, DEADLY).reason == BLOCKED


@when("all coordinators and gateways lose power and start again")
def _(context):
    play = context.play
    nodes = [*play.world.coordinator_names, *sorted(play.world.gateways)]
    for node in nodes:
        play.world.kill(node)
    play.run(1.0)
    for node in nodes:
        if node in play.world.coordinator_names:
            play.world.start(node)
        else:
            play.world.start_gateway(node)


@when("the coordinators lose their disks one after the other")
def _(context):
    play = context.play
    for node in play.world.coordinator_names:
        play.world.kill(node)
        play.world.wipe(node)
        play.run(0.5)
        play.world.start(node)
        play.run(8.0)


@then("every gateway refuses the request {seconds:g} seconds later")
def _(context, seconds):
    context.play.run(seconds)
    check_refused(context.play)


def cut_off(world, zone):
    """Cuts a zone's nodes off from those of the other zones."""
    nodes = [*world.coordinator_names, *sorted(world.gateways)]
    inside = [node for node in nodes if node.startswith(f"{zone}/")]
    for node in inside:
        for other in nodes:
            if other not in inside:
                world.partition(node, other)
    return inside, [node for node in nodes if node not in inside]


@when("a zone is cut off and a request is blocked in the others")
def _(context):
    play = context.play
    _, outside = cut_off(play.world, "z1")
    play.run(3.0)
    end_servers(play, 3, [n for n in outside if n in play.world.gateways])
    play.run(1.0)


@when("a zone is cut off and a request ends 1 server there and 2 elsewhere")
def _(context):
    play = context.play
    inside, outside = cut_off(play.world, "z1")
    play.run(3.0)
    end_servers(play, 1, [n for n in inside if n in play.world.gateways])
    end_servers(play, 2, [n for n in outside if n in play.world.gateways])
    play.run(1.0)


@when("the networks are joined again")
def _(context):
    context.play.world.heal()


@when(
    "all coordinators are away for {seconds:g} seconds"
    " and a request ends 3 servers"
)
def _(context, seconds):
    play = context.play
    for node in play.world.coordinator_names:
        play.world.kill(node)
    end_servers(play, 3, sorted(play.world.gateways))
    play.run(seconds - 1.5)
    for node in play.world.coordinator_names:
        play.world.start(node)


@when("a connection to a head that lives is reset in the middle of an answer")
def _(context):
    play = context.play
    context.reported = []
    report = play.world._report

    def watch(node, question):
        context.reported.append(question.name)
        report(node, question)

    play.world._report = watch
    play.run(3.0)
    gateway = sorted(play.world.gateways)[0]
    submission = play.submit(gateway, b"is reset")
    play.run(traffic_simulation.RUN_S + 0.05)
    context.head = submission.sent[0][1]
    play.reset(submission)
    context.reported.clear()
    play.run(4.0)


@then("that head is asked once whether it lives")
def _(context):
    found = context.reported.count(context.head)
    assert found == 1, context.reported
