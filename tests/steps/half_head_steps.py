"""Steps about responses that a replica cuts off in their head or body."""

from __future__ import annotations

import asyncio

from behave import then
from steps import platform_steps
from support import cut_responses


@then(
    "a response with {name} that is cut off at each byte by a {end} is "
    "complete only if it is whole, {path}"
)
def _(_, name, end, path):
    answer = cut_responses.ANSWERS[name]
    with platform_steps.allow_slow_connections():
        seen = asyncio.run(cut_responses.run_all_cuts(path, answer, end))
    assert len(seen) == len(answer.data) + 1
    problems = [
        (problem, item)
        for item in seen
        if (problem := cut_responses.find_problem(answer, end, item))
    ]
    assert not problems, (len(problems), problems[:3])


@then("two responses to HEAD with a length use one connection, {path}")
def _(_, path):
    with platform_steps.allow_slow_connections():
        replica = asyncio.run(cut_responses.run_two_heads(path))
    counts = (replica.connection_count, replica.first_count)
    assert counts == (1, 2), counts


@then(
    "a part of a head that arrives unasked ends a connection that is kept, "
    "{path}"
)
def _(_, path):
    with platform_steps.allow_slow_connections():
        seen = asyncio.run(cut_responses.run_late_heads(path))
    wrong = [
        item
        for item in seen
        if (item.result, item.body) != ("complete", b"body")
        or (item.next_result, item.next_body) != ("complete", b"whole")
        or item.reused_count
    ]
    assert not wrong, (len(wrong), wrong[:3])
