"""Steps about large configurations."""

from __future__ import annotations

import asyncio
import random
from unittest import mock

from behave import then, when
import orjson
from support import fleet_simulation, platform_cluster

from hickorylead.configuration import changes, document
from hickorylead.consensus import (
    messages as consensus_messages,
    voter as voter_module,
)
from hickorylead.fleet import events, messages
from hickorylead.platform import control
from hickorylead.runtime import stop_gate
from hickorylead.wire import codec, frame

VERSIONS = (10, 13, 14, 18, 21, 22, 26, 29)


def watch(context):
    """Records size and target of the messages of coordinators."""
    simulation = context.simulation
    context.sent = []
    context.entries = {}

    def record(sender, target, message):
        envelope = codec.Envelope(sender, sender, message)
        size = len(codec.encode_envelope(envelope))
        context.sent.append((sender, target, size))
        if isinstance(message, consensus_messages.AppendRequest):
            for entry in message.entries:
                context.entries[entry.index] = entry

    simulation.on_send = record


def make_content(version, size):
    """Returns a configuration with a key that cannot be compressed."""
    key = random.Random(version).randbytes(size).hex()
    crew = document.Workspace("crew", (key,), 1)
    return fleet_simulation.encode_content(
        fleet_simulation.make_document(version, workspaces=(crew,))
    )


def send(context, version, size, node):
    """Sends a configuration whose compressed content has a size."""
    simulation = context.simulation
    token = f"large {version} {node}"
    if version not in context.contents:
        context.contents[version] = make_content(version, size)
    content = context.contents[version]
    simulation.apply(node, events.ReplaceRequested(token, version, content))
    context.tokens[token] = version


def send_all(context):
    context.tokens, context.contents = {}, {}
    watch(context)
    names = context.simulation.coordinator_names
    for number, version in enumerate(VERSIONS):
        send(context, version, 2 * 1024 * 1024, names[number % 3])


@when("8 configurations of 2 MB are sent at once through all coordinators")
def _(context):
    send_all(context)


@then("all of them are acknowledged within {limit:g} seconds")
def _(context, limit):
    simulation = context.simulation
    simulation.run_until(
        lambda: all(simulation.outcomes.get(t) for t in context.tokens), limit
    )


@then("no message exceeds a frame")
def _(context):
    largest = max(size for _, _, size in context.sent)
    assert 2 * 1024 * 1024 < largest <= frame.MAX_FRAME_BYTES, largest


@then("the log holds at most {count:d} of them")
def _(context, count):
    simulation = context.simulation
    simulation.run(2.0)
    held = [
        entry
        for entry in context.entries.values()
        if entry.change.change_id and entry.change.operation
    ]
    assert 0 < len(held) <= count, len(held)


@when("8 configurations of 2 MB are sent at once and the leader is killed")
def _(context):
    simulation = context.simulation
    leader = simulation.find_leader()
    send_all(context)
    simulation.run(0.0035)
    simulation.kill(leader)
    rest = [n for n in simulation.coordinator_names if n != leader]
    simulation.run(2.5)
    for version in VERSIONS:
        send(context, version, 2 * 1024 * 1024, rest[version % 2])


@then("a read returns the newest acknowledged one within {limit:g} seconds")
def _(context, limit):
    simulation = context.simulation
    node = next(iter(simulation.coordinators))

    def is_read():
        newest = max(
            (
                v
                for t, v in context.tokens.items()
                if simulation.outcomes.get(t)
            ),
            default=0,
        )
        token = simulation.read(node)
        simulation.run(0.3)
        return newest == VERSIONS[-1] == simulation.outcomes.get(token)

    simulation.run_until(is_read, limit)


@when("a voter is down for 60 s while 10 configurations of 229 KB are sent")
def _(context):
    simulation = context.simulation
    leader = simulation.find_leader()
    context.tokens, context.contents = {}, {}
    context.down = next(n for n in simulation.coordinator_names if n != leader)
    simulation.kill(context.down)
    watch(context)
    for version in range(2, 12):
        send(context, version, 229_000, leader)
        simulation.run(6.0)
    assert all(simulation.outcomes[token] for token in context.tokens)


@then("the leader sends it less than 1 MB")
def _(context):
    total = sum(
        size for _, target, size in context.sent if target == context.down
    )
    assert total < 1_000_000, total


@then("it holds the newest version within {limit:g} seconds of its return")
def _(context, limit):
    simulation = context.simulation
    simulation.start(context.down)
    voter = simulation.coordinators[context.down].voter
    simulation.run_until(
        lambda: voter.configuration.outside_version == 11, limit
    )


@when("a voter commits {count:d} configurations of {size:d} KB")
def _(context, count, size):
    member = "z1/core/coordinator#disk"
    voter = voter_module.Voter(
        node="z1/core/coordinator",
        incarnation="disk",
        peers=(),
        rng=random.Random(1),
        now=0.0,
    )
    voter.bootstrap("cluster", (member,))
    voter.tick(5.0)
    effects = []
    for number in range(1, count + 1):
        content = random.Random(number).randbytes(size * 1024)
        operation = changes.ReplaceWhole(number, content)
        change = changes.Change(f"change {number}", -1, operation)
        effects += voter.propose(change, 5.0)
    context.snapshots = [
        effect
        for effect in effects
        if isinstance(effect, consensus_messages.Persist)
        and isinstance(effect.record, consensus_messages.InstallSnapshot)
    ]


@then("it has made {count:d} snapshots")
def _(context, count):
    assert len(context.snapshots) == count, len(context.snapshots)


@when("a configuration of 2 MB is forwarded to a leader that is slow to commit")
def _(context):
    simulation = context.simulation
    leader = simulation.find_leader()
    others = [n for n in simulation.coordinator_names if n != leader]
    context.tokens, context.contents, context.forwarded = {}, {}, []

    def record(sender, target, message):
        if isinstance(message, messages.ReplaceRequest):
            context.forwarded.append((sender, target))

    simulation.on_send = record
    # Nothing is committed, but the leader keeps its role.
    voter = simulation.coordinators[leader].voter
    voter._replicator.send_missing = lambda *_: []
    send(context, 10, 2 * 1024 * 1024, others[0])
    simulation.run(1.0)


@then("it was forwarded once within 1 second")
def _(context):
    assert len(context.forwarded) == 1, context.forwarded


class FakeRequest:
    """A request with a body in one part."""

    def __init__(self, body):
        self._body = body
        self.scope = {stop_gate.CALL_ID_KEY: "call-1"}

    async def stream(self):
        yield self._body


@when("{count:d} operators send configurations to one coordinator at once")
def _(context, count):
    context.steps = []

    async def run():
        turns = 0

        async def count_turns():
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        def record(function):
            def call(*arguments):
                context.steps.append(turns)
                return function(*arguments)

            return call

        process = mock.Mock()
        process.replace_configuration = mock.AsyncMock(return_value=True)
        views = control._Views(process)
        counting = asyncio.ensure_future(count_turns())
        body = orjson.dumps(platform_cluster.make_configuration(4))
        decoder = views._decoder
        with (
            mock.patch.object(decoder, "decode", record(decoder.decode)),
            mock.patch.object(
                document, "compress_content", record(document.compress_content)
            ),
        ):
            responses = await asyncio.gather(
                *(views.handle_replace(FakeRequest(body)) for _ in range(count))
            )
        counting.cancel()
        assert [r.status_code for r in responses] == [200] * count

    asyncio.run(run())
    context.count = count


@then("the event loop had a turn before each step")
def _(context):
    assert len(context.steps) == 2 * context.count, context.steps
    assert context.steps == sorted(set(context.steps)), context.steps
