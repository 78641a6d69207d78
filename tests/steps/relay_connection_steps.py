"""Steps about connections through a relay, on loopback sockets."""

from __future__ import annotations

import asyncio
import random
import tracemalloc
from unittest import mock

from behave import given, then, when
from steps import endless_response_steps, platform_steps
from support import relay_path

from hickorylead.runtime import calls, relay_client, relay_server

REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
RESPONSE = platform_steps.COMPLETE_RESPONSE
# More than the sockets between a gateway and a replica take.
LARGE_BYTES = 64 * 1024 * 1024
# A number that many reads in a row found the same counts as constant.
STABLE_READS = 60


async def send_requests(replica, *, times=1):
    """Sends requests through one relay; returns the result of each."""
    address = await replica.start() if replica else "127.0.0.1:1"
    path = relay_path.RelayPath()
    await path.start()
    results = []
    for _ in range(times):
        recorder = platform_steps.ResultRecorder()
        path.send(address, REQUEST, recorder)
        async with asyncio.timeout(5):
            results.append(await recorder.done)
        await relay_path.wait_for(lambda: not path.server.count_active())
    path.close()
    if replica:
        replica.server.close()
    return results


@when("a request is sent to the replica through a relay")
def _(context):
    with platform_steps.allow_slow_connections():
        context.results = asyncio.run(send_requests(context.replica))


