"""Steps about the list of known failures."""

from __future__ import annotations

import importlib.util
import pathlib

from behave import then

CHECK = pathlib.Path(__file__).resolve().parents[2] / "check.py"


@then(
    "the check {outcome} if {failed:d} of the scenarios failed, {listed:d}"
    " listed with them and {by_hand:d} entries of checks that are run by hand"
)
def _(_, outcome, failed, listed, by_hand):
    spec = importlib.util.spec_from_file_location("check", CHECK)
    check = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(check)
    known = {f"scenario {n}" for n in range(listed)}
    known |= {f"soak {n}" for n in range(by_hand)}
    names = [f"scenario {n}" for n in range(failed)]
    assert check.may_pass(names, known) == (outcome == "passes")
