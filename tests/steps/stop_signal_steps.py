"""Steps about signals beside a planned stop."""

from __future__ import annotations

import os
import pathlib
import subprocess
import sys

from behave import then, when

import hickorylead
from hickorylead import errors

SOURCE = pathlib.Path(hickorylead.__file__).parents[1]
# The role runs with a process that ends at once; the signal comes after its
# event loop has been closed.
PROGRAM = """
import os
import signal
import sys
from unittest import mock

from hickorylead.platform import program, settings
from hickorylead.runtime import coordinator, gateway, reload_signal, sockets
import asyncio

class Process:
    def __init__(self, *_, **__):
        pass

    async def run(self):
        reload_signal.handle(asyncio.get_running_loop(), lambda: None)

with (
    mock.patch.object(settings, "load_settings", mock.MagicMock()),
    mock.patch.object(sockets, "listen", mock.MagicMock()),
    mock.patch.object(program, "_make_gateway_settings", lambda _: None),
    mock.patch.object(program, "_make_coordinator_settings", lambda _: None),
    mock.patch.object(gateway, "GatewayProcess", Process),
    mock.patch.object(coordinator, "CoordinatorProcess", Process),
):
    code = program.run_program([sys.argv[1]])
os.kill(os.getpid(), signal.SIGHUP)
sys.exit(code)
"""

IMPORTING = """
import os
import runpy
import signal
import sys

class Finder:
    def find_spec(self, name, *_):
        if name == "hickorylead.platform.program":
            os.kill(os.getpid(), signal.SIGHUP)

sys.argv = ["hickorylead"]
sys.meta_path.insert(0, Finder())
runpy.run_module("hickorylead.platform", run_name="__main__")
"""


def run(*arguments):
    """Runs Python with the sources; returns how it ended."""
    return subprocess.run(
        [sys.executable, "-c", *arguments],
        capture_output=True,
        env={**os.environ, "PYTHONPATH": str(SOURCE)},
        timeout=60,
        check=False,
    )


@when("a {role} that has stopped gets SIGHUP before it has ended")
def _(context, role):
    context.ended = run(PROGRAM, role)


@when("the program gets SIGHUP while it imports its modules")
def _(context):
    context.ended = run(IMPORTING)


@then("it ends with exit code 0")
def _(context):
    assert context.ended.returncode == 0, context.ended


@then("it ends with the exit code of missing arguments")
def _(context):
    expected = errors.SettingsError.exit_code
    assert context.ended.returncode == expected, context.ended
