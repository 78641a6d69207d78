"""Steps that inject generated faults."""

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
    "generated faults violate no invariant, in {runs:d} runs of up to {count:d}"
    " faults"
)
def _(_, runs, count):
    @hypothesis.settings(
        max_examples=runs,
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
    def run_drawn_faults(seed, drawn):
        faults.run_faults(seed, drawn)

    run_drawn_faults()


@then("the faults of seed {seed:d} violate no invariant")
def _(_, seed):
    faults.run_faults(seed, faults.draw_faults(seed, 6))
