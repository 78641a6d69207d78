"""Steps about a disk that fails."""

from __future__ import annotations

import asyncio
import pathlib
import tempfile
from unittest import mock

from behave import given, then, when

from hickorylead import errors
from hickorylead.consensus import messages
from hickorylead.roles import interface
from hickorylead.runtime import control
from hickorylead.settings import options, roles

LIMIT_S = 10
FLAGS = {
    "vm": "vm1",
    "zone": "z",
    "address": "127.0.0.1",
    "peer_port": "1",
    "http_port": "1",
    "controls": "z/vm1=127.0.0.1:1,y/vm1=127.0.0.1:2",
}


@given("a voter whose disk refuses the next write")
def _(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    flags = {**FLAGS, "data_folder": str(pathlib.Path(folder.name) / "data")}
    settings = options.read_settings(roles.CONTROL_OPTIONS, flags, {})
    context.process = control.ControlProcess(settings)
    context.process._peers = context.peers = mock.Mock()
    context.process._peers.start = context.process._peers.close = (
        mock.AsyncMock()
    )
    context.process._folder._journal.append = mock.Mock(
        side_effect=OSError(28, "No space left on device")
    )


def request_vote(context):
    voter = context.process.role.voter
    request = messages.VoteRequest(
        "c", voter.member, "y/vm1/control#a", 1, 0, 0, trial=False
    )
    context.process._receive("y/vm1/control", request)


def run(context):
    server = mock.Mock(start=mock.AsyncMock(), close=mock.AsyncMock())
    with mock.patch.object(
        control.server_module, "HttpServer", return_value=server
    ):
        asyncio.run(asyncio.wait_for(context.process.run(), LIMIT_S))


@when("a vote is requested from the voter")
def _(context):
    request_vote(context)


@then("no vote is sent and the process ends with exit code {code:d}")
def _(context, code):
    context.peers.send.assert_not_called()
    try:
        run(context)
    except errors.DataFolderError as error:
        assert error.exit_code == code and "No space" in str(error)
        return
    raise AssertionError("the process did not end")


@then("the voter replies to no later message")
def _(context):
    request_vote(context)
    context.process.apply(interface.Tick(0.0))
    context.peers.send.assert_not_called()


@when("the voter's reducer fails on the next tick")
def _(context):
    context.process.role = mock.Mock()
    context.process.role.reduce.side_effect = RuntimeError("a fault")


@then("the process ends with that error")
def _(context):
    try:
        run(context)
    except RuntimeError as error:
        assert str(error) == "a fault"
        return
    raise AssertionError("the process did not end")
