"""Steps about settings and the command line."""

from __future__ import annotations

import contextlib
import io
import os
from unittest import mock

from behave import then, when

from hickorylead import errors
from hickorylead.commands import program
from hickorylead.settings import options


@when('"{command}" is run without variables')
def _(context, command):
    output = io.StringIO()
    clean = {
        name: value
        for name, value in os.environ.items()
        if not name.startswith("HICKORYLEAD_")
    }
    clean["COLUMNS"] = "200"
    with (
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(output),
        mock.patch.dict(os.environ, clean, clear=True),
    ):
        try:
            context.code = program.run_program(command.split())
        except SystemExit as end:
            context.code = end.code
    context.output = output.getvalue()


@then("it ends with exit code {code:d} and names each of")
def _(context, code):
    assert context.code == code, (context.code, context.output)
    folded = " ".join(context.output.split())
    for row in context.table:
        assert row["text"] in folded, (row["text"], context.output)


@then(
    "the flag of an option goes before its variable, and both before the"
    " default"
)
def _(_):
    option = options.Option("spares", "int", "Some.", default="1")
    read = options.read_settings
    assert read([option], {}, {})["spares"] == 1
    variables = {"HICKORYLEAD_SPARES": "2"}
    assert read([option], {}, variables)["spares"] == 2
    assert read([option], {"spares": "3"}, variables)["spares"] == 3


@then("an error about tokens does not contain the token")
def _(_):
    option = options.Option("tokens", "tokens", "Some.")
    try:
        options.read_settings([option], {"tokens": "very-secret=a b"}, {})
    except errors.SettingsError as error:
        assert "very-secret" not in str(error)
        return
    raise AssertionError("it was taken")
