"""Steps about servers that name how many requests they take."""

from __future__ import annotations

from behave import then, when
from steps import crash_steps

# A limit is kept if what comes in any such time, in seconds, is within it.
WINDOW_S = 4.0


def find_most(arrivals, since):
    """Returns the most requests that came in one window, from a time on."""
    times = [at for at, _ in arrivals if at >= since]
    return max(
        (sum(1 for at in times if 0 <= at - first < WINDOW_S))
        for first in times or [since]
    )


@when("two heads name a limit of {limit:g} a second for {seconds:g} seconds")
def _(context, limit, seconds):
    play = context.play
    heads = sorted(server.name for server in play.world.list_open())[:2]
    for head in heads:
        play.limits[head] = limit
    context.named_at = play.world.now
    crash_steps.send(play, seconds)


@then(
    "from {late_s:g} seconds after that neither gets over {most:d} requests "
    "in {window_s:g} seconds"
)
def _(context, late_s, most, window_s):
    assert window_s == WINDOW_S
    since = context.named_at + late_s
    for head in context.play.limits:
        arrivals = context.play.list_arrivals(head)
        found = find_most(arrivals, since)
        assert found <= most, (
            head,
            found,
            [a for a in arrivals if a[0] > since],
        )
