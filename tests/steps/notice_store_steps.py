"""Steps about the notices that one gateway stores."""

from __future__ import annotations

from behave import given, then, when

from hickorylead.forwarding import model
from hickorylead.notices import messages, notice_store

REPLICA = model.Replica("s1", "s", "", "a:1", "z1", 8, born=1000)
REFUSED = model.ResponseHead(503, not_run=True)
# Time from the sending of a request to its response, in seconds.
ROUND_TRIP_S = 0.01


def is_likely_to_refuse(context, now, *, may_probe=True):
    """Returns whether the server is likely to refuse a request."""
    return context.store.is_likely_to_refuse(REPLICA, now, may_probe=may_probe)


@given(
    "a server that refuses {count:d} requests in a row without naming a retry "
    "time"
)
def _(context, count):
    context.store = notice_store.NoticeStore()
    context.now = 10.0
    for _ in range(count):
        context.now += ROUND_TRIP_S
        context.store.record_response(
            REPLICA,
            REFUSED,
            sent_at=context.now - ROUND_TRIP_S,
            now=context.now,
        )


@given("a server that refuses {count:d} requests that were sent together")
def _(context, count):
    context.store = notice_store.NoticeStore()
    context.now = 10.0
    for number in range(count):
        context.now = 10.0 + ROUND_TRIP_S + 0.001 * number
        context.store.record_response(
            REPLICA, REFUSED, sent_at=10.0, now=context.now
        )
    context.now = 10.0 + ROUND_TRIP_S


@then(
    "the server is likely to refuse for {duration:g} seconds after its last "
    "refusal"
)
def _(context, duration):
    assert is_likely_to_refuse(context, context.now + duration - 0.01)
    assert not is_likely_to_refuse(context, context.now + duration + 0.01)


@when("it responds to a request that was sent {when} the refusals")
def _(context, when):
    sent_at = context.now + (0.1 if when == "after" else -0.1)
    context.responded_at = context.now + 0.2
    context.store.record_response(
        REPLICA,
        model.ResponseHead(200),
        sent_at=sent_at,
        now=context.responded_at,
    )


@then("the server is not likely to refuse")
def _(context):
    assert not is_likely_to_refuse(
        context, context.responded_at, may_probe=False
    )


@then(
    "after a further refusal the server is likely to refuse for {duration:g} "
    "seconds"
)
def _(context, duration):
    now = context.responded_at + 0.1
    context.store.record_response(
        REPLICA, REFUSED, sent_at=context.responded_at, now=now
    )
    assert is_likely_to_refuse(context, now + duration - 0.01)
    assert not is_likely_to_refuse(context, now + duration + 0.01)


@given(
    "a server that requested a pause of {pause:g} seconds from another gateway"
)
def _(context, pause):
    context.store = notice_store.NoticeStore()
    context.now = 10.0
    reported = messages.Pause(REPLICA.name, REPLICA.born, round(1000 * pause))
    context.store.merge_pauses((reported,), context.now)
    context.ends_at = context.now + pause


@when("it responds to a request that was sent {when} the end of the pause")
def _(context, when):
    sent_at = context.ends_at + (0.1 if when == "after" else -0.1)
    context.responded_at = context.ends_at + 0.2
    context.store.record_response(
        REPLICA,
        model.ResponseHead(200),
        sent_at=sent_at,
        now=context.responded_at,
    )


@then("the server is likely to refuse after the pause if no retry is left")
def _(context):
    assert is_likely_to_refuse(context, context.responded_at, may_probe=False)
    assert not is_likely_to_refuse(
        context, context.responded_at, may_probe=True
    )


@given("a server that refuses a request with a pause of {pause:g} seconds")
def _(context, pause):
    context.store = notice_store.NoticeStore()
    context.now = 10.0
    head = model.ResponseHead(503, not_run=True, retry_after_s=pause)
    context.store.record_response(
        REPLICA, head, sent_at=context.now - ROUND_TRIP_S, now=context.now
    )


@when("another node reports the server's last refusal")
def _(context):
    now = context.responded_at + 0.05
    age_ms = round(1000 * (now - context.now))
    reported = messages.Pause(
        REPLICA.name,
        REPLICA.born,
        2000 - age_ms,
        is_estimated=True,
        age_ms=age_ms,
    )
    context.store.merge_pauses((reported,), now)
    context.responded_at = now


@given(
    "a server that refused requests of another gateway without naming a retry "
    "time"
)
def _(context):
    context.store = notice_store.NoticeStore()
    context.now = 10.0
    reported = messages.Pause(
        REPLICA.name, REPLICA.born, 4000, is_estimated=True, age_ms=2
    )
    context.store.merge_pauses((reported,), context.now)


@given("another refusal of the server is reported {delay:g} seconds later")
def _(context, delay):
    reported = messages.Pause(
        REPLICA.name, REPLICA.born, 4000, is_estimated=True
    )
    context.store.merge_pauses((reported,), context.now + delay)


@given(
    "that server then requested a pause of {pause:g} seconds from the other "
    "gateway"
)
def _(context, pause):
    reported = messages.Pause(REPLICA.name, REPLICA.born, round(1000 * pause))
    context.store.merge_pauses((reported,), context.now)


@when(
    "it responds to a request that was sent {delay:g} seconds after the report"
)
def _(context, delay):
    sent_at = context.now + delay
    context.responded_at = context.now + 0.2
    context.store.record_response(
        REPLICA,
        model.ResponseHead(200),
        sent_at=sent_at,
        now=context.responded_at,
    )


@then(
    "the server is likely to refuse for {duration:g} seconds after its response"
)
def _(context, duration):
    assert is_likely_to_refuse(context, context.responded_at + duration - 0.01)
    assert not is_likely_to_refuse(
        context, context.responded_at + duration + 0.01
    )
