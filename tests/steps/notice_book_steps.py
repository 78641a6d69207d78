"""Steps about one gateway's notices."""

from __future__ import annotations

from behave import given, then, when

from hickorylead.forwarding import model
from hickorylead.notices import messages, notice_store

REPLICA = model.Replica("s1", "s", "", "a:1", "z1", 8, born=1000)
REFUSED = model.ResponseHead(503, not_run=True)
# From the sending of a request to its answer, in seconds.
ROUND_S = 0.01


def is_doubted(context, now, *, may_probe=True):
    """Says whether the server is in doubt."""
    return context.book.is_likely_to_refuse(REPLICA, now, may_probe=may_probe)


@given("a server that turns {count:d} requests away in a row without a time")
def _(context, count):
    context.book = notice_store.NoticeStore()
    context.now = 10.0
    for _ in range(count):
        context.now += ROUND_S
        context.book.record_response(
            REPLICA, REFUSED, sent_at=context.now - ROUND_S, now=context.now
        )


@given("a server that turns {count:d} requests away that were sent together")
def _(context, count):
    context.book = notice_store.NoticeStore()
    context.now = 10.0
    for number in range(count):
        context.now = 10.0 + ROUND_S + 0.001 * number
        context.book.record_response(
            REPLICA, REFUSED, sent_at=10.0, now=context.now
        )
    context.now = 10.0 + ROUND_S


@then("it is in doubt for {doubt:g} seconds after the last refusal")
def _(context, doubt):
    assert is_doubted(context, context.now + doubt - 0.01)
    assert not is_doubted(context, context.now + doubt + 0.01)


@when("it answers a request that was sent {when} that")
def _(context, when):
    sent_at = context.now + (0.1 if when == "after" else -0.1)
    context.answered_at = context.now + 0.2
    context.book.record_response(
        REPLICA,
        model.ResponseHead(200),
        sent_at=sent_at,
        now=context.answered_at,
    )


@then("it is not in doubt")
def _(context):
    assert not is_doubted(context, context.answered_at, may_probe=False)


@then("a further refusal puts it in doubt for {doubt:g} seconds")
def _(context, doubt):
    now = context.answered_at + 0.1
    context.book.record_response(
        REPLICA, REFUSED, sent_at=context.answered_at, now=now
    )
    assert is_doubted(context, now + doubt - 0.01)
    assert not is_doubted(context, now + doubt + 0.01)


@given("a server that asked another gateway for {pause:g} seconds")
def _(context, pause):
    context.book = notice_store.NoticeStore()
    context.now = 10.0
    news = messages.Pause(REPLICA.name, REPLICA.born, round(1000 * pause))
    context.book.merge_pauses((news,), context.now)
    context.ends_at = context.now + pause


@when("it answers a request that was sent {when} the end of that pause")
def _(context, when):
    sent_at = context.ends_at + (0.1 if when == "after" else -0.1)
    context.answered_at = context.ends_at + 0.2
    context.book.record_response(
        REPLICA,
        model.ResponseHead(200),
        sent_at=sent_at,
        now=context.answered_at,
    )


@then("it is in doubt without a retry left after that pause")
def _(context):
    assert is_doubted(context, context.answered_at, may_probe=False)
    assert not is_doubted(context, context.answered_at, may_probe=True)


@given("a server that turns a request away with a pause of {pause:g} seconds")
def _(context, pause):
    context.book = notice_store.NoticeStore()
    context.now = 10.0
    head = model.ResponseHead(503, not_run=True, retry_after_s=pause)
    context.book.record_response(
        REPLICA, head, sent_at=context.now - ROUND_S, now=context.now
    )


@when("another node reports its last refusal")
def _(context):
    now = context.answered_at + 0.05
    age_ms = round(1000 * (now - context.now))
    news = messages.Pause(
        REPLICA.name,
        REPLICA.born,
        2000 - age_ms,
        is_estimated=True,
        age_ms=age_ms,
    )
    context.book.merge_pauses((news,), now)
    context.answered_at = now


@given("a server that turned away requests of another gateway without a time")
def _(context):
    context.book = notice_store.NoticeStore()
    context.now = 10.0
    news = messages.Pause(
        REPLICA.name, REPLICA.born, 4000, is_estimated=True, age_ms=2
    )
    context.book.merge_pauses((news,), context.now)


@given("another refusal is reported {delay:g} seconds later")
def _(context, delay):
    news = messages.Pause(REPLICA.name, REPLICA.born, 4000, is_estimated=True)
    context.book.merge_pauses((news,), context.now + delay)


@given("that server then asked the other gateway for {pause:g} seconds")
def _(context, pause):
    news = messages.Pause(REPLICA.name, REPLICA.born, round(1000 * pause))
    context.book.merge_pauses((news,), context.now)


@when("it answers a request that was sent {delay:g} seconds after the report")
def _(context, delay):
    sent_at = context.now + delay
    context.answered_at = context.now + 0.2
    context.book.record_response(
        REPLICA,
        model.ResponseHead(200),
        sent_at=sent_at,
        now=context.answered_at,
    )


@then("it is in doubt for {doubt:g} seconds after the answer")
def _(context, doubt):
    assert is_doubted(context, context.answered_at + doubt - 0.01)
    assert not is_doubted(context, context.answered_at + doubt + 0.01)