@when("a request is sent to the endless replica through a relay")
def _(context):
    async def run():
        replica = endless_response_steps.EndlessReplica(
            context.part, context.pace
        )
        server = await asyncio.start_server(replica.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        path = relay_path.RelayPath()
        await path.start()
        collector = calls._Collector()
        tracemalloc.start()
        try:
            exchange = path.send(f"127.0.0.1:{port}", REQUEST, collector, 20.0)
            async with asyncio.timeout(20):
                context.response = await collector.done
                exchange.cancel()
                await replica.is_closed.wait()
            context.peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        path.close()
        server.close()

    with platform_steps.allow_slow_connections():
        asyncio.run(run())


@when("two requests are sent to the replica through a relay")
def _(context):
    with platform_steps.allow_slow_connections():
        context.results = asyncio.run(send_requests(context.replica, times=2))


@then("both go over one connection to the replica")
def _(context):
    assert context.results == ["complete", "complete"], context.results
    assert context.replica.connections == 1, context.replica.connections


def run_with_path(scenario, refusal=""):
    """Runs a coroutine function with a relay and a scripted replica."""

    async def run():
        path = relay_path.RelayPath(refusal)
        replica = relay_path.ScriptedReplica()
        address = await replica.start()
        await path.start()
        try:
            async with asyncio.timeout(60):
                await scenario(path, replica, address)
        finally:
            path.close()
            replica.close()

    with platform_steps.allow_slow_connections():
        asyncio.run(run())


async def check_not_run(path, replica, address):
    """Checks that a request has not run and reached no replica."""
    recorder = platform_steps.ResultRecorder()
    path.send(address, REQUEST, recorder)
    assert await recorder.done == "not_run"
    assert not replica.count


@given("a relay that refuses requests because it is {reason}")
def _(context, reason):
    context.refusal = reason


@then("a request through it has not run and the replica gets no connection")
def _(context):
    run_with_path(check_not_run, context.refusal)


@then("a request through a relay that does not listen has not run")
def _(_):
    async def scenario(path, replica, address):
        path.server.close()
        path.relay.address = "127.0.0.1:1"
        await check_not_run(path, replica, address)

    run_with_path(scenario)


@then("a request through a relay that does not reply has not run")
def _(_):
    async def scenario(path, replica, address):
        silent = relay_path.ScriptedReplica()
        path.relay.address = await silent.start()
        await check_not_run(path, replica, address)
        assert silent.count == 1
        silent.close()

    run_with_path(scenario)


@then("a request whose relay is lost before it is sent has not run")
def _(_):
    open_channel = relay_client._Channel.open

    async def open_and_lose(channel, opening):
        reason = await open_channel(channel, opening)
        channel.connection_lost(None)
        return reason

    async def scenario(path, replica, address):
        recorder = platform_steps.ResultRecorder()
        path.send(address, REQUEST, recorder)
        async with asyncio.timeout(1.0):
            assert await recorder.done == "not_run"

    with mock.patch.object(relay_client._Channel, "open", open_and_lose):
        run_with_path(scenario)


async def start_exchange(path, replica, address, *, data=REQUEST, limit_s=5.0):
    """Starts an exchange; returns it with its recorder and connection."""
    recorder = platform_steps.ResultRecorder()
    exchange = path.send(address, data, recorder, limit_s)
    reader, writer = await replica.connections.get()
    await reader.readuntil(b"\r\n\r\n")
    return exchange, recorder, reader, writer


@then("a request whose relay ends before the response may have run")
def _(_):
    async def scenario(path, replica, address):
        _, recorder, _, _ = await start_exchange(path, replica, address)
        path.server.close()
        assert await recorder.done == "may_have_run"

    run_with_path(scenario)


@then("the replica's connection closes when the request is cancelled")
def _(_):
    async def scenario(path, replica, address):
        exchange, _, reader, _ = await start_exchange(path, replica, address)
        exchange.cancel()
        async with asyncio.timeout(0.5):
            assert await reader.read() == b""

    run_with_path(scenario)


@then("the replica's connection closes after the exchange's limit")
def _(_):
    async def scenario(path, replica, address):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        _, _, reader, _ = await start_exchange(
            path, replica, address, limit_s=0.2
        )
        assert await reader.read() == b""
        assert 1.0 < loop.time() - started_at < 4.0

    run_with_path(scenario)


async def wait_until_constant(read):
    """Waits until a number has been the same for a while; returns it."""
    seen = [read()]

    def is_constant():
        seen.append(read())
        return len(seen) > STABLE_READS and len(set(seen[-STABLE_READS:])) == 1

    await relay_path.wait_for(is_constant, 30.0)
    return seen[-1]


@then("a relay holds back a replica whose response the gateway does not read")
def _(_):
    async def scenario(path, replica, address):
        exchange, recorder, _, writer = await start_exchange(
            path, replica, address, limit_s=60.0
        )
        exchange._channel.transport.pause_reading()
        body = random.Random(1).randbytes(LARGE_BYTES)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        writer.write(head + body)
        session = next(iter(path.server.sessions))
        await relay_path.wait_for(
            lambda: session.transport.get_write_buffer_size()
        )
        held = await wait_until_constant(writer.transport.get_write_buffer_size)
        buffered = session.transport.get_write_buffer_size()
        assert held > LARGE_BYTES // 2, (held, buffered)
        assert buffered < LARGE_BYTES // 16, buffered
        exchange._channel.transport.resume_reading()
        assert await recorder.done == "complete", recorder.reason
        assert recorder.body == body, len(recorder.body)

    run_with_path(scenario)


@then("a relay holds back a gateway whose request the replica does not read")
def _(_):
    async def scenario(path, replica, address):
        body = random.Random(1).randbytes(LARGE_BYTES)
        head = b"POST / HTTP/1.1\r\ncontent-length: %d\r\n\r\n" % len(body)
        exchange, recorder, reader, writer = await start_exchange(
            path, replica, address, data=head + body, limit_s=60.0
        )
        channel = exchange._channel
        held = await wait_until_constant(channel.get_write_buffer_size)
        session = next(iter(path.server.sessions))
        buffered = session._connection._transport.get_write_buffer_size()
        assert held > LARGE_BYTES // 2, (held, buffered)
        assert 0 < buffered < LARGE_BYTES // 16, buffered
        assert await reader.readexactly(len(body)) == body
        writer.write(RESPONSE)
        assert await recorder.done == "complete", recorder.reason

    run_with_path(scenario)


async def check_next_connection_is_new(path, replica, address):
    """Checks that the relay closes its connection instead of reusing it."""
    await relay_path.wait_for(lambda: not path.server.count_active(), 30.0)
    _, recorder, _, writer = await start_exchange(path, replica, address)
    writer.write(RESPONSE)
    assert await recorder.done == "complete"
    assert replica.count == 2, replica.count


@then(
    "a connection on which the replica sent bytes after its response is closed"
)
def _(_):
    async def scenario(path, replica, address):
        _, recorder, _, writer = await start_exchange(path, replica, address)
        # The relay learns of the end of the response only after these bytes.
        session = next(iter(path.server.sessions))
        session.transport.pause_reading()
        writer.write(RESPONSE)
        assert await recorder.done == "complete"
        writer.write(RESPONSE)
        await relay_path.wait_for(
            lambda: session._forwarded_bytes == 2 * len(RESPONSE)
        )
        session.transport.resume_reading()
        await check_next_connection_is_new(path, replica, address)

    run_with_path(scenario)


@then("a connection on which a part of the request is not written is closed")
def _(_):
    async def scenario(path, replica, address):
        _, recorder, _, writer = await start_exchange(path, replica, address)
        transport = next(iter(path.server.sessions))._connection._transport
        transport.get_write_buffer_size = lambda: 1
        writer.write(RESPONSE)
        assert await recorder.done == "complete"
        await check_next_connection_is_new(path, replica, address)

    run_with_path(scenario)


@then("a relay at its limit refuses a further exchange as not run")
def _(_):
    async def scenario(path, replica, address):
        _, recorder, _, writer = await start_exchange(path, replica, address)
        other = platform_steps.ResultRecorder()
        path.send(address, REQUEST, other)
        assert await other.done == "not_run"
        writer.write(RESPONSE)
        assert await recorder.done == "complete"
        assert replica.count == 1

    with mock.patch.object(relay_server, "MAX_EXCHANGES", 1):
        run_with_path(scenario)


@then("a body of {size:d} bytes reaches the replica through a relay unchanged")
def _(_, size):
    async def scenario(path, replica, address):
        body = random.Random(1).randbytes(size)
        head = b"POST / HTTP/1.1\r\ncontent-length: %d\r\n\r\n" % size
        _, recorder, reader, writer = await start_exchange(
            path, replica, address, data=head + body
        )
        assert await reader.readexactly(size) == body
        writer.write(RESPONSE)
        assert await recorder.done == "complete"
        assert recorder.body == b"body"

    run_with_path(scenario)


@then("the relay does not reuse a connection whose request body was not read")
def _(_):
    async def scenario(path, replica, address):
        # More than the sockets on the way take, so that the rest is never sent.
        size = 32 * 1024 * 1024
        head = b"POST / HTTP/1.1\r\ncontent-length: %d\r\n\r\n" % size
        _, recorder, reader, writer = await start_exchange(
            path, replica, address, data=head + random.Random(1).randbytes(size)
        )
        writer.write(RESPONSE)
        assert await recorder.done == "complete"
        await relay_path.wait_for(lambda: not path.server.count_active(), 30.0)
        _, recorder, _, writer = await start_exchange(path, replica, address)
        writer.write(RESPONSE)
        assert await recorder.done == "complete"
        assert replica.count == 2, replica.count
        del reader

    run_with_path(scenario)


@then("an exchange that began before the relay stopped completes")
def _(_):
    async def scenario(path, replica, address):
        _, recorder, _, writer = await start_exchange(path, replica, address)
        path.refusal = "stopping"
        other = platform_steps.ResultRecorder()
        path.send(address, REQUEST, other)
        assert await other.done == "not_run"
        assert path.server.count_active() == 1
        writer.write(RESPONSE)
        assert await recorder.done == "complete"

    run_with_path(scenario)


@then("bytes that are no frame close the connection of a relay")
def _(_):
    async def scenario(path, replica, address):
        del replica, address
        ip, _, port = path.relay.address.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(b"GET / HTTP/1.1\r\n\r\n")
        assert await reader.read() == b""
        assert path.warnings

    run_with_path(scenario)
