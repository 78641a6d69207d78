"""Steps about responses that a forwarder buffers."""

from __future__ import annotations

from behave import given, then, when
from support import forwarder_harness

from hickorylead.forwarding import events

KIB = 1024
PIECE_BYTES = 4 * KIB


@given("a gateway that may buffer {limit:d} KiB of responses")
def _(context, limit):
    context.harness = forwarder_harness.ForwarderHarness(plain=4, models=4)
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


@when("{count:d} streams each get {size:d} KiB of an event without end")
def _(context, count, size):
    harness = context.harness
    for _ in range(count):
        name = harness.send_request(
            "drafts", body=b"%d" % harness.request_count
        )
        attempt = harness.send_head(name)
        for _ in range(size * KIB // PIECE_BYTES):
            harness.deliver(
                events.ChunkArrived(name, attempt, bytes(PIECE_BYTES))
            )
        harness.advance(0.01)


@then("at most {limit:d} KiB and a piece are buffered")
def _(context, limit):
    buffered = context.harness.forwarder._attempts.count_buffered_bytes()
    assert buffered <= limit * KIB + PIECE_BYTES, buffered


@then("{count:d} attempts have failed because of {reason}")
def _(context, count, reason):
    failed = [
        effect
        for _, effect in context.harness.effects
        if getattr(effect, "event", "") == "attempt_failed"
        and effect.fields["reason"] == reason
    ]
    assert len(failed) == count, failed


@when("a stream gets an event whose id has 5000 digits")
def _(context):
    harness = context.harness
    name = harness.send_request("drafts")
    attempt = harness.send_head(name)
    event = b"id: " + b"9" * 5000 + b"\ndata: x\n\n"
    harness.deliver(events.ChunkArrived(name, attempt, event))
