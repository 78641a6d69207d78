"""Steps about connections between processes."""

from __future__ import annotations

import asyncio
import random
from unittest import mock

from behave import given, then, when

from hickorylead.configuration import messages, model
from hickorylead.fleet import messages as fleet_messages
from hickorylead.runtime import peers, tasks
from hickorylead.wire import codec, frame

TIMEOUT_S = 20


class IgnoringPeer:
    """A peer that ignores all data on its first connection."""

    def __init__(self):
        self.connections = 0
        self.received = []

    async def serve(self, reader, writer):
        self.connections += 1
        number, frames = self.connections, frame.FrameReader()
        while data := await reader.read(65536):
            if number == 1:
                continue
            for payload in frames.feed(data):
                self.received.append(codec.decode_envelope(payload).unwrap())
            writer.write(b"1")
            await writer.drain()
        writer.close()


def make_peers(address):
    return peers.Peers(
        node="z/vm1/entry",
        address="127.0.0.1:1",
        addresses={"z/vm1/control": address},
        deliver=lambda sender, message: None,
        log=mock.Mock(),
    )


def make_message(number):
    return messages.ConfigurationRequest("z/vm1/entry", number)


@given("a peer that ignores all data on its first connection")
def _(context):
    context.peer = IgnoringPeer()


