"""Steps that run the soak."""

from __future__ import annotations

import asyncio
import pathlib
import tempfile

from behave import then
from soak import world

# Address block of its own, so that a soak by hand can run beside the tests.
SLOT = 9


@then("seed {seed:d} of the soak breaks no promise in {seconds:d} s of faults")
def _(_, seed, seconds):
    with tempfile.TemporaryDirectory() as folder:
        subject = world.World(seed, pathlib.Path(folder), SLOT)
        result = asyncio.run(subject.run(float(seconds)))
    assert not result.broken, "\n".join(result.broken)
    assert sum(result.faults.values()) > 3, result.faults
    assert result.outcomes[200] > 100, result.outcomes
