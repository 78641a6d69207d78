"""Steps about the replica table."""

from __future__ import annotations

from behave import given, then, when

from hickorylead.routing import messages, table


def make_replica(group):
    return messages.Replica(group, "s", "z", 1, group, group, 8, 1.0)


def make_update(sequence, groups, *, full):
    added = tuple(make_replica(group) for group in groups)
    return messages.TableUpdate("z", 1, sequence, full, added)


@given('a table that knows replicas "{one}" and "{other}"')
def _(context, one, other):
    context.known = table.ReplicaTable()
    context.known.apply_update(make_update(0, [one, other], full=True), 0.0)


@when('the update that removes "{gone}" is lost and a sign of life follows')
def _(context, gone):
    assert gone in {r.group for r in context.known.list_replicas("s")}
    sign = make_update(1, [], full=False)
    context.asks = context.known.apply_update(sign, 1.0)


@then('the whole table is asked for, and after it only "{left}" is left')
def _(context, left):
    assert context.asks
    assert not context.known.apply_update(
        make_update(1, [left], full=True), 1.1
    )
    assert [r.group for r in context.known.list_replicas("s")] == [left]
