"""Steps that record sessions and compare them with golden files."""

from __future__ import annotations

import difflib
import pathlib

from behave import then, when
from support import sessions

GOLDEN = pathlib.Path(__file__).resolve().parent.parent / "golden"


@when('the session "{name}" is recorded')
def _(context, name):
    context.record = sessions.SESSIONS[name](context)


@then('its record equals the golden file "{name}"')
def _(context, name):
    path = GOLDEN / name
    if context.config.userdata.get("golden") == "write":
        path.write_text(context.record, encoding="utf-8")
    golden = path.read_text(encoding="utf-8")
    difference = difflib.unified_diff(
        golden.splitlines(),
        context.record.splitlines(),
        "golden",
        "session",
        lineterm="",
    )
    assert golden == context.record, "\n".join(difference)