@when("messages are sent to the peer until one arrives")
def _(context):
    async def run():
        server = await asyncio.start_server(context.peer.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        links = make_peers(f"127.0.0.1:{port}")
        async with asyncio.timeout(TIMEOUT_S):
            number = 0
            while not context.peer.received:
                number += 1
                links.send("z/vm1/control", make_message(number))
                await asyncio.sleep(0.02)
        await links.close()
        server.close()

    with mock.patch.object(peers, "ACK_TIMEOUT_S", 0.3):
        asyncio.run(run())


@then("the messages arrive over a second connection")
def _(context):
    assert context.peer.connections == 2
    first = context.peer.received[0].message
    assert isinstance(first, messages.ConfigurationRequest)


@when("{count:d} messages are sent to an unreachable peer")
def _(context, count):
    async def run():
        links = make_peers("127.0.0.1:9")
        for number in range(count):
            links.send("z/vm1/control", make_message(number))
        context.queued = sum(len(link.queue) for link in links._links.values())
        await links.close()

    asyncio.run(run())


@then("at most {count:d} of them are queued")
def _(context, count):
    assert 0 < context.queued <= count


def make_large_message(number, size):
    return messages.ConfigurationUpdate(
        sender="z/vm1/entry",
        ready=True,
        from_leader=True,
        leader="",
        version=number,
        configuration=model.Configuration(
            content=random.Random(number).randbytes(size)
        ),
    )


class RecordingPeer:
    """A peer that records the messages of all connections."""

    def __init__(self, pause_s=0.0):
        self.received = []
        self.pause_s = pause_s

    async def serve(self, reader, writer):
        frames = frame.FrameReader()
        while data := await reader.read(16 * 1024):
            await asyncio.sleep(self.pause_s)
            for payload in frames.feed(data):
                self.received.append(codec.decode_envelope(payload).unwrap())
            writer.write(b"1")
            await writer.drain()
        writer.close()


async def send_two(context, size, *, expected, pause_s=0.0):
    context.peer = RecordingPeer(pause_s)
    server = await asyncio.start_server(context.peer.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    links = make_peers(f"127.0.0.1:{port}")
    context.log = links._log
    async with asyncio.timeout(TIMEOUT_S):
        links.send("z/vm1/control", make_large_message(1, size))
        links.send("z/vm1/control", make_message(2))
        while len(context.peer.received) < expected:
            await asyncio.sleep(0.01)
    await links.close()
    server.close()


@when("a message larger than a frame and a small one are sent to a peer")
def _(context):
    size = frame.MAX_FRAME_BYTES + 1
    asyncio.run(send_two(context, size, expected=1))


@then("the small one arrives and the large one is reported")
def _(context):
    (envelope,) = context.peer.received
    assert isinstance(envelope.message, messages.ConfigurationRequest)
    (call,) = context.log.warn.call_args_list
    assert call.args == ("message too large",), call
    assert call.kwargs["kind"] == "ConfigurationUpdate", call


@when("a large message and a small one are sent to a peer that reads slowly")
def _(context):
    with mock.patch.object(peers, "BULK_BYTES", 1000):
        asyncio.run(
            send_two(context, 4 * 1024 * 1024, expected=2, pause_s=0.002)
        )


@then("the small one arrives first")
def _(context):
    first = context.peer.received[0].message
    assert isinstance(first, messages.ConfigurationRequest), first


@when("{count:d} messages of 1 MB are sent to an unreachable peer")
def _(context, count):
    queue = peers.MessageQueue()
    for number in range(count):
        queue.append(bytes(1_000_000), float(number) / count)
    context.queue = queue


@then("at most {limit:d} MB of them are queued")
def _(context, limit):
    queue = context.queue
    assert 0 < queue.size_bytes <= limit * 1024 * 1024, queue.size_bytes
    assert queue.size_bytes == 1_000_000 * len(queue)
    queue.drop_outdated(10.0)
    assert (len(queue), queue.size_bytes) == (0, 0)


@when("a task that must keep running fails once")
def _(context):
    context.log = mock.Mock()
    context.runs = 0

    async def work():
        context.runs += 1
        if context.runs == 1:
            raise KeyError("lost")
        await asyncio.Event().wait()

    async def run():
        task_set = tasks.TaskSet(context.log)
        task_set.keep_running("work", work)
        async with asyncio.timeout(TIMEOUT_S):
            while context.runs < 2:
                await asyncio.sleep(0.01)
        await task_set.close()

    with mock.patch.object(tasks, "RESTART_DELAY_S", 0.01):
        asyncio.run(run())


@then("its failure is reported with its place and it runs again")
def _(context):
    failed = context.log.warn.call_args_list[0]
    assert failed.args == ("task failed",), failed
    assert failed.kwargs["task"] == "work", failed
    assert "in work" in failed.kwargs["place"], failed


@when("a callback fails that nothing waits for")
def _(context):
    context.log = mock.Mock()

    def fail():
        raise KeyError("lost")

    async def run():
        tasks.report_unhandled(context.log)
        asyncio.get_running_loop().call_soon(fail)
        await asyncio.sleep(0.01)

    asyncio.run(run())


@then("its failure is reported with its place")
def _(context):
    (failed,) = context.log.warn.call_args_list
    assert failed.args == ("error unhandled",), failed
    assert "in fail" in failed.kwargs["place"], failed


def make_document_update(size_bytes):
    content = random.Random(size_bytes).randbytes(size_bytes)
    return fleet_messages.DocumentUpdate("z/vm1/entry", 1, content, True)


@when("two messages are sent to {count:d} nodes by turns")
def _(context, count):
    async def run():
        sender = make_peers("127.0.0.1:1")
        with mock.patch.object(
            codec, "encode_envelope", wraps=codec.encode_envelope
        ) as encode:
            pair = make_message(1), make_message(2)
            for number in range(count):
                for message in pair:
                    sender.send(f"@127.0.0.1:{number + 2}", message)
            context.encoded = encode.call_count
        await sender.close()

    asyncio.run(run())


@then("{count:d} messages were encoded")
def _(context, count):
    assert context.encoded == count, context.encoded


@when("{count:d} messages of {size:d} KB are sent")
def _(context, count, size):
    async def run():
        sender = make_peers("127.0.0.1:1")
        for number in range(count):
            message = make_document_update(size * 1024 + number)
            sender.send("z/vm1/control", message)
        context.kept = [len(kept) for _, kept in sender._encoded.values()]
        await sender.close()

    asyncio.run(run())


@then("at most {count:d} MB of them is kept encoded")
def _(context, count):
    assert context.kept and sum(context.kept) <= count * 1024 * 1024
