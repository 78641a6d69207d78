"""Steps about the account of what clients make a process hold."""

from __future__ import annotations

from behave import given, then, when
from support import intake_schedules

from hickorylead.intake import account as account_module, limits, members

MIB = 1024 * 1024
KIB = 1024
SLICE_BYTES = 64 * KIB
PORT = "clients"
TIMEOUT_S = 15.0
Phase = members.Phase


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


def open_connection(context) -> members.Member:
    """Opens a connection; they have numbers from 1."""
    number = len(context.members) + 1
    member, decisions = context.account.open(number, PORT, context.now)
    context.members.append(member)
    context.decisions += decisions
    return member


def receive(context, member, size, length) -> None:
    """Records more of a body."""
    member.record_input(int(size), context.now)
    held = context.sizes.get(member.number, 0) + int(size)
    context.sizes[member.number] = held
    missing = int(length) - held
    if missing <= 0:
        member.enter(Phase.BUSY, context.now)
    context.decisions += context.account.hold(
        member, held, max(0, missing), context.now
    )


def begin_body(context, size, length) -> members.Member:
    """Opens a connection with a part of a body."""
    member = open_connection(context)
    member.enter(Phase.BODY, context.now)
    member.timeout_s = TIMEOUT_S
    receive(context, member, size, length)
    return member


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
        for member in moving:
            receive(context, member, SLICE_BYTES, length * MIB)


@given("{count:d} responses of which {size:g} MiB wait for their clients")
def _(context, count, size):
    for _ in range(count):
        member = open_connection(context)
        member.enter(Phase.UNREAD, context.now)
        context.account.hold(member, int(size * MIB), 0, context.now)


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
        for member in context.members:
            receive(context, member, size * KIB, 4 * MIB)


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


def list_ended(context) -> list[tuple[int, str]]:
    """Returns the connections that have ended, and why."""
    return [
        (decision.number, decision.reason)
        for decision in context.decisions
        if isinstance(decision, account_module.End)
    ]


@then("connection {number:d} ends with {reason}")
def _(context, number, reason):
    assert list_ended(context) == [(number, reason)], context.decisions


@then("connections {first:d} to {last:d} end with {reason}")
def _(context, first, last, reason):
    found = sorted(list_ended(context))
    expected = [(number, reason) for number in range(first, last + 1)]
    assert found == expected, context.decisions


@then("what is held is {most:d} MiB at most")
def _(context, most):
    held = context.account.held_bytes
    assert held <= most * MIB, held


@then("no connection ends")
def _(context):
    assert not list_ended(context), context.decisions


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
