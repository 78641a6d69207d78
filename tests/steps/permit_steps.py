"""Steps about the limits and permits of one gateway."""

from __future__ import annotations

import itertools
import tracemalloc

import attrs
from behave import given, then, when
from steps import guard_steps
from support import forwarder_harness

from hickorylead.forwarding import events, model
from hickorylead.ratelimits import limit_table, messages

HOME = guard_steps.HOME
SERVER = "p0"


def answer(play, *, status=200, limit=None, not_run=False, echo=None):
    """Has the plain replica answer a request, without need of a permit."""
    play.now += 0.01
    name = play.send_request("alerts")
    if not play.list_attempts(name):
        grant(play, 1, 2.0, ask(play))
    head = model.ResponseHead(
        status, is_signed=True, limit_per_s=limit, not_run=not_run
    )
    echo = f"try-{name}" if echo is None else echo
    attempt = play.send_head(name, attrs.evolve(head, echoed_attempt_id=echo))
    if not not_run and echo == f"try-{name}":
        play.deliver(events.ChunkArrived(name, attempt, b"body"))
        play.deliver(events.ResponseCompleted(name, attempt))


def ask(play):
    """Returns the request for permits that the home gets now; None if none."""
    sent = [m for _, m in play.permits.collect_messages(HOME, play.now)]
    found = [m for m in sent if isinstance(m, messages.PermitRequest)]
    return found[-1] if found else None


def grant(play, count, lease_s, request, *, wait_s=0.0, number=None):
    """Answers a request for permits; those that wait are tried."""
    reply = messages.PermitReply(
        request.gateway,
        request.number if number is None else number,
        (
            messages.Permits(
                SERVER, 0, count, int(lease_s * 1000), int(wait_s * 1000)
            ),
        ),
    )
    if play.permits.handle_reply(reply, play.now):
        for effect in play.forwarder.dispatch_waiting(play.now):
            play.effects.append((play.now, effect))


def find_limit(play):
    """Returns the limit that the gateway knows of the plain replica."""
    found = play.permits.table.find(SERVER, 0, play.now)
    return found.per_s if found else None


@given("a gateway with 1 replica of each kind")
def _(context):
    context.play = forwarder_harness.ForwarderHarness(plain=1, models=1)


@when("the plain replica names a limit of {limit:g} a second")
def _(context, limit):
    answer(context.play, limit=limit)


@when("a call comes that may run once")
def _(context):
    context.name = context.play.send_request("alerts")
    context.request = ask(context.play)


@when("the reply has no permit for {wait_s:g} seconds")
def _(context, wait_s):
    grant(context.play, 0, 2.0, context.request, wait_s=wait_s)


@when("it answers without a limit")
def _(context):
    answer(context.play)


@when("it fails with status {status:d} without a limit")
def _(context, status):
    answer(context.play, status=status)


@when("it refuses a request without a limit")
def _(context):
    answer(context.play, status=503, not_run=True)


@when("it refuses a request and names a limit of {limit:g}")
def _(context, limit):
    answer(context.play, status=503, not_run=True, limit=limit)


@when("it answers and names a limit of {limit:g}")
def _(context, limit):
    answer(context.play, limit=limit)


@when("an answer to another request comes from it")
def _(context):
    answer(context.play, echo="try-of-somebody-else")


@when("{seconds:g} seconds pass")
def _(context, seconds):
    context.play.now += seconds


@when("a reply with {count:d} permits of {lease_s:g} seconds comes {when}")
def _(context, count, lease_s, when):
    play, request = context.play, context.request
    number = request.number
    if when.startswith("for a former life"):
        number += 7
    else:
        play.advance(float(when.split()[0]))
    grant(play, count, lease_s, request, number=number)


@then("the call is not sent")
def _(context):
    assert not context.play.list_attempts(context.name)


@then("the gateway asks its home for {count:d} permit that a request needs")
def _(context, count):
    (found,) = context.request.asks
    assert (found.limit.server, found.wanted) == (SERVER, count), found
    assert found.is_needed, found


@then("with the permit the call is sent at once")
def _(context):
    grant(context.play, 1, 2.0, context.request)
    assert context.play.list_attempts(context.name)


@then(
    "the call is refused as not run, to come back in about {seconds:g} seconds"
)
def _(context, seconds):
    ((at, refused),) = context.play.list_effects(context.name, events.Refuse)
    assert at == context.play.now and refused.status == 503, refused
    assert 0.6 * seconds <= refused.retry_after_s <= 1.4 * seconds, refused


@then("the limit is {state}")
def _(context, state):
    expected = None if state == "over" else float(state)
    assert find_limit(context.play) == expected, find_limit(context.play)


@then("the gateway holds {count:d} permits after that call")
def _(context, count):
    play = context.play
    known = play.permits.table.find(SERVER, 0, play.now)
    assert known is not None
    replica = model.Replica(SERVER, "plain", "", "p0:1", "z1", 6)
    held = 0
    while play.permits.may_send(replica, play.now):
        play.permits.consume_permit(replica, play.now)
        held += 1
    assert held == count, held


@then("its next request for permits gives {count:d} back")
def _(context, count):
    (found,) = context.request.asks
    assert found.returned == count, found


@given(
    "news of two limits, their end, a new life's limit, and the old life late"
)
def _(context):
    def tell(born, per_s, age_s, *, is_named=True):
        age_ms = int(age_s * 1000)
        return messages.RateLimit(SERVER, born, per_s, is_named, age_ms, age_ms)

    context.news = [
        tell(1, 5.0, 4.0),
        tell(1, 2.0, 3.0),
        tell(1, 0.0, 2.0, is_named=False),
        tell(2, 7.0, 1.0),
        # Held up on its way, so it looks newer than it is.
        tell(1, 9.0, 0.5),
    ]


@then("in any order the new life's limit is known, and no other")
def _(context):
    now = 100.0
    for order in itertools.permutations([*context.news, context.news[0]]):
        subject = limit_table.LimitTable()
        for news in order:
            subject.merge(news, now)
        assert subject.find(SERVER, 1, now) is None, order
        found = subject.find(SERVER, 2, now)
        assert found is not None and found.per_s == 7.0, order


@when("{count:d} servers name a limit")
def _(context, count):
    play = context.play
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(count):
        limit = messages.RateLimit(f"s{number}", 0, 2.0, True, 0, 0)
        play.permits.merge_limits([limit], play.now)
        play.now += 0.001
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    context.grown = after - before


@then("it keeps {count:d} of them, in less than 1 MB")
def _(context, count):
    assert context.play.permits.table.count_named() == count
    assert context.grown < 1_000_000, context.grown


@then("{seconds:g} seconds later it keeps none")
def _(context, seconds):
    context.play.now += seconds
    context.play.permits.prune(context.play.now)
    assert not len(context.play.permits.table)


@when("calls come for {seconds:g} seconds, and no reply")
def _(context, seconds):
    play = context.play
    context.began = play.now
    context.names = []
    while play.now < context.began + seconds:
        context.names.append(play.send_request("alerts"))
        play.advance(0.1, each=lambda: ask(play))


@then("it sends {least:d} to {most:d} of them, from {late_s:g} seconds on")
def _(context, least, most, late_s):
    play = context.play
    times = [
        at
        for at, effect in play.effects
        if isinstance(effect, events.StartAttempt)
        and effect.request.request_id in context.names
    ]
    assert least <= len(times) <= most, times
    assert min(times) >= context.began + late_s, times
