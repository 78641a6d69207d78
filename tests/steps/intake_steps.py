"""Steps about the account of what clients make a process hold."""

from __future__ import annotations

from behave import given, then, when
from support import intake_schedules

from hickorylead.intake import (
    account as account_module,
    limits,
    usage as usage_module,
)

MIB = 1024 * 1024
KIB = 1024
SLICE_BYTES = 64 * KIB
PORT = "clients"
TIMEOUT_S = 15.0
Phase = usage_module.Phase


@given(
    "clients may make the process hold {most:d} MiB, {large:d} of them in"
    " large requests"
)
def _(context, most, large):
    context.bytes = (most * MIB, large * MIB)
    context.now = 100.0
    context.decisions = []
    context.members = []
    context.sizes = {}


@given("a port that takes {count:d} connections")
def _(context, count):
    context.account = account_module.Account(
        limits.IntakeLimits(*context.bytes, count), {PORT: 1.0}
    )


def open_connection(context) -> usage_module.ConnectionUsage:
    """Opens a connection; they have numbers from 1."""
    number = len(context.members) + 1
    usage, decisions = context.account.open(number, PORT, context.now)
    context.members.append(usage)
    context.decisions += decisions
    return usage


def receive(context, usage, size, length) -> None:
    """Records more of a body."""
    usage.record_input(int(size), context.now)
    held = context.sizes.get(usage.number, 0) + int(size)
    context.sizes[usage.number] = held
    missing = int(length) - held
    if missing <= 0:
        usage.enter(Phase.BUSY, context.now)
    context.decisions += context.account.update(
        usage, held, max(0, missing), context.now
    )


def begin_body(context, size, length) -> usage_module.ConnectionUsage:
    """Opens a connection with a part of a body."""
    usage = open_connection(context)
    usage.enter(Phase.BODY, context.now)
    usage.timeout_s = TIMEOUT_S
    receive(context, usage, size, length)
    return usage


@given("{count:d} bodies of {length:g} MiB of which {size:g} MiB have arrived")
@given(
    "{count:d} bodies of {length:g} MiB of which {size:g} MiB arrive at once"
)
def _(context, count, length, size):
    for _ in range(count):
        begin_body(context, size * MIB, length * MIB)


@given(
    "{count:d} bodies of {length:d} MiB that arrive together until all of them"
    " wait"
)
def _(context, count, length):
    for _ in range(count):
        begin_body(context, SLICE_BYTES, length * MIB)
    while moving := [m for m in context.members if m.waits_since is None]:
        for usage in moving:
            receive(context, usage, SLICE_BYTES, length * MIB)


@given("{count:d} responses of which {size:g} MiB wait for their clients")
def _(context, count, size):
    for _ in range(count):
        usage = open_connection(context)
        usage.enter(Phase.UNREAD, context.now)
        context.account.update(usage, int(size * MIB), 0, context.now)


@given("{count:d} connections that send nothing for {seconds:g} s")
def _(context, count, seconds):
    for _ in range(count):
        open_connection(context)
    context.now += seconds


@given("{count:d} connections with complete requests")
def _(context, count):
    for _ in range(count):
        open_connection(context).enter(Phase.BUSY, context.now)
    context.now += 2.0


@given("nothing of them has arrived for {seconds:d} s")
def _(context, seconds):
    context.now += seconds


@given("{size:d} KiB of each of them arrives in each of {seconds:d} s")
def _(context, size, seconds):
    for _ in range(seconds):
        context.now += 1.0
        for usage in context.members:
            receive(context, usage, size * KIB, 4 * MIB)


@when("a body of {length:g} MiB arrives with {size:g} MiB")
def _(context, length, size):
    begin_body(context, size * MIB, length * MIB)


@when("a connection is opened")
def _(context):
    open_connection(context)


@when(
    "clients may make the process hold {most:d} MiB, {large:d} of them in"
    " large requests"
)
def _(context, most, large):
    context.account.set_limits(limits.IntakeLimits(most * MIB, large * MIB, 8))


@when("connection {number:d} closes")
def _(context, number):
    context.decisions += context.account.close(
        context.members[number - 1], context.now
    )


@when("nothing happens for {seconds:g} s")
def _(context, seconds):
    context.now += seconds
    context.decisions += context.account.tick(context.now)


def list_evicted(context) -> list[tuple[int, str]]:
    """Returns the connections that have ended, and why."""
    return [
        (decision.number, decision.reason)
        for decision in context.decisions
        if isinstance(decision, account_module.Evict)
    ]


@then("connection {number:d} is evicted with {reason}")
def _(context, number, reason):
    assert list_evicted(context) == [(number, reason)], context.decisions


@then("connections {first:d} to {last:d} are evicted with {reason}")
def _(context, first, last, reason):
    found = sorted(list_evicted(context))
    expected = [(number, reason) for number in range(first, last + 1)]
    assert found == expected, context.decisions


@then("what is held is {most:d} MiB at most")
def _(context, most):
    held = context.account.held_bytes
    assert held <= most * MIB, held


@then("no connection is evicted")
def _(context):
    assert not list_evicted(context), context.decisions


@then("nothing waits")
def _(context):
    waiting = [m.number for m in context.members if m.waits_since is not None]
    assert not waiting, waiting


@then("connection {number:d} waits")
def _(context, number):
    assert account_module.Pause(number) in context.decisions, context.decisions
    assert context.members[number - 1].waits_since is not None


@then("connection {number:d} does not wait")
def _(context, number):
    assert account_module.Pause(number) not in context.decisions


@then("connection {number:d} goes on")
def _(context, number):
    assert account_module.Resume(number) in context.decisions, context.decisions


@then("{count:d} random schedules of clients violate no invariant")
def _(_, count):
    for seed in range(count):
        intake_schedules.run_schedule(seed)


@then(
    "a process with {memory:d} MB and {descriptors:d} descriptors may hold"
    " {held:d} MiB for {connections:d} clients"
)
def _(_, memory, descriptors, held, connections):
    derived = limits.derive_limits(memory, descriptors)
    assert derived.max_bytes == held * MIB, derived
    assert derived.max_connections == connections, derived
