"""Steps about the memory of requests that end servers."""

from __future__ import annotations

import random
import tracemalloc

from behave import given, then, when

from hickorylead.crashes import crash_history, messages

CONTENT = 77
# Ledgers measure ages against the present time only.
NOW = 5000.0


def lose(context, content, server, *, born=0, age_s=0.0, has_ended=True):
    """Tells the ledger of a lost run."""
    crash = messages.Crash(
        content, server, born, int(age_s * 1000), has_ended=has_ended
    )
    return context.ledger.merge(crash, context.now)


@given("a ledger")
def _(context):
    tracemalloc.start()
    context.add_cleanup(tracemalloc.stop)
    context.now = NOW
    context.ledger = crash_history.CrashHistory()


@when("{count:d} servers end under a content")
def _(context, count):
    for number in range(count):
        lose(context, CONTENT, f"i{number}")


@when("a server that ended under a content is told {count:d} times")
def _(context, count):
    told = [lose(context, CONTENT, "i1", age_s=n) for n in range(count)]
    assert told == [True] + [False] * (count - 1)


@when("{count:d} lives of one server end under a content")
def _(context, count):
    for number in range(count):
        lose(context, CONTENT, "i1", born=1000 + number)


@when("{count:d} runs of a content are lost at servers that live on")
def _(context, count):
    for number in range(count):
        lose(context, CONTENT, f"i{number}", has_ended=False)
    assert context.ledger.confirm(lambda _: False) == []


@when("a node tells all of it each {period_s:d} seconds with the ages it saved")
def _(context, period_s):
    saved = context.ledger.list_crashes(context.now)
    for _ in range(8):
        context.now += period_s
        for crash in saved:
            context.ledger.merge(crash, context.now)


@when("it is answered whole at some gateway")
def _(context):
    context.told = context.ledger.list_crashes(context.now)
    assert context.ledger.merge_clearance(
        messages.Clearance(CONTENT, 0), context.now
    )
    context.now += 0.1


@when("{count:d} other contents lose a server each")
def _(context, count):
    for number in range(count):
        context.now += 0.001
        lose(context, 1000 + number, f"s{number}", age_s=0.0)


@then("it is not blocked")
def _(context):
    assert CONTENT not in context.ledger.find_blocked()


@then("it is blocked")
def _(context):
    assert CONTENT in context.ledger.find_blocked()


@then("it is blocked for {seconds:g} seconds")
def _(context, seconds):
    until = context.ledger.find_blocked()[CONTENT]
    assert until - context.now == seconds, until - context.now


@then("after {seconds:g} seconds nothing of it is kept")
def _(context, seconds):
    context.ledger.prune(NOW + seconds)
    assert context.ledger.list_crashes(NOW + seconds) == ()
    assert context.ledger.find_blocked() == {}
    assert context.ledger.digest == 0


@then("what was told of it before does not come back")
def _(context):
    assert len(context.told) == 3
    for crash in context.told:
        late = messages.Crash(
            crash.content, crash.server, crash.born, 200, has_ended=True
        )
        assert not context.ledger.merge(late, context.now)


@then("{count:d} lost runs are kept, in less than {limit:d} MB")
def _(context, count, limit):
    kept = context.ledger.list_crashes(context.now)
    assert len(kept) == count, len(kept)
    del kept
    used, _ = tracemalloc.get_traced_memory()
    assert used < limit * 1e6, used


@given("{count:d} ledgers that were told parts of {runs:d} lost runs, mixed up")
def _(context, count, runs):
    rng = random.Random(5)
    told = [
        messages.Crash(n % 7, f"i{n}", 0, 100 * n, has_ended=n % 3 > 0)
        for n in range(runs)
    ]
    context.ledgers = [crash_history.CrashHistory() for _ in range(count)]
    for subject in context.ledgers:
        for crash in rng.sample(told, runs * 2 // 3):
            subject.merge(crash, NOW)
    context.ledgers[0].merge_clearance(messages.Clearance(3, 500), NOW)


@when("they tell each other everything")
def _(context):
    for subject in context.ledgers:
        for other in context.ledgers:
            for crash in subject.list_crashes(NOW):
                other.merge(crash, NOW)
            for clearance in subject.list_clearances(NOW):
                other.merge_clearance(clearance, NOW)


@then("their hashes are equal, and so is what they block")
def _(context):
    assert len({subject.digest for subject in context.ledgers}) == 1
    first, *others = [subject.find_blocked() for subject in context.ledgers]
    assert first
    for other in others:
        assert other.keys() == first.keys()
        # Ages are told in milliseconds.
        assert all(abs(other[c] - first[c]) < 0.002 for c in first)
