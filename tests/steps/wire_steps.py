"""Steps about frames and messages."""

from __future__ import annotations

import typing

import attrs
from behave import then
import hypothesis
from hypothesis import strategies
from returns import result

from hickorylead.fleet import instances, messages
from hickorylead.wire import catalogue, codec, frame, schema

SCALARS = {
    int: strategies.integers(-(2**63), 2**63 - 1),
    float: strategies.floats(allow_nan=False),
    bool: strategies.booleans(),
    str: strategies.text(
        strategies.characters(exclude_categories=["Cs"]), max_size=20
    ),
    bytes: strategies.binary(max_size=20),
}


def settings(count):
    return hypothesis.settings(
        max_examples=count,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


def draw_type(hint):
    if hint in SCALARS:
        return SCALARS[hint]
    if catalogue.is_union(hint):
        _, variants = schema.find_union(hint)
        return strategies.one_of(*(draw_class(v.load()) for v in variants))
    if typing.get_origin(hint) is tuple:
        inner = draw_type(typing.get_args(hint)[0])
        return strategies.lists(inner, max_size=2).map(tuple)
    return draw_class(hint)


def list_messages():
    """Returns all message classes."""
    return [variant.load() for variant in catalogue.MESSAGES]


def draw_class(cls):
    fields = {n: draw_type(h) for n, h in schema.get_hints(cls).items()}
    return strategies.builds(cls, **fields)


@then("{count:d} random streams are decoded as they were packed, or refused")
def _(_, count):
    @settings(count)
    @hypothesis.given(
        strategies.lists(strategies.binary(min_size=1, max_size=50)),
        strategies.binary(max_size=20),
        strategies.integers(1, 9),
    )
    def read(payloads, tail, size):
        data = b"".join(map(frame.pack_frame, payloads)) + tail
        reader, found = frame.FrameReader(), []
        try:
            for start in range(0, len(data), size):
                found += reader.feed(data[start : start + size])
        except frame.FrameError:
            assert tail
        assert found[: len(payloads)] == payloads

    read()


@then("{first:d} random and {second:d} damaged messages are decoded or refused")
def _(_, first, second):
    @settings(first)
    @hypothesis.given(strategies.binary(max_size=200))
    def decode(data):
        found = codec.decode_envelope(data)
        assert isinstance(found, result.Success | result.Failure)

    @settings(second)
    @hypothesis.given(
        strategies.one_of(*map(draw_class, list_messages())),
        strategies.integers(0, 400),
        strategies.binary(max_size=4),
        strategies.booleans(),
    )
    def decode_damaged(message, place, damage, is_truncated):
        data = codec.encode_envelope(codec.Envelope("a", "1:1", message))
        place %= len(data)
        rest = b"" if is_truncated else data[place + len(damage) :]
        found = codec.decode_envelope(data[:place] + damage + rest)
        assert isinstance(found, result.Success | result.Failure)

    decode()
    decode_damaged()


@then("a message of {count:d} servers is refused wherever it is truncated")
def _(_, count):
    servers = (
        instances.Instance(f"server-{n}", "service", f"10.0.0.{n}:80", "zone")
        for n in range(count)
    )
    update = messages.InstanceNews("node", tuple(servers))
    data = codec.encode_envelope(codec.Envelope("node", "1:1", update))
    for length in range(0, len(data), 7):
        found = codec.decode_envelope(data[:length])
        assert isinstance(found, result.Failure), length


@then("a frame with a length of {size:d} bytes is refused at once")
def _(_, size):
    reader = frame.FrameReader()
    try:
        reader.feed(size.to_bytes(4, "big"))
    except frame.FrameError:
        return
    raise AssertionError("the frame was accepted")


@then("each message type with drawn contents is the same after the codec")
def _(_):
    for cls in list_messages():

        @settings(10)
        @hypothesis.given(draw_class(cls))
        def run_codec(message):
            envelope = codec.Envelope("zone/vm/entry", "127.0.0.1:1", message)
            data = codec.encode_envelope(envelope)
            assert codec.decode_envelope(data).unwrap() == envelope

        run_codec()
    assert all(map(attrs.has, list_messages()))


@then("the committed schema equals the generated one")
def _(_):
    committed = schema.SCHEMA_FILE.read_text(encoding="utf-8")
    assert committed == schema.render_schema()
