"""Steps about departures of backend servers."""

from __future__ import annotations

import asyncio
import os
import pathlib
import tempfile
from unittest import mock

import attrs
from behave import given, then, when
from support import fleet_simulation

from hickorylead.fleet import events, instances
from hickorylead.runtime import departure_log, saved_departures

NAME = "leaver"
TOLD_LAST = "the coordinator that was told last"


@given(
    "three coordinators with gateways and a plain server that has just been"
    " saved"
)
def _(context):
    simulation = context.simulation = fleet_simulation.FleetSimulation()
    simulation.bootstrap()
    context.server = instances.Instance(
        NAME, "plain", "10.0.0.7:80", "z1", sequence=1
    )
    report(context)
    simulation.run(0.9)
    report(context)
    # A save follows a change at once if there was none for a second.
    simulation.run(1.3)
    report(context)
    other = instances.Instance("other", "plain", "10.0.0.8:80", "z1")
    simulation.apply(
        simulation.coordinator_names[0], events.HeartbeatArrived(other)
    )
    simulation.run(0.2)
    assert any(
        server.name == NAME
        for server in simulation.disks[simulation.coordinator_names[0]].servers
    )


def report(context, node="", **changes):
    """Sends the server's next heartbeat."""
    simulation = context.simulation
    context.server = attrs.evolve(
        context.server, sequence=context.server.sequence + 1, **changes
    )
    simulation.apply(
        node or simulation.coordinator_names[0],
        events.HeartbeatArrived(context.server, "call"),
    )


def leave(context, node, how="deregisters"):
    """Reports that the server leaves; its acknowledgement is awaited."""
    simulation = context.simulation
    simulation.outcomes.pop("call", None)
    if how == "drains":
        report(context, node, phase=instances.PHASE_DRAINING)
    else:
        simulation.apply(node, events.InstanceLeft(NAME, token="call"))


@when("the server {how} and gets its acknowledgement")
def _(context, how):
    simulation = context.simulation
    leave(context, simulation.coordinator_names[0], how)
    simulation.run_until(lambda: "call" in simulation.outcomes, 0.6)
    assert simulation.outcomes["call"] is True


@when(
    "{delay:g} seconds later all processes end, {loss}, and start again {order}"
)
def _(context, delay, loss, order):
    simulation = context.simulation
    simulation.run(delay)
    coordinators = list(simulation.coordinator_names)
    gateways = list(simulation.gateways)
    for node in (*coordinators, *gateways):
        simulation.kill(node)
    if "is lost" in loss:
        simulation.wipe(coordinators[0])
    simulation.run(1.0)
    groups = [coordinators, gateways]
    if order == "the gateways first":
        groups = [gateways, coordinators]
    elif order == TOLD_LAST:
        groups = [coordinators[1:], gateways, coordinators[:1]]
    for group in groups:
        for node in group:
            if node in coordinators:
                simulation.start(node)
            else:
                simulation.start_gateway(node)
        if order != "together":
            simulation.run(1.5)


@then("no gateway offers the server")
def _(context):
    simulation = context.simulation
    simulation.run(3.0)
    for _ in range(20):
        simulation.run(0.5)
        for node, gateway in simulation.gateways.items():
            assert gateway.is_ready(), node
            assert gateway.find_replica(NAME) is None, (simulation.now, node)
            assert gateway.find_replica("other") is not None, node


@when("the server deregisters at a coordinator whose disk takes 0.2 seconds")
def _(context):
    simulation = context.simulation
    node = simulation.coordinator_names[0]
    simulation.disk_delay_s = 0.2
    leave(context, node)


@then("it gets its acknowledgement when the departure is on disk")
def _(context):
    simulation = context.simulation
    node = simulation.coordinator_names[0]
    while "call" not in simulation.outcomes:
        assert simulation.now < 200.0
        simulation.run(0.01)
    saved = [s.name for s in simulation.disks[node].departures]
    assert NAME in saved, saved


@when(
    "the server deregisters at a coordinator that is cut off and whose disk"
    " fails"
)
def _(context):
    node = cut_off(context)
    context.simulation.failed_disks.add(node)
    leave(context, node)


def cut_off(context):
    """Partitions a coordinator from the others; returns its name."""
    simulation = context.simulation
    node, *others = simulation.coordinator_names
    for other in others:
        simulation.partition(node, other)
    return node


@then("it is told to call again")
def _(context):
    simulation = context.simulation
    simulation.run_until(lambda: "call" in simulation.outcomes, 1.0)
    assert simulation.outcomes["call"] is False


