"""Steps about pauses of a process and the order of its work."""

from __future__ import annotations

import importlib.util
import math
import pickle

from behave import given, then, when

# Older sources, which the scenarios of late event loops can run on, lack them.
if importlib.util.find_spec("hickorylead.turns") is not None:
    from hickorylead.turns import own_pauses, work_queue

TICK_S = 0.05


def assert_close(found, expected):
    assert math.isclose(found, expected, abs_tol=1e-6), (found, expected)


# Pauses.


@given("a process that has listened until {now:g} seconds")
def _(context, now):
    context.pauses = own_pauses.OwnPauses(0.0)
    context.now = 0.0
    listen_until(context, now)


def listen_until(context, end, period_s=TICK_S):
    start = context.now
    for number in range(1, round((end - start) / period_s) + 1):
        context.pauses.record_listening(start + number * period_s)
    context.now = end


@when("it listens again at {now:g} seconds")
def _(context, now):
    context.pauses.record_listening(now)
    context.now = now


@when("it listens every {period_s:g} seconds until {end:g} seconds")
def _(context, period_s, end):
    listen_until(context, end, period_s)


@then("the silence since {since:g} seconds is {silence_s:g} seconds")
@then("the silence since {since:g} seconds is {silence_s:g} second")
def _(context, since, silence_s):
    found = context.pauses.measure_silence(since, context.now)
    assert_close(found, silence_s)


@then(
    "at {now:g} seconds the silence since {since:g} seconds is {silence:g}"
    " seconds"
)
def _(context, now, since, silence):
    assert_close(context.pauses.measure_silence(since, now), silence)


@then("the silence since for ever is infinite")
def _(context):
    assert context.pauses.measure_silence(-math.inf, context.now) == math.inf


@when("it is late by 1 second {times:d} times")
@when("it is late by 1 second {times:d} more times")
def _(context, times):
    context.size = len(pickle.dumps(context.pauses))
    for _ in range(times):
        context.now += 1.0
        context.pauses.record_listening(context.now)


@then("its state has not grown any more")
def _(context):
    size = len(pickle.dumps(context.pauses))
    assert size <= context.size, (size, context.size)


@then(
    "the silence during the last {count:d} pauses counts 0.2 seconds for each"
)
def _(context, count):
    found = context.pauses.measure_silence(context.now - count, context.now)
    assert_close(found, 0.2 * count)


# The queue.


def add_all(context, listed):
    for item in listed.split(", "):
        lane, _, name = item.partition(" work ")
        context.queue.add(work_queue.Lane[lane.upper()], name, context.now)


@given("a queue with {count:d} pieces of ordinary work")
def _(context, count):
    context.queue = work_queue.WorkQueue()
    context.now = 50.0
    for number in range(count):
        context.queue.add(work_queue.Lane.ORDINARY, number, context.now)
    context.queue.begin_turn(context.now)


@given("a queue with {listed}")
def _(context, listed):
    context.queue = work_queue.WorkQueue()
    context.now = 50.0
    add_all(context, listed)
    context.queue.begin_turn(context.now)


@given("a queue that has also {listed}")
def _(context, listed):
    add_all(context, listed)


@when("nothing is taken for {seconds:g} seconds")
def _(context, seconds):
    context.now += seconds
    context.queue.begin_turn(context.now)


@then("the work is done in the order {names}")
def _(context, names):
    taken = []
    while (found := context.queue.take(context.now)) is not None:
        taken.append(found[2])
    assert taken == names.split(", "), taken
    assert not len(context.queue)


@when("each piece of work takes {seconds:g} seconds")
def _(context, seconds):
    context.turns = []
    while len(context.queue):
        context.queue.begin_turn(context.now)
        turn = []
        while (taken := context.queue.take(context.now)) is not None:
            turn.append(taken[2])
            context.now += seconds
        assert turn, "each turn does some work"
        context.turns.append(turn)


@then("the first turn does {names}")
def _(context, names):
    assert context.turns[0] == names.split(", "), context.turns


@then("the next turn does {names}")
def _(context, names):
    assert context.turns[1] == names.split(", "), context.turns


@then("each turn but the last does {count:d} pieces of work")
def _(context, count):
    sizes = [len(turn) for turn in context.turns[:-1]]
    assert set(sizes) == {count}, sizes


@when("one piece of work is taken and urgent work {name} is added")
def _(context, name):
    context.queue.take(context.now)
    context.queue.add(work_queue.Lane.URGENT, name, context.now)


@then("the work taken next is {name}")
def _(context, name):
    assert context.queue.take(context.now)[2] == name


@when("ordinary work of {work_s:g} seconds arrives every {period_s:g} seconds")
def _(context, work_s, period_s):
    started_at, next_at = context.now, context.now
    context.done_after_s = {}
    while context.now < started_at + 2.0:
        while next_at <= context.now:
            context.queue.add(work_queue.Lane.ORDINARY, "report", context.now)
            next_at += period_s
        context.queue.begin_turn(context.now)
        while (taken := context.queue.take(context.now)) is not None:
            context.done_after_s[taken[2]] = context.now - started_at
            context.now += work_s


@then("background work {name} is done within {limit_s:g} seconds")
def _(context, name, limit_s):
    assert context.done_after_s[name] <= limit_s, context.done_after_s


@then("work {name} of the {lane} lane has waited {wait_s:g} seconds")
def _(context, name, lane, wait_s):
    found_lane, found_s, found = context.queue.take(context.now)
    assert (found, found_lane) == (name, work_queue.Lane[lane.upper()])
    assert_close(found_s, wait_s)
