"""Steps about the limits and permits of one gateway."""

from __future__ import annotations

import itertools
import tracemalloc

import attrs
from behave import given, then, when
from steps import crash_guard_steps
from support import forwarder_harness

from hickorylead.forwarding import events, model
from hickorylead.ratelimits import limit_table, messages

HOME_COORDINATOR = crash_guard_steps.HOME_COORDINATOR
SERVER = "p0"


def respond(harness, *, status=200, limit=None, not_run=False, echo=None):
    """Makes the plain replica respond to a request, with a permit if needed."""
    harness.now += 0.01
    name = harness.send_request("alerts")
    if not harness.list_attempts(name):
        grant(harness, 1, 2.0, collect_request(harness))
    head = model.ResponseHead(
        status, is_signed=True, limit_per_s=limit, not_run=not_run
    )
    echo = f"try-{name}" if echo is None else echo
    attempt = harness.send_head(
        name, attrs.evolve(head, echoed_attempt_id=echo)
    )
    if not not_run and echo == f"try-{name}":
        harness.deliver(events.ChunkArrived(name, attempt, b"body"))
        harness.deliver(events.ResponseCompleted(name, attempt))


def collect_request(harness):
    """Returns the request for permits that is due to the home coordinator.

    Returns None if there is none.
    """
    sent = [
        m
        for _, m in harness.permits.collect_messages(
            HOME_COORDINATOR, harness.now
        )
    ]
    found = [m for m in sent if isinstance(m, messages.PermitRequest)]
    return found[-1] if found else None


def grant(harness, count, lease_s, request, *, wait_s=0.0, number=None):
    """Replies to a request for permits and dispatches waiting requests."""
    reply = messages.PermitReply(
        request.gateway,
        request.number if number is None else number,
        (
            messages.Permits(
                SERVER, 0, count, int(lease_s * 1000), int(wait_s * 1000)
            ),
        ),
    )
    if harness.permits.handle_reply(reply, harness.now):
        for effect in harness.forwarder.dispatch_waiting(harness.now):
            harness.effects.append((harness.now, effect))


def find_limit(harness):
    """Returns the limit of the plain replica at the gateway."""
    found = harness.permits.table.find(SERVER, 0, harness.now)
    return found.per_s if found else None


@given("a gateway with 1 replica of each kind")
def _(context):
    context.harness = forwarder_harness.ForwarderHarness(plain=1, models=1)


@when("the plain replica names a limit of {limit:g} a second")
def _(context, limit):
    respond(context.harness, limit=limit)


@when("a call arrives that may run once")
def _(context):
    context.name = context.harness.send_request("alerts")
    context.request = collect_request(context.harness)


@when("the reply states that there is no permit for {wait_s:g} seconds")
def _(context, wait_s):
    grant(context.harness, 0, 2.0, context.request, wait_s=wait_s)


@when("it responds without a limit")
def _(context):
    respond(context.harness)


@when("it fails with status {status:d} without a limit")
def _(context, status):
    respond(context.harness, status=status)


@when("it refuses a request without a limit")
def _(context):
    respond(context.harness, status=503, not_run=True)


@when("it refuses a request and names a limit of {limit:g}")
def _(context, limit):
    respond(context.harness, status=503, not_run=True, limit=limit)


@when("it responds and names a limit of {limit:g}")
def _(context, limit):
    respond(context.harness, limit=limit)


@when("it sends the response to another request")
def _(context):
    respond(context.harness, echo="try-of-somebody-else")


@when("{seconds:g} seconds pass")
def _(context, seconds):
    harness = context.harness
    end = harness.now + seconds
    while harness.now < end:
        harness.now = min(end, harness.now + 0.1)
        harness.pauses.record_listening(harness.now)


@when(
    "the gateway is {seconds:g} seconds late, and calls that arrive come first"
)
def _(context, seconds):
    harness = context.harness
    harness.now += seconds
    context.names = [harness.send_request("alerts") for _ in range(3)]
    harness.advance(0.3, each=lambda: collect_request(harness))


@then("none of these calls is sent")
def _(context):
    sent = [n for n in context.names if context.harness.list_attempts(n)]
    assert not sent, sent


