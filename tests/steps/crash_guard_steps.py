"""Steps about lost runs and blocked requests of one gateway."""

from __future__ import annotations

import tracemalloc

from behave import given, then, when
from support import forwarder_harness

from hickorylead.crashes import messages, request_hash
from hickorylead.forwarding import events, model, refusals
from hickorylead.verdict import Verdict

HOME_COORDINATOR = "z1/core1/coordinator"
CRASHING_BODY = b"ends its server"
REQUEST_HASH = request_hash.hash_request(
    "crew", (b"POST", b"/x/", CRASHING_BODY)
)


@given("a gateway with {count:d} replicas of each kind")
def _(context, count):
    context.harness = forwarder_harness.ForwarderHarness(
        plain=count, models=count
    )


def reset(harness, name):
    """Resets the present attempt of a request."""
    attempt = harness.list_attempts(name)[-1].attempt
    harness.deliver(
        events.AttemptFailed(name, attempt, Verdict.MAY_HAVE_RUN, "reset")
    )


def list_reported(harness, home_coordinator=HOME_COORDINATOR):
    """Returns the lost runs that are reported to a home coordinator now."""
    return [
        crash
        for _, update in harness.guard.collect_messages(
            home_coordinator, harness.now
        )
        for crash in update.crashes
    ]


# Runs that are reported as lost.


@when("a call that may run once is reset")
def _(context):
    context.name = context.harness.send_request("alerts")
    reset(context.harness, context.name)


@when("an idempotent call is reset and then completed")
def _(context):
    name = context.harness.send_request("notices")
    reset(context.harness, name)
    context.harness.respond(name)


@when("a stream is reset after 3 events and then continues")
def _(context):
    harness = context.harness
    name = harness.send_request("drafts")
    harness.send_events(name, [1, 2, 3], attempt=harness.send_head(name))
    reset(harness, name)
    assert len(harness.list_attempts(name)) == 2


@when("the caller of a call disconnects after {seconds:g} silent seconds")
@when("the caller of a call disconnects after {seconds:g} seconds")
def _(context, seconds):
    name = context.harness.send_request("alerts")
    context.harness.advance(seconds)
    context.harness.deliver(events.CallerDisconnected(name))


@when("a call that may run once gets no response in its time")
def _(context):
    name = context.harness.send_request("alerts")
    context.harness.advance(1.2)
    assert context.harness.list_effects(name, events.Refuse)


@then("{sent:d} of {count:d} more submissions of that call is sent at once")
@then("{sent:d} of {count:d} more submissions of that call are sent at once")
def _(context, sent, count):
    harness = context.harness
    route = harness.list_attempts()[-1].request.route.name
    names = [harness.send_request(route) for _ in range(count)]
    harness.advance(0.01)
    found = [name for name in names if harness.list_attempts(name)]
    assert len(found) == sent, found


@then("the gateway reports {count:d} lost run to its home coordinator")
@then("the gateway reports {count:d} lost runs to its home coordinator")
def _(context, count):
    found = list_reported(context.harness)
    assert len(found) == count, found
    for crash in found:
        assert crash.server == context.harness.list_attempts()[0].replica.name
        assert not crash.has_ended


# Runs that are not reported.


@when("a call is refused as not run by every replica")
def _(context):
    harness = context.harness
    name = harness.send_request("alerts")
    for _ in range(3):
        harness.send_head(name, model.ResponseHead(503, not_run=True))
    harness.advance(0.2)


@when("an idempotent call fails with status 500")
def _(context):
    harness = context.harness
    name = harness.send_request("notices")
    echo = harness.list_attempts(name)[-1].request.metadata.attempt_id
    harness.respond(
        name, model.ResponseHead(500, is_signed=True, echoed_attempt_id=echo)
    )
    assert len(harness.list_attempts(name)) == 2


@when("the caller of a stream that progresses disconnects")
def _(context):
    harness = context.harness
    name = harness.send_request("drafts")
    attempt = harness.send_head(name)
    for number in range(1, 10):
        harness.send_events(name, [number], attempt=attempt)
        harness.advance(0.1)
    harness.deliver(events.CallerDisconnected(name))


@when("a call that was completed before is reset")
def _(context):
    harness = context.harness
    harness.respond(harness.send_request("notices"))
    reset(harness, harness.send_request("notices"))


# Retention of lost runs.


