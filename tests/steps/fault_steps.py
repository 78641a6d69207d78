"""Steps that play generated faults."""

from __future__ import annotations

from behave import then
import hypothesis
from hypothesis import strategies
from support import faults

FAULT = strategies.builds(
    faults.Fault,
    kind=strategies.sampled_from(faults.FAULT_KINDS),
    target_index=strategies.integers(0, 999),
    duration_s=strategies.sampled_from([5.0, 10.0, 30.0]),
    next_fault_delay_s=strategies.sampled_from([0.1, 1.0, 5.0, 15.0]),
)


@then(
    "generated faults break no promise, in {plays:d} plays of up to {count:d}"
    " faults"
)
def _(_, plays, count):
    @hypothesis.settings(
        max_examples=plays,
        phases=[hypothesis.Phase.generate],
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(
        strategies.integers(0, 99),
        strategies.lists(FAULT, min_size=2, max_size=count),
    )
    def play(seed, drawn):
        faults.run_play(seed, drawn)

    play()


@then("the play of seed {seed:d} breaks no promise")
def _(_, seed):
    faults.run_play(seed, faults.draw_faults(seed, 6))