@when("a reply with {count:d} permits of {lease_s:g} seconds arrives {when}")
def _(context, count, lease_s, when):
    harness, request = context.harness, context.request
    number = request.number
    if when.startswith("for a previous start"):
        number += 7
    else:
        harness.advance(float(when.split()[0]))
    grant(harness, count, lease_s, request, number=number)


@then("the call is not sent")
def _(context):
    assert not context.harness.list_attempts(context.name)


@then("the gateway requests {count:d} permit that a request needs")
def _(context, count):
    (found,) = context.request.asks
    assert (found.limit.server, found.wanted) == (SERVER, count), found
    assert found.is_needed, found


@then("the call is sent at once when the permit arrives")
def _(context):
    grant(context.harness, 1, 2.0, context.request)
    assert context.harness.list_attempts(context.name)


@then(
    "the call is refused as not run, to be retried in about {seconds:g} seconds"
)
def _(context, seconds):
    ((at, refused),) = context.harness.list_effects(context.name, events.Refuse)
    assert at == context.harness.now and refused.status == 503, refused
    assert 0.6 * seconds <= refused.retry_after_s <= 1.4 * seconds, refused


@then("the limit is {state}")
def _(context, state):
    expected = None if state == "over" else float(state)
    assert find_limit(context.harness) == expected, find_limit(context.harness)


@then("the gateway holds {count:d} permits after that call")
def _(context, count):
    harness = context.harness
    known = harness.permits.table.find(SERVER, 0, harness.now)
    assert known is not None
    replica = model.Replica(SERVER, "plain", "", "p0:1", "z1", 6)
    held = 0
    while harness.permits.may_send(replica, harness.now):
        harness.permits.consume_permit(replica, harness.now)
        held += 1
    assert held == count, held


@then("the gateway's next request for permits returns {count:d} permits")
def _(context, count):
    (found,) = context.request.asks
    assert found.returned == count, found


@given(
    "two limits, their end, the limit of a new incarnation, and a late report "
    "of the old incarnation"
)
def _(context):
    def make_limit(born, per_s, age_s, *, is_named=True):
        age_ms = int(age_s * 1000)
        return messages.RateLimit(SERVER, born, per_s, is_named, age_ms, age_ms)

    context.updates = [
        make_limit(1, 5.0, 4.0),
        make_limit(1, 2.0, 3.0),
        make_limit(1, 0.0, 2.0, is_named=False),
        make_limit(2, 7.0, 1.0),
        # This report was delayed on its way, so it looks newer than it is.
        make_limit(1, 9.0, 0.5),
    ]


@then("in any order only the limit of the new incarnation is known")
def _(context):
    now = 100.0
    for order in itertools.permutations([*context.updates, context.updates[0]]):
        subject = limit_table.LimitTable()
        for update in order:
            subject.merge(update, now)
        assert subject.find(SERVER, 1, now) is None, order
        found = subject.find(SERVER, 2, now)
        assert found is not None and found.per_s == 7.0, order


@when("{count:d} servers name a limit")
def _(context, count):
    harness = context.harness
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(count):
        limit = messages.RateLimit(f"s{number}", 0, 2.0, True, 0, 0)
        harness.permits.merge_limits([limit], harness.now)
        harness.now += 0.001
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    context.grown = after - before


@then("the gateway keeps {count:d} limits, in less than 1 MB")
def _(context, count):
    assert context.harness.permits.table.count_named() == count
    assert context.grown < 1_000_000, context.grown


@then("{seconds:g} seconds later the gateway keeps no limit")
def _(context, seconds):
    context.harness.now += seconds
    context.harness.permits.prune(context.harness.now)
    assert not len(context.harness.permits.table)


@when("calls arrive for {seconds:g} seconds and no coordinator replies")
def _(context, seconds):
    harness = context.harness
    context.started_at = harness.now
    context.names = []
    while harness.now < context.started_at + seconds:
        context.names.append(harness.send_request("alerts"))
        harness.advance(0.1, each=lambda: collect_request(harness))


@then(
    "the gateway sends {least:d} to {most:d} of these calls, none before "
    "{late_s:g} seconds have passed"
)
def _(context, least, most, late_s):
    harness = context.harness
    times = [
        at
        for at, effect in harness.effects
        if isinstance(effect, events.StartAttempt)
        and effect.request.request_id in context.names
    ]
    assert least <= len(times) <= most, times
    assert min(times) >= context.started_at + late_s, times