@then(
    "the gateway reports the lost run to its home coordinator at once and "
    "again 1.5 seconds later, and not after that"
)
def _(context):
    harness = context.harness
    assert len(list_reported(harness)) == 1
    assert list_reported(harness) == []
    harness.now += 1.51
    (crash,) = list_reported(harness)
    assert abs(crash.age_ms - 1510) <= 1, crash
    harness.now += 1.51
    assert list_reported(harness) == []


@then("the gateway reports the lost run to another home coordinator at once")
def _(context):
    assert len(list_reported(context.harness, "z2/core1/coordinator")) == 1
    assert list_reported(context.harness, "") == []


@when("{count:d} requests are completed and {lost:d} runs are lost")
def _(context, count, lost):
    guard = context.harness.guard
    tracemalloc.start()
    context.add_cleanup(tracemalloc.stop)
    for number in range(count):
        guard.record_complete_response(number, context.harness.now)
    for number in range(lost):
        guard.record_lost_run(
            10**6 + number, f"i{number}", 0, context.harness.now
        )


@then(
    "the gateway keeps {completed:d} completed requests and {lost:d} lost "
    "runs, in less than 1 MB"
)
def _(context, completed, lost):
    harness = context.harness
    used, _ = tracemalloc.get_traced_memory()
    assert used < 1e6, used
    assert len(list_reported(harness)) == lost
    # Lost runs of completed requests that the gateway keeps are not reported;
    # lost runs of evicted completed requests are.
    reported = []
    for number in range(5000):
        harness.guard.record_lost_run(number, "i", 0, harness.now)
        reported += list_reported(harness)
    assert len(reported) == 5000 - completed, len(reported)


@then("{seconds:d} seconds later no lost run is kept")
def _(context, seconds):
    context.harness.now += seconds
    assert list_reported(context.harness, "z3/core1/coordinator") == []


# Blocks.


def block(harness, seconds):
    """Applies a block of the request, as sent by a coordinator."""
    blocked = messages.Block(REQUEST_HASH, int(seconds * 1000))
    harness.guard.apply_blocks(
        messages.BlockNews(HOME_COORDINATOR, (blocked,)), harness.now
    )


@when("an idempotent call runs, is blocked and then reset")
def _(context):
    harness = context.harness
    context.name = harness.send_request("notices", body=CRASHING_BODY)
    block(harness, 20.0)
    reset(harness, context.name)


@when("a stream has 3 events, is blocked and then reset")
def _(context):
    harness = context.harness
    name = context.name = harness.send_request("drafts", body=CRASHING_BODY)
    harness.send_events(name, [1, 2, 3], attempt=harness.send_head(name))
    block(harness, 20.0)
    reset(harness, name)


@when("a call waits for a replica and is blocked")
def _(context):
    harness = context.harness
    context.name = harness.send_request("alerts", body=CRASHING_BODY)
    assert not harness.list_effects(context.name, events.Refuse)
    block(harness, 20.0)
    harness.advance(0.02)


@when("a call is blocked for {seconds:g} seconds")
def _(context, seconds):
    block(context.harness, seconds)


@then("that call is refused while it is blocked, and sent after that")
def _(context):
    harness = context.harness
    harness.advance(19.9)
    name = harness.send_request("alerts", body=CRASHING_BODY)
    ((_, refusal),) = harness.list_effects(name, events.Refuse)
    assert refusal.reason == refusals.BLOCKED_REASON
    assert refusal.status == 503
    assert abs(refusal.retry_after_s - 0.1) < 0.05, refusal
    harness.advance(0.2)
    assert harness.list_attempts(
        harness.send_request("alerts", body=CRASHING_BODY)
    )


@then("the same body on another path, and another body, are sent")
def _(context):
    harness = context.harness
    assert not harness.list_attempts(
        harness.send_request("alerts", body=CRASHING_BODY)
    )
    assert harness.list_attempts(
        harness.send_request("alerts", body=CRASHING_BODY, target=b"/y/")
    )
    assert harness.list_attempts(
        harness.send_request("alerts", body=b"another")
    )
    other = request_hash.hash_request(
        "others", (b"POST", b"/x/", CRASHING_BODY)
    )
    assert harness.guard.get_block_remaining_s(other, harness.now) is None
    assert (
        harness.guard.get_block_remaining_s(REQUEST_HASH, harness.now)
        is not None
    )
