"""Steps about gateways that cannot connect to servers."""

from __future__ import annotations

from behave import then, when
from support import notice_schedules


@when(
    "{count:d} gateways lose their connections to all servers "
    "for {seconds:g} seconds"
)
def _(context, count, seconds):
    traffic = context.traffic
    context.isolated = set(sorted(traffic.simulation.gateways)[:count])
    context.started_at = traffic.simulation.now
    traffic.isolated |= context.isolated
    notice_schedules.send(traffic, seconds)
    context.ended_at = traffic.simulation.now
    traffic.isolated.clear()
    notice_schedules.send(traffic, 1.0)


@then(
    "from {since_s:g} seconds on their callers are served at the first attempt "
    "{share:g} times as often as the others"
)
def _(context, since_s, share):
    found = {True: [], False: []}
    for submission in context.traffic.submissions.values():
        since = submission.submitted_at - context.started_at
        if since_s <= since and submission.submitted_at < context.ended_at:
            is_isolated = submission.gateway in context.isolated
            found[is_isolated].append(submission.status == 200)
    served = {k: sum(v) / len(v) for k, v in found.items()}
    assert served[False] > 0.9, served
    assert served[True] >= share * served[False], served
