"""Steps about the crash history of requests."""

from __future__ import annotations

import random
import tracemalloc

from behave import given, then, when

from hickorylead.crashes import crash_history, messages

REQUEST_HASH = 77
# Histories measure ages against the present time only.
NOW = 5000.0


def merge_lost_run(
    context, request_hash, server, *, born=0, age_s=0.0, has_ended=True
):
    """Merges a report of a lost run into the history."""
    crash = messages.Crash(
        request_hash, server, born, int(age_s * 1000), has_ended=has_ended
    )
    return context.history.merge(crash, context.now)


@given("a crash history")
def _(context):
    tracemalloc.start()
    context.add_cleanup(tracemalloc.stop)
    context.now = NOW
    context.history = crash_history.CrashHistory()


@when("{count:d} servers crash while running a request")
def _(context, count):
    for number in range(count):
        merge_lost_run(context, REQUEST_HASH, f"i{number}")


@when(
    "a server that crashed while running a request is reported {count:d} times"
)
def _(context, count):
    changed = [
        merge_lost_run(context, REQUEST_HASH, "i1", age_s=n)
        for n in range(count)
    ]
    assert changed == [True] + [False] * (count - 1)


@when("{count:d} incarnations of one server crash while running a request")
def _(context, count):
    for number in range(count):
        merge_lost_run(context, REQUEST_HASH, "i1", born=1000 + number)


@when("{count:d} runs of a request are lost at servers that keep running")
def _(context, count):
    for number in range(count):
        merge_lost_run(context, REQUEST_HASH, f"i{number}", has_ended=False)
    assert context.history.confirm(lambda _: False) == []


@when(
    "a node reports the saved lost runs every {period_s:d} seconds, each with "
    "its saved age"
)
def _(context, period_s):
    saved = context.history.list_crashes(context.now)
    for _ in range(8):
        context.now += period_s
        for crash in saved:
            context.history.merge(crash, context.now)


@when("some gateway gets a complete response to the request")
def _(context):
    context.reported = context.history.list_crashes(context.now)
    assert context.history.merge_clearance(
        messages.Clearance(REQUEST_HASH, 0), context.now
    )
    context.now += 0.1


@when("{count:d} other requests lose a server each")
def _(context, count):
    for number in range(count):
        context.now += 0.001
        merge_lost_run(context, 1000 + number, f"s{number}", age_s=0.0)


@then("the request is not blocked")
def _(context):
    assert REQUEST_HASH not in context.history.find_blocked()


@then("the request is blocked")
def _(context):
    assert REQUEST_HASH in context.history.find_blocked()


@then("the request is blocked for {seconds:g} seconds")
def _(context, seconds):
    until = context.history.find_blocked()[REQUEST_HASH]
    assert until - context.now == seconds, until - context.now


@then(
    "after {seconds:g} seconds no lost run is stored and no request is blocked"
)
def _(context, seconds):
    context.history.prune(NOW + seconds)
    assert context.history.list_crashes(NOW + seconds) == ()
    assert context.history.find_blocked() == {}
    assert context.history.digest == 0


@then("the previous reports of its lost runs have no effect")
def _(context):
    assert len(context.reported) == 3
    for crash in context.reported:
        late = messages.Crash(
            crash.content, crash.server, crash.born, 200, has_ended=True
        )
        assert not context.history.merge(late, context.now)


@then("{count:d} lost runs are kept, in less than {limit:d} MB")
def _(context, count, limit):
    kept = context.history.list_crashes(context.now)
    assert len(kept) == count, len(kept)
    del kept
    used, _ = tracemalloc.get_traced_memory()
    assert used < limit * 1e6, used


@given(
    "{count:d} crash histories with parts of {runs:d} lost runs, in random "
    "order"
)
def _(context, count, runs):
    rng = random.Random(5)
    reported = [
        messages.Crash(n % 7, f"i{n}", 0, 100 * n, has_ended=n % 3 > 0)
        for n in range(runs)
    ]
    context.histories = [crash_history.CrashHistory() for _ in range(count)]
    for subject in context.histories:
        for crash in rng.sample(reported, runs * 2 // 3):
            subject.merge(crash, NOW)
    context.histories[0].merge_clearance(messages.Clearance(3, 500), NOW)


@when("the histories send each other everything")
def _(context):
    for subject in context.histories:
        for other in context.histories:
            for crash in subject.list_crashes(NOW):
                other.merge(crash, NOW)
            for clearance in subject.list_clearances(NOW):
                other.merge_clearance(clearance, NOW)


@then(
    "the digests of the histories are equal, and so are the requests that they "
    "block"
)
def _(context):
    assert len({subject.digest for subject in context.histories}) == 1
    first, *others = [subject.find_blocked() for subject in context.histories]
    assert first
    for other in others:
        assert other.keys() == first.keys()
        # Ages are sent in milliseconds.
        assert all(abs(other[c] - first[c]) < 0.002 for c in first)
