"""Steps about requests that end the servers which run them."""

from __future__ import annotations

from behave import given, then, when
from support import crashplay, fleetworld

DEADLY = b"ends its replica"
# Other callers send one request each so many seconds.
OTHERS_S = 0.05


def send(play, seconds, *, deadly_each_s=0.0, others_each_s=OTHERS_S):
    """Has callers send requests, in turn to all gateways."""
    step = crashplay.STEP_S
    gateways = sorted(play.world.gateways)
    for number in range(round(seconds / step)):
        if is_due(number, deadly_each_s):
            turn = number // round(deadly_each_s / step)
            play.ask(gateways[turn % len(gateways)], DEADLY)
        if is_due(number, others_each_s):
            turn = number // round(others_each_s / step)
            body = b"other %d" % len(play.submissions)
            play.ask(gateways[turn % len(gateways)], body)
        play.run(step)


def is_due(number, each_s):
    """Says whether something is due in a step."""
    return each_s and number % round(each_s / crashplay.STEP_S) == 0


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
    world = fleetworld.FleetWorld(servers_per_zone=count // 3)
    world.settle()
    context.play = crashplay.CrashPlay(world)
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
