"""Steps about random planned stops of a gateway in simulated time."""

from __future__ import annotations

from behave import then
from support import stop_schedules


@then("{count:d} planned stops from seed {first:d} break no promise")
def _(context, count, first):
    outcomes = stop_schedules.run_schedules(first, count)
    found = {s: o.violations for s, o in outcomes.items() if o.violations}
    assert not found, found
