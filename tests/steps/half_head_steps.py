"""Steps about responses that a replica cuts off in their head or body."""

from __future__ import annotations

import asyncio
from unittest import mock

from behave import then
from steps import platform_steps
from support import cut_responses, relay_path

from hickorylead.relaying import messages
from hickorylead.runtime import relay_connections


@then(
    "a response with {name} that is cut off at each byte by a {end} is "
    "complete only if it is whole, {path}"
)
def _(_, name, end, path):
    answer = cut_responses.ANSWERS[name]
    with platform_steps.allow_slow_connections():
        seen = asyncio.run(cut_responses.run_all_cuts(path, answer, end))
    assert len(seen) == len(answer.data) + 1
    problems = [
        (problem, item)
        for item in seen
        if (problem := cut_responses.find_problem(answer, end, item))
    ]
    assert not problems, (len(problems), problems[:3])


@then("two responses to HEAD with a length use one connection, {path}")
def _(_, path):
    with platform_steps.allow_slow_connections():
        replica = asyncio.run(cut_responses.run_two_heads(path))
    counts = (replica.connection_count, replica.first_count)
    assert counts == (1, 2), counts


@then(
    "a part of a head that arrives unasked ends a connection that is kept, "
    "{path}"
)
def _(_, path):
    with platform_steps.allow_slow_connections():
        seen = asyncio.run(cut_responses.run_late_heads(path))
    wrong = [
        item
        for item in seen
        if (item.result, item.body) != ("complete", b"body")
        or (item.next_result, item.next_body) != ("complete", b"whole")
        or item.reused_count
    ]
    assert not wrong, (len(wrong), wrong[:3])


class EagerRelay(relay_connections.RelayProtocol):
    """A relay that reports what its server does together with its consent."""

    messages: tuple = ()

    def handle_message(self, message) -> None:
        """Accepts an exchange; ignores the request."""
        if isinstance(message, messages.RelayOpen):
            sent: list[bytes] = []
            with mock.patch.object(self.transport, "write", sent.append):
                self.send(messages.RelayAccepted())
                for following in self.messages:
                    self.send(following)
            self.transport.write(b"".join(sent))


EARLY_ENDS = {
    "close": (messages.RelayClosed(False),),
    "reset": (messages.RelayClosed(True),),
    "part of a head": (messages.RelayData(b"HTTP/1.1 200 OK\r\nConte"),),
    "whole response and a close": (
        messages.RelayData(cut_responses.WHOLE),
        messages.RelayClosed(False),
    ),
}


async def run_early_end(name) -> cut_responses.Recorder:
    """Sends a request through a relay whose server ends before it."""

    def make():
        relay = EagerRelay(print)
        relay.messages = EARLY_ENDS[name]
        return relay

    loop = asyncio.get_running_loop()
    server = await loop.create_server(make, "127.0.0.1", 0)
    path = relay_path.RelayPath()
    port = server.sockets[0].getsockname()[1]
    path.relay.address = f"127.0.0.1:{port}"
    recorder = cut_responses.Recorder()
    path.send("127.0.0.1:1", cut_responses.GET, recorder)
    await recorder.wait()
    assert not any(path.pool._idle.values()), "the connection is kept"
    path.close()
    server.close()
    return recorder


@then("a request whose replica sent a {name} before it reached the relay fails")
def _(_, name):
    with platform_steps.allow_slow_connections():
        recorder = asyncio.run(run_early_end(name))
    seen = (recorder.result, recorder.status, recorder.body)
    assert seen == ("not_run", 0, b""), (seen, recorder.reason)
