"""Steps about what a gateway takes for a request that ended its server."""

from __future__ import annotations

import tracemalloc

from behave import given, then, when
from support import forwarder_harness

from hickorylead.crashes import messages, request_hash
from hickorylead.forwarding import events, model, refusals
from hickorylead.verdict import Verdict

HOME = "z1/core1/coordinator"
BODY = b"ends its server"
CONTENT = request_hash.hash_request("crew", (b"POST", b"/x/", BODY))


@given("a gateway with {count:d} replicas of each kind")
def _(context, count):
    context.play = forwarder_harness.ForwarderHarness(plain=count, models=count)


def reset(play, name):
    """Resets the present try of a request."""
    attempt = play.list_attempts(name)[-1].attempt
    play.deliver(
        events.AttemptFailed(name, attempt, Verdict.MAY_HAVE_RUN, "reset")
    )


def list_told(play, home=HOME):
    """Returns the lost runs that a home is told now."""
    return [
        crash
        for _, news in play.guard.collect_messages(home, play.now)
        for crash in news.crashes
    ]


# Runs that are told.


@when("a call that may run once is reset")
def _(context):
    context.name = context.play.send_request("alerts")
    reset(context.play, context.name)


@when("an idempotent call is reset and then answered")
def _(context):
    name = context.play.send_request("notices")
    reset(context.play, name)
    context.play.respond(name)


@when("a stream is reset after 3 events and then goes on elsewhere")
def _(context):
    play = context.play
    name = play.send_request("drafts")
    play.send_events(name, [1, 2, 3], attempt=play.send_head(name))
    reset(play, name)
    assert len(play.list_attempts(name)) == 2


@when("the caller of a call leaves after {seconds:g} silent seconds")
@when("the caller of a call leaves after {seconds:g} seconds")
def _(context, seconds):
    name = context.play.send_request("alerts")
    context.play.advance(seconds)
    context.play.deliver(events.CallerDisconnected(name))


@when("a call that may run once is not answered in its time")
def _(context):
    name = context.play.send_request("alerts")
    context.play.advance(1.2)
    assert context.play.list_effects(name, events.Refuse)


@then("{sent:d} of {count:d} more submissions of it is sent at once")
@then("{sent:d} of {count:d} more submissions of it are sent at once")
def _(context, sent, count):
    play = context.play
    route = play.list_attempts()[-1].request.route.name
    names = [play.send_request(route) for _ in range(count)]
    play.advance(0.01)
    found = [name for name in names if play.list_attempts(name)]
    assert len(found) == sent, found


@then("the gateway tells its home of {count:d} lost run")
@then("the gateway tells its home of {count:d} lost runs")
def _(context, count):
    found = list_told(context.play)
    assert len(found) == count, found
    for crash in found:
        assert crash.server == context.play.list_attempts()[0].replica.name
        assert not crash.has_ended


# Runs that are not.


@when("a call is refused as not run by every replica")
def _(context):
    play = context.play
    name = play.send_request("alerts")
    for _ in range(3):
        play.send_head(name, model.ResponseHead(503, not_run=True))
    play.advance(0.2)


@when("an idempotent call fails with status 500")
def _(context):
    play = context.play
    name = play.send_request("notices")
    echo = play.list_attempts(name)[-1].request.metadata.attempt_id
    play.respond(
        name, model.ResponseHead(500, is_signed=True, echoed_attempt_id=echo)
    )
    assert len(play.list_attempts(name)) == 2


@when("a stream that gives events is left by its caller")
def _(context):
    play = context.play
    name = play.send_request("drafts")
    attempt = play.send_head(name)
    for number in range(1, 10):
        play.send_events(name, [number], attempt=attempt)
        play.advance(0.1)
    play.deliver(events.CallerDisconnected(name))


@when("a call that was answered before is reset")
def _(context):
    play = context.play
    play.respond(play.send_request("notices"))
    reset(play, play.send_request("notices"))


# What is kept.


@then("it is told to a home at once, once more 1.5 seconds later, no more")
def _(context):
    play = context.play
    assert len(list_told(play)) == 1
    assert list_told(play) == []
    play.now += 1.51
    (crash,) = list_told(play)
    assert abs(crash.age_ms - 1510) <= 1, crash
    play.now += 1.51
    assert list_told(play) == []


@then("it is told to another home at once")
def _(context):
    assert len(list_told(context.play, "z2/core1/coordinator")) == 1
    assert list_told(context.play, "") == []


@when("{count:d} requests are answered and {lost:d} runs are lost")
def _(context, count, lost):
    guard = context.play.guard
    tracemalloc.start()
    context.add_cleanup(tracemalloc.stop)
    for number in range(count):
        guard.record_complete_response(number, context.play.now)
    for number in range(lost):
        guard.record_lost_run(10**6 + number, f"i{number}", 0, context.play.now)


@then(
    "it keeps {answered:d} answered contents and {lost:d} lost runs,"
    " in less than 1 MB"
)
def _(context, answered, lost):
    play = context.play
    used, _ = tracemalloc.get_traced_memory()
    assert used < 1e6, used
    assert len(list_told(play)) == lost
    # The newest answered ones are not blamed; what was pushed out may be.
    blamed = []
    for number in range(5000):
        play.guard.record_lost_run(number, "i", 0, play.now)
        blamed += list_told(play)
    assert len(blamed) == 5000 - answered, len(blamed)


@then("{seconds:d} seconds later no lost run is kept")
def _(context, seconds):
    context.play.now += seconds
    assert list_told(context.play, "z3/core1/coordinator") == []


# Blocks.


def block(play, seconds):
    """Has a coordinator tell of a blocked content."""
    told = messages.Block(CONTENT, int(seconds * 1000))
    play.guard.apply_blocks(messages.BlockNews(HOME, (told,)), play.now)


@when("an idempotent call runs, is blocked and then reset")
def _(context):
    play = context.play
    context.name = play.send_request("notices", body=BODY)
    block(play, 20.0)
    reset(play, context.name)


@when("a stream has 3 events, is blocked and then reset")
def _(context):
    play = context.play
    name = context.name = play.send_request("drafts", body=BODY)
    play.send_events(name, [1, 2, 3], attempt=play.send_head(name))
    block(play, 20.0)
    reset(play, name)


@when("a call waits for a replica and is blocked")
def _(context):
    play = context.play
    context.name = play.send_request("alerts", body=BODY)
    assert not play.list_effects(context.name, events.Refuse)
    block(play, 20.0)
    play.advance(0.02)


@when("a call is blocked for {seconds:g} seconds")
def _(context, seconds):
    block(context.play, seconds)


@then("it is refused until then, and sent after it")
def _(context):
    play = context.play
    play.advance(19.9)
    name = play.send_request("alerts", body=BODY)
    ((_, refusal),) = play.list_effects(name, events.Refuse)
    assert refusal.reason == refusals.BLOCKED_REASON
    assert refusal.status == 503
    assert abs(refusal.retry_after_s - 0.1) < 0.05, refusal
    play.advance(0.2)
    assert play.list_attempts(play.send_request("alerts", body=BODY))


@then("the same body on another path, and another body, are sent")
def _(context):
    play = context.play
    assert not play.list_attempts(play.send_request("alerts", body=BODY))
    assert play.list_attempts(
        play.send_request("alerts", body=BODY, target=b"/y/")
    )
    assert play.list_attempts(play.send_request("alerts", body=b"another"))
    other = request_hash.hash_request("others", (b"POST", b"/x/", BODY))
    assert play.guard.get_block_remaining_s(other, play.now) is None
    assert play.guard.get_block_remaining_s(CONTENT, play.now) is not None
