"""Steps of the replica table."""

from __future__ import annotations

from behave import given, then, when

from hickorylead.routing import messages, table


def make_replica(group):
    return messages.Replica(group, "s", "z", 1, group, group, 8, 1.0)


def make_update(sequence, groups, *, full):
    added = tuple(make_replica(group) for group in groups)
    return messages.TableUpdate("z", 1, sequence, full, added)


@given('a table with replicas "{one}" and "{other}"')
def _(context, one, other):
    context.replica_table = table.ReplicaTable()
    context.replica_table.apply_update(
        make_update(0, [one, other], full=True), 0.0
    )


@when(
    'the update that removes "{removed}" is lost and an update without changes'
    " follows"
)
def _(context, removed):
    assert removed in {
        r.group for r in context.replica_table.list_replicas("s")
    }
    heartbeat = make_update(1, [], full=False)
    context.is_table_requested = context.replica_table.apply_update(
        heartbeat, 1.0
    )


@then('the full table is requested, and after it only "{remaining}" remains')
def _(context, remaining):
    assert context.is_table_requested
    assert not context.replica_table.apply_update(
        make_update(1, [remaining], full=True), 1.1
    )
    assert [r.group for r in context.replica_table.list_replicas("s")] == [
        remaining
    ]
