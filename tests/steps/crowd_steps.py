"""Steps about crowds of misbehaving clients before real processes."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import tempfile

from behave import given, then, when
from soak import nodes
from steps import soak_steps
from support import (
    crowd_processes,
    crowds,
    process_meter,
    single_requests,
)

MIB = 1024 * 1024
# Requests of ordinary callers beside a planned stop.
BESIDE_COUNT = 10
CHANGE_COUNT = 6


def run(context, work) -> None:
    """Runs a coroutine in the loop of the feature."""
    context.runner.run(work)


def get_processes(context) -> crowd_processes.Processes:
    """Returns the processes, which the scenarios of a feature share."""
    if "processes" not in context:
        runner = asyncio.Runner()
        folder = tempfile.TemporaryDirectory()
        processes = crowd_processes.Processes(
            pathlib.Path(folder.name), soak_steps.SLOT
        )

        def stop() -> None:
            runner.run(processes.stop())
            runner.close()
            folder.cleanup()

        context._root["runner"] = runner
        context._root["processes"] = processes
        context.add_cleanup(stop, layer="feature")
    return context.processes


@given("a gateway in a cluster of real processes")
def _(context):
    start_gateway(context, crowd_processes.MAX_DESCRIPTORS)


@given("a gateway with {count:d} descriptors in a cluster of real processes")
def _(context, count):
    start_gateway(context, count)


def start_gateway(context, max_descriptors: int) -> None:
    """Starts a gateway anew."""
    processes = get_processes(context)
    start(
        context,
        "callers",
        lambda: processes.start_gateway(max_descriptors),
        max_descriptors=max_descriptors,
    )


@given("a coordinator in a cluster of real processes")
def _(context):
    start(context, "control", get_processes(context).start_coordinator)


@given("an entry as a real process")
def _(context):
    processes = get_processes(context)
    start(context, "entry", processes.start_entry, needs_cluster=False)


def start(
    context,
    port: str,
    start_process,
    *,
    max_descriptors: int = crowd_processes.MAX_DESCRIPTORS,
    needs_cluster: bool = True,
) -> None:
    """Starts the process to which the crowd will connect."""
    processes = context.processes

    async def start_all():
        if needs_cluster and not processes.is_cluster_started:
            await processes.start_cluster()
        context.process = await start_process()

    run(context, start_all())
    context.max_descriptors = max_descriptors
    context.meter = process_meter.Meter(
        context.process, processes.get_address(port)[0]
    )


def make_crowd(context, name, place, port) -> crowds.Crowd:
    """Returns a crowd that is not connected yet."""
    return crowds.Crowd(
        crowds.SHAPES[name],
        crowd_processes.PLACES[place],
        context.processes.get_address(port),
    )


async def send_crowds(context, members, beside=None) -> None:
    """Connects crowds until they send no more; something happens beside."""
    measuring = asyncio.ensure_future(context.meter.run())
    try:
        for crowd in members:
            await crowd.start()
        for crowd in members:
            await crowd.wait_until_quiet()
        if beside is not None:
            await beside()
        context.meter.measure()
    finally:
        for crowd in members:
            await crowd.leave()
        measuring.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await measuring


@when("a crowd sends {name} to {place}, at the port for {port}")
def _(context, name, place, port):
    run(context, send_crowds(context, [make_crowd(context, name, place, port)]))


@when("three crowds, one after another, send {name}")
def _(context, name):
    async def send():
        for _ in range(3):
            crowd = make_crowd(context, name, "a route", "callers")
            await send_crowds(context, [crowd])

    run(context, send())


@when("one crowd sends {first} while another one sends {second}")
def _(context, first, second):
    members = [
        make_crowd(context, name, "a route", "callers")
        for name in (first, second)
    ]
    run(context, send_crowds(context, members))


@when("a crowd sends {name} while the limits change")
def _(context, name):
    async def change():
        for number in range(CHANGE_COUNT):
            is_narrow = number % 2 == 0
            assert await context.processes.configure(
                max_body_bytes=MIB if is_narrow else crowds.MAX_BODY_BYTES,
                max_head_bytes=4096 if is_narrow else crowds.MAX_HEAD_BYTES,
            )
            await asyncio.sleep(crowds.SLOW_GAP_S)

    crowd = make_crowd(context, name, "a route", "callers")
    run(context, send_crowds(context, [crowd], change))


@when("a crowd sends {name} while the gateway gets SIGTERM")
def _(context, name):
    processes = context.processes
    request = crowd_processes.PLACES["a route"].make_head("Content-Length: 0")

    async def stop():
        requests = [
            asyncio.ensure_future(
                crowd_processes.fetch_status(
                    processes.get_address("callers"), request
                )
            )
            for _ in range(BESIDE_COUNT)
        ]
        await asyncio.sleep(crowds.POLL_S)
        context.process.terminate()
        context.statuses = await asyncio.gather(*requests)
        context.has_exited = await asyncio.to_thread(wait_for_exit, context)

    crowd = make_crowd(context, name, "a route", "callers")
    run(context, send_crowds(context, [crowd], stop))


def wait_for_exit(context) -> bool:
    """Returns whether the process ends within its grace time."""
    with contextlib.suppress(crowd_processes.subprocess.TimeoutExpired):
        context.process.wait(nodes.GRACE_S)
    return context.process.poll() is not None


@when("one request of {size:d} bytes is sent {how}")
def _(context, size, how):
    async def send():
        measuring = asyncio.ensure_future(context.meter.run())
        try:
            context.status = await single_requests.send(
                crowd_processes.PLACES["a route"],
                context.processes.get_address("callers"),
                size,
                how,
            )
            context.meter.measure()
        finally:
            measuring.cancel()

    run(context, send())


@then("it is answered with status {status:d}")
def _(context, status):
    assert context.status == status, context.status


@then("it lives, within the memory and the descriptors of its machine")
def _(context):
    code = context.process.poll()
    assert code is None, f"the process has ended: {code}"
    check_usage(context)


def check_usage(context) -> None:
    """Checks what the process has used at most."""
    usage = context.meter.usage
    memory_mb = usage.memory_bytes / MIB
    assert memory_mb <= crowd_processes.MEMORY_MB, f"{memory_mb:.0f} MB"
    most = context.max_descriptors - crowd_processes.RESERVED_DESCRIPTORS
    assert usage.descriptors <= most, f"{usage.descriptors} descriptors"


@then("an ordinary request is answered, at each of its ports")
def _(context):
    processes = context.processes

    async def check():
        assert await crowd_processes.answers(processes.is_serving)
        assert await crowd_processes.answers(processes.has_metrics)

    run(context, check())


@then("nothing is kept for the clients that have left")
def _(context):
    run(context, check_answers(context.processes.has_released))


@then("an ordinary configuration is acknowledged")
def _(context):
    run(context, check_answers(context.processes.configure))


@then("an ordinary request to the entry is answered")
def _(context):
    run(context, check_answers(context.processes.is_entry_serving))


async def check_answers(check) -> None:
    """Checks that an ordinary request is answered."""
    assert await crowd_processes.answers(check)


@then("it ends within its grace time, and has answered what it had read")
def _(context):
    assert context.has_exited, "the process has not ended"
    assert context.process.poll() == 0, context.process.poll()
    # Status 503 promises that the request has not run.
    assert set(context.statuses) <= {200, 503}, context.statuses
    check_usage(context)
