"""Steps about the metrics of a process."""

from __future__ import annotations

from behave import given, then, when

from hickorylead import notes
from hickorylead.telemetry import decision_metrics


@given("a process that has recorded {count:d} decisions")
def _(context, count):
    context.metrics = decision_metrics.DecisionMetrics()
    for _ in range(count):
        context.metrics.record(notes.note("replica_stalled"))


@when("its metrics are scraped")
def _(context):
    context.scraped = context.metrics.render({"open_requests": 7}).decode()


@when("it records another decision")
def _(context):
    context.metrics.record(notes.note("replica_stalled"))


@then("the last scrape shows {count:d} decisions and the current gauges")
def _(context, count):
    line = 'hickorylead_decisions_total{detail="",event="replica_stalled"}'
    assert f"{line} {count}" in context.scraped, context.scraped
    assert "hickorylead_open_requests 7" in context.scraped, context.scraped
