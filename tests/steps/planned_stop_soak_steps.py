"""Steps that run planned stops of real gateways, and about their checker."""

from __future__ import annotations

import asyncio
import pathlib
import re
import tempfile

from behave import given, then, when
from soak import checker as checker_module, planned_stops, stop_checker
from steps import soak_steps

from hickorylead.admission import budget

# Part of the address block that the usual soak does not use.
LANE = 1
GATEWAY = "z1-gateway#1"
STATUSES = {
    "without an answer": (0, False),
    "with half of one": (200, False),
    "with an answer": (200, True),
    "with status 503": (503, True),
    "with status 500": (500, True),
}


def make_request(sent_at, ended_at, status, is_complete):
    return stop_checker.SentRequest(
        "a-1",
        "stream",
        GATEWAY,
        sent_at,
        status=status,
        is_complete=is_complete,
        ended_at=ended_at,
        began_at=sent_at,
        is_whole=True,
        limit_s=8.5,
    )


@then("seed {seed:d} of the planned stops loses no request in {seconds:d} s")
def _(_, seed, seconds):
    with tempfile.TemporaryDirectory() as folder:
        cluster = planned_stops.PlannedStops(
            seed, pathlib.Path(folder), soak_steps.SLOT, lane=LANE
        )
        result = asyncio.run(cluster.run(float(seconds)))
    assert not result.violations, "\n".join(result.violations)
    assert result.faults["SIGTERM"] > 0, result.faults
    assert result.outcomes[200] > 100, result.outcomes


@given(
    "a gateway with a grace time of {grace:g} s that got SIGTERM at {at:g} s"
)
def _(context, grace, at):
    context.stop = stop_checker.Stop(GATEWAY, at, grace, at + 7.0, 0)


@when("a request was sent at {sent:g} s, {run} and ended at {end:g} s {how}")
def _(context, sent, run, end, how):
    context.request = make_request(sent, end, *STATUSES[how])
    context.runs = []
    found = re.search(r"[\d.]+$", run)
    if found:
        context.runs.append(
            checker_module.Run(
                "a-1",
                "s1",
                "crew-1-a",
                sent,
                float(found[0]),
                run.startswith("broke off"),
            )
        )


@when(
    "a request lasts from {sent:g} to {end:g} s"
    " and a fault from {a:g} to {b:g} s"
)
def _(context, sent, end, a, b):
    context.judged = stop_checker.select_undisturbed(
        [make_request(sent, end, 200, True)], [context.stop], [(a, b)]
    )


@then("the checker reports {what}")
def _(context, what):
    loss = stop_checker.find_loss(
        context.request,
        context.runs,
        [context.stop],
        has_arrived=bool(context.runs),
    )
    refusal = stop_checker.find_false_refusal(context.request, context.runs)
    assert bool(loss) == (what == "a loss"), loss
    assert bool(refusal) == (what == "a refusal"), refusal


@then("the soak judges {count:d} requests")
def _(context, count):
    assert len(context.judged) == count, context.judged


@when("a request is closed at {end:g} s behind one that ran until {end2:g} s")
def _(context, end, end2):
    context.checker = checker_module.Checker(budget.RetryLimits(0.2, 10))
    context.checker.record_arrival("a-1", "model", 100.5)
    context.checker.record_run(
        checker_module.Run("a-1", "s1", "crew-1-a", 100.5, end2)
    )
    cut = make_request(100.4, end, 200, False)
    queued = make_request(100.4, end, 0, False)
    queued.attempt, queued.behind = "a-2", "a-1"
    stop_checker.judge_requests(
        [cut, queued],
        context.checker,
        [context.stop],
        {"z1-gateway": b'"a-1" "a-2"'},
    )


@then("the soak finds {count:d} lost requests")
def _(context, count):
    found = context.checker.violations
    assert len(found) == count, found