@when("the server deregisters at a coordinator that is cut off")
def _(context):
    leave(context, cut_off(context))


@then("it gets its acknowledgement within {limit:g} seconds")
def _(context, limit):
    simulation = context.simulation
    simulation.run_until(lambda: "call" in simulation.outcomes, limit)
    assert simulation.outcomes["call"] is True


@when("the server deregisters at a coordinator that started without its disk")
def _(context):
    simulation = context.simulation
    node = simulation.coordinator_names[0]
    simulation.kill(node)
    simulation.wipe(node)
    simulation.run(0.1)
    simulation.start(node)
    leave(context, node)
    simulation.run(1.0)
    assert simulation.outcomes["call"] is True


# Files.


def make_servers(first, count):
    """Returns servers that are gone."""
    return tuple(
        instances.Instance(
            f"s{number}", "plain", "a:1", "z1", phase=instances.PHASE_GONE
        )
        for number in range(first, first + count)
    )


@when("{count:d} servers leave a coordinator process at once")
def _(context, count):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = pathlib.Path(folder.name) / "departures"
    context.unsaved = []
    context.syncs = 0
    real_sync = os.fsync

    def sync(descriptor):
        context.syncs += 1
        real_sync(descriptor)

    async def run():
        done = asyncio.Event()
        delivered = []

        def deliver(event):
            found, _ = saved_departures.SavedDepartures(path, "n").load()
            names = {server.name for server in found}
            context.unsaved += [
                server.name
                for server in event.effect.servers
                if server.name not in names
            ]
            delivered.append(event)
            if len(delivered) == count:
                done.set()

        log = departure_log.DepartureLog(
            saved_departures.SavedDepartures(path, "n"),
            deliver=deliver,
            write_log=lambda _: None,
        )
        for server in make_servers(0, count):
            log.add(events.SaveDepartures((server,)))
        await done.wait()
        log.close()

    # Opening the file to read it syncs, too.
    with (
        mock.patch.object(
            saved_departures.SavedDepartures, "load", lambda self: read(path)
        ),
        mock.patch.object(os, "fsync", sync),
    ):
        asyncio.run(run())


def read(path):
    """Returns the departures in a file, which is left as it is."""
    copy = path.with_name("copy")
    copy.write_bytes(path.read_bytes())
    with mock.patch.object(os, "fsync"):
        return LOAD(saved_departures.SavedDepartures(copy, "n"))


LOAD = saved_departures.SavedDepartures.load


@then("each is on disk before its acknowledgement")
def _(context):
    assert not context.unsaved, context.unsaved


@then("there were at most {limit:d} syncs")
def _(context, limit):
    assert 0 < context.syncs <= limit, context.syncs


@when("departures are written and {fault}")
def _(context, fault):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = context.path = pathlib.Path(folder.name) / "departures"
    saved = saved_departures.SavedDepartures(path, "n")
    saved.load()
    saved.append(make_servers(0, 2))
    context.expected = ["s0", "s1"]
    match fault:
        case "the last record is torn":
            saved.close()
            whole = path.read_bytes()
            saved.append(make_servers(2, 1))
            saved.close()
            path.write_bytes(path.read_bytes()[: len(whole) + 20])
        case "one write fails in the middle":
            with mock.patch.object(os, "fsync", side_effect=OSError("full")):
                try:
                    saved.append(make_servers(2, 1))
                except OSError:
                    context.has_failed = True
            assert context.has_failed
            saved.append(make_servers(3, 1))
            context.expected.append("s3")
        case "a save clears those before":
            saved.clear()
            saved.append(make_servers(3, 1))
            context.expected = ["s3"]
        case "their first record is damaged":
            saved.append(make_servers(2, 1))
            content = bytearray(path.read_bytes())
            content[12] ^= 255
            path.write_bytes(content)
    saved.close()


@then("the departures that were acknowledged are read again")
def _(context):
    found, problems = saved_departures.SavedDepartures(context.path, "n").load()
    assert not problems, problems
    names = [server.name for server in found]
    assert set(context.expected) <= set(names), names


@then("the damage is reported and later departures are written")
def _(context):
    saved = saved_departures.SavedDepartures(context.path, "n")
    _, problems = saved.load()
    assert len(problems) == 1, problems
    saved.append(make_servers(5, 1))
    saved.close()
    found, problems = saved_departures.SavedDepartures(context.path, "n").load()
    assert [server.name for server in found] == ["s5"]
    assert not problems
