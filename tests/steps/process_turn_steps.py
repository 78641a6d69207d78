"""Steps about the order of work in a process."""

from __future__ import annotations

import asyncio

from behave import then, when

from hickorylead.consensus import messages as consensus_messages
from hickorylead.fleet import messages as fleet_messages
from hickorylead.runtime import peers, turns
from hickorylead.turns import work_queue
from hickorylead.wire import codec

REPORT = fleet_messages.Alive("z1/vm1/coordinator", (), (), (), ())
VOTE = consensus_messages.VoteReply("z1/vm2/coordinator#1", 7, True, False)


class RecordingLog:
    """A log that keeps its warnings."""

    def __init__(self):
        self.warnings = []

    def warn(self, message, **fields):
        self.warnings.append((message, fields))


def handle_frames(*connections):
    """Returns the messages of connections in the order of their handling."""
    handled = []

    def handle(payload):
        handled.append(codec.decode_envelope(payload).unwrap().message)

    async def run():
        runner = turns.Turns(RecordingLog())
        for sent in connections:
            inbox = peers._Inbox(runner, handle)
            for message in sent:
                inbox.add(
                    codec.encode_envelope(codec.Envelope("a", "b", message))
                )
        for _ in range(100):
            await asyncio.sleep(0)

    asyncio.run(run())
    return handled


@when("{count:d} reports arrive over one connection, then a vote over another")
def _(context, count):
    context.sent = count + 1
    context.handled = handle_frames([REPORT] * count, [VOTE])


@then("the vote is handled first")
def _(context):
    assert len(context.handled) == context.sent
    assert context.handled[0] == VOTE, context.handled


@when("an urgent message arrives between reports of one connection")
def _(context):
    context.sent = [REPORT, VOTE, REPORT]
    context.handled = handle_frames(context.sent)


@then("they are handled as they were sent")
def _(context):
    assert context.handled == context.sent, context.handled


@when("the client of a request leaves while it waits for its turn")
def _(context):
    context.read = []
    is_gone = False

    async def receive():
        if is_gone:
            return {"type": "http.disconnect"}
        return {"type": "http.request", "body": b"state", "more_body": False}

    async def application(scope, receive, send):
        context.read.append(await receive())

    async def run():
        nonlocal is_gone
        runner = turns.Turns(RecordingLog())
        limited = turns.TurnLimitedApp(
            application, runner, lambda path: work_queue.Lane.ORDINARY
        )
        request = asyncio.ensure_future(
            limited({"type": "http", "path": "/"}, receive, None)
        )
        await asyncio.sleep(0)
        is_gone = True
        await request

    asyncio.run(run())


@then("the application reads what the client had sent")
def _(context):
    assert [message.get("body") for message in context.read] == [b"state"]


@when("the first of three pieces of work fails")
def _(context):
    context.done = []
    context.log = RecordingLog()

    def fail():
        raise ValueError("no work")

    async def run():
        runner = turns.Turns(context.log)
        runner.add(work_queue.Lane.ORDINARY, fail)
        for number in (1, 2):
            runner.add(
                work_queue.Lane.ORDINARY,
                lambda number=number: context.done.append(number),
            )
        for _ in range(20):
            await asyncio.sleep(0)

    asyncio.run(run())


@then("the other two are done and the failure is logged")
def _(context):
    assert context.done == [1, 2]
    ((message, fields),) = context.log.warnings
    assert message == "work failed" and "no work" in fields["why"]
