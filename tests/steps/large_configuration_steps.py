"""Steps about large configurations."""

from __future__ import annotations

import random

from behave import then, when
from support import fleet_simulation

from hickorylead.configuration import changes, document
from hickorylead.consensus import (
    messages as consensus_messages,
    voter as voter_module,
)
from hickorylead.fleet import events
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
