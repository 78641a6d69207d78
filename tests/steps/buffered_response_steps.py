"""Steps about responses that a forwarder buffers."""

from __future__ import annotations

from behave import given, then, when
from support import forwarder_harness

from hickorylead.forwarding import events

KIB = 1024
PIECE_BYTES = 4 * KIB


@given("a gateway that may buffer {limit:d} KiB of responses")
def _(context, limit):
    context.harness = forwarder_harness.ForwarderHarness(plain=4)
    context.harness.forwarder.set_buffer_limit(limit * KIB)


@when("{count:d} servers each send {size:d} KiB of a response that goes on")
def _(context, count, size):
    harness = context.harness
    for _ in range(count):
        name = harness.send_request("notices")
        attempt = harness.send_head(name)
        for _ in range(size * KIB // PIECE_BYTES):
            harness.deliver(
                events.ChunkArrived(name, attempt, bytes(PIECE_BYTES))
            )


@then("{count:d} of these responses have started")
def _(context, count):
    started = [
        effect
        for _, effect in context.harness.effects
        if isinstance(effect, events.StartResponse)
    ]
    assert len(started) == count, started
