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


@when('"{command}" is run without environment variables')
def _(context, command):
    output = io.StringIO()
    environment = {
        name: value
        for name, value in os.environ.items()
        if not name.startswith("HICKORYLEAD_")
    }
    environment["COLUMNS"] = "200"
    with (
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(output),
        mock.patch.dict(os.environ, environment, clear=True),
    ):
        try:
            context.code = program.run_program(command.split())
        except SystemExit as end:
            context.code = end.code
    context.output = output.getvalue()


@then("the exit code is {code:d} and the output contains each of")
def _(context, code):
    assert context.code == code, (context.code, context.output)
    joined = " ".join(context.output.split())
    for row in context.table:
        assert row["text"] in joined, (row["text"], context.output)


@then(
    "the flag of an option overrides its variable, and both override the"
    " default"
)
def _(_):
    option = options.Option("spares", "int", "Some.", default="1")
    read_settings = options.read_settings
    assert read_settings([option], {}, {})["spares"] == 1
    variables = {"HICKORYLEAD_SPARES": "2"}
    assert read_settings([option], {}, variables)["spares"] == 2
    assert read_settings([option], {"spares": "3"}, variables)["spares"] == 3


@then("an error about tokens does not contain the token")
def _(_):
    option = options.Option("tokens", "tokens", "Some.")
    try:
        options.read_settings([option], {"tokens": "very-secret=a b"}, {})
    except errors.SettingsError as error:
        assert "very-secret" not in str(error)
        return
    raise AssertionError("the tokens were accepted")
