"""Steps for configurations that gateways receive."""

from __future__ import annotations

import random

from behave import given, then, when
from support import fleet_simulation

from hickorylead import notes
from hickorylead.fleet import messages
from hickorylead.roles import (
    gateway as gateway_role,
    gateway_parts,
    interface,
)

SENDER = "z1/core/coordinator"


class Receiver:
    """A gateway that only receives configurations."""

    def __init__(self) -> None:
        self.now = 100.0
        self.decoded = 0
        self.written: list[notes.Note] = []
        self.role = gateway_role.Gateway(
            gateway_parts.Identity("z1/front/gateway", 1, ("seed:1",)),
            decode_document=self._decode,
            rng=random.Random(1),
            now=self.now,
        )

    def _decode(self, content: bytes):
        self.decoded += 1
        return fleet_simulation.decode_content(content)

    def receive(
        self, version: int, *, content: int = 0, is_fresh: bool = True
    ) -> None:
        """Delivers a configuration, with the content of another if given."""
        document = fleet_simulation.make_document(content or version)
        update = messages.DocumentUpdate(
            SENDER,
            version,
            fleet_simulation.encode_content(document),
            is_fresh,
        )
        self._apply(interface.MessageArrived(SENDER, update, 0.0))

    def tick(self, seconds: float = 0.05) -> None:
        """Lets time pass until the next tick."""
        self.now += seconds
        self._apply(interface.Tick(0.0))

    def _apply(self, event) -> None:
        for effect in self.role.reduce(event, self.now):
            if isinstance(effect, notes.Note):
                self.written.append(effect)


@given("a gateway without a configuration")
def _(context):
    context.receiver = Receiver()


@given("a gateway with configuration {version:d}")
def _(context, version):
    context.receiver = Receiver()
    context.receiver.receive(version)
    context.receiver.tick()
    context.receiver.decoded = 0


@when("configurations {first:d} to {last:d} arrive before its next tick")
def _(context, first, last):
    for version in range(first, last + 1):
        context.receiver.receive(version)
    context.receiver.tick()


@when("configurations {first:d} and {second:d} arrive before its next tick")
def _(context, first, second):
    context.receiver.receive(first)
    context.receiver.receive(second)
    context.receiver.tick()


@when("the content of configuration {content:d} arrives as version {version:d}")
def _(context, content, version):
    context.receiver.receive(version, content=content)
    context.receiver.tick()


@when("configuration {version:d} arrives from a coordinator that may be behind")
def _(context, version):
    context.receiver.receive(version, is_fresh=False)
    context.receiver.tick()


@when(
    "configuration {version:d} arrives {seconds:g} seconds later from one that"
    " is up to date"
)
def _(context, version, seconds):
    context.receiver.tick(seconds)
    context.receiver.receive(version)
    context.receiver.tick()


@when("the gateway has run for {seconds:g} seconds")
def _(context, seconds):
    context.receiver.tick(seconds)


@then("it has decoded {count:d} configuration since")
def _(context, count):
    assert context.receiver.decoded == count, context.receiver.decoded


@then("configuration {version:d} is in force")
def _(context, version):
    document = context.receiver.role.document
    assert document is not None and document.version == version, document


@then("the gateway reports that the content has version {version:d}")
def _(context, version):
    problems = [
        note.fields["why"]
        for note in context.receiver.written
        if note.event == "configuration_unreadable"
    ]
    assert problems == [f"the content has version {version}"], problems


@given("three coordinators with {count:d} gateways a zone")
def _(context, count):
    context.simulation = fleet_simulation.FleetSimulation(
        gateways_per_zone=count
    )
    context.simulation.bootstrap()


@when("all gateways of a zone start at once")
def _(context):
    simulation = context.simulation
    context.tables = {}

    def capture(_, target, message):
        if isinstance(message, messages.InstanceNews) and message.is_full:
            context.tables.setdefault(target, []).append(message)

    simulation.on_send = capture
    zone = fleet_simulation.ZONES[0]
    context.started = [n for n in simulation.gateways if n.startswith(zone)]
    for node in context.started:
        simulation.kill(node)
        simulation.start_gateway(node)
    simulation.run(2.0)


@then("each gets all servers, from at most {count:d} tables")
def _(context, count):
    for node in context.started:
        assert context.tables.get(node), node
    found = {
        id(table) for node in context.started for table in context.tables[node]
    }
    assert len(found) <= count, len(found)
