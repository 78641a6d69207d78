"""Steps that run the soak."""

from __future__ import annotations

import asyncio
import os
import pathlib
import tempfile

from behave import then
from soak import cluster as cluster_module

# Separate address block, so that a soak run by hand can run during the tests.
SLOT = int(os.environ.get("HICKORYLEAD_TEST_SLOT", "9"))


@then(
    "seed {seed:d} of the soak violates no invariant in {seconds:d} s of faults"
)
def _(_, seed, seconds):
    with tempfile.TemporaryDirectory() as folder:
        cluster = cluster_module.Cluster(seed, pathlib.Path(folder), SLOT)
        result = asyncio.run(cluster.run(float(seconds)))
    assert not result.violations, "\n".join(result.violations)
    assert sum(result.faults.values()) > 3, result.faults
    assert result.outcomes[200] > 100, result.outcomes
