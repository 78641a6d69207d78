"""Steps about the account of an event loop's time."""

from behave import given, then, when

from hickorylead.telemetry import turn_costs


@given("an account of a loop's time")
def make_account(context):
    context.costs = turn_costs.TurnCosts(0.0)


@when("planning takes 0.3 s and 0.1 s, and a vote waits 0.2 s")
def record_work(context):
    context.costs.record("Tick", 0.3)
    context.costs.record("Tick", 0.1)
    context.costs.record_wait("urgent", 0.2)


@then("the line after 5 s names the work, its share and the wait")
def check_line(context):
    assert not context.costs.report(4.9)
    (note,) = context.costs.report(5.0)
    assert note.fields["kinds"]["Tick"] == {
        "count": 2,
        "share": 0.08,
        "longest_ms": 300.0,
    }
    assert note.fields["longest_wait_ms"] == {"urgent": 200.0}
    assert not context.costs.report(6.0)
