"""Steps about connections between processes."""

from __future__ import annotations

import asyncio
from unittest import mock

from behave import given, then, when

from hickorylead.configuration import messages
from hickorylead.runtime import peers
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
        context.queued = len(links._links["z/vm1/control"].queue)
        await links.close()

    asyncio.run(run())


@then("at most {count:d} of them are queued")
def _(context, count):
    assert 0 < context.queued <= count
