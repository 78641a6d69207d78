"""Steps about planned stops of real gateways, as callers see them."""

from __future__ import annotations

import asyncio
from unittest import mock

import attrs
from behave import then
from soak import callers as soak_callers
from support import platform_cluster

from hickorylead.runtime import clock, gateway, listener

GRACE_S = 3.0
DETECTION_S = 0.3
EVENT_COUNT = 60


@attrs.define
class Seen:
    """What a caller saw of one request, in seconds after the stop.

    Attributes:
        sent_s: When the request was sent.
        ended_s: When its response or the connection ended.
        status: Status of the response; 0 without one.
        is_complete: Whether the response ended as complete.
    """

    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    is_complete: bool = False


def make_head(path: str, attempt: str, **extra: str) -> bytes:
    """Returns the head of a request."""
    fields = {
        "Host": "host.example",
        "Attempt-Id": attempt,
        "Time-Budget": "4000",
        "Authorization": "Token key-1",
        **{name.replace("_", "-"): value for name, value in extra.items()},
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"POST {path} HTTP/1.1\r\n{lines}\r\n".encode()


class Listener(listener.Listener):
    """A listener that can be found by the test."""

    opened: list[Listener] = []

    async def start(self) -> None:
        """Opens the port; returns once it accepts connections."""
        Listener.opened.append(self)
        await super().start()


class StoppingCluster:
    """A cluster whose gateway is stopped, and what its callers saw."""

    def __init__(self, cluster: platform_cluster.PlatformCluster) -> None:
        self.cluster = cluster
        self.stopped_at = clock.read_boottime()
        self.ended_s = 0.0
        self.seen: list[Seen] = []

    def read_time(self) -> float:
        """Returns the time since the stop, in seconds."""
        return clock.read_boottime() - self.stopped_at

    async def stop(self) -> None:
        """Stops the gateway and waits until it has ended."""
        self.stopped_at = clock.read_boottime()
        self.cluster.gateway._stop.set()
        index = len(self.cluster.coordinators)
        task = self.cluster._tasks[index]
        task.add_done_callback(lambda _: self._end_process())
        await asyncio.wait([task], timeout=GRACE_S + 5)

    def _end_process(self) -> None:
        """Closes the sockets of callers, as the kernel does for a process."""
        self.ended_s = self.read_time()
        for opened in Listener.opened:
            for connection in list(opened._server.server_state.connections):
                connection.transport.abort()

    async def connect(self):
        """Opens a caller's connection to the gateway."""
        ip, _, port = self.cluster.caller_address.rpartition(":")
        return await asyncio.open_connection(ip, int(port))

    async def receive(self, reader, seen: Seen) -> bool:
        """Receives a response; returns whether the connection stays open."""
        response = soak_callers._Response()
        try:
            while not response.is_complete:
                data = await reader.read(65536)
                if not data:
                    break
                response.parser.feed_data(data)
        except OSError:
            # The connection was reset: what has arrived is what was seen.
            pass
        seen.status = response.status
        seen.is_complete = response.is_complete
        seen.ended_s = self.read_time()
        closes = response.headers.get("connection", "") == "close"
        return response.is_complete and not closes


async def keep_streaming(stopping: StoppingCluster, name: str) -> None:
    """Sends streams one after another on one connection until it closes."""
    reader, writer = await stopping.connect()
    count, is_open = 0, True
    while is_open:
        count += 1
        head = make_head(
            f"/drafts/{name}-{count}",
            f"{name}-{count}",
            Model=platform_cluster.MODEL,
            Token_Count="5,9",
            Content_Length="0",
        )
        seen = Seen(stopping.read_time())
        writer.write(head)
        is_open = await stopping.receive(reader, seen)
        stopping.seen.append(seen)
    writer.close()


async def run_kept_connections(cluster) -> StoppingCluster:
    """Stops a gateway while callers keep streaming on their connections."""
    for server in cluster.servers:
        server.manner.events = EVENT_COUNT
        server.manner.event_interval_s = 0.03
    stopping = StoppingCluster(cluster)
    streams = [
        asyncio.ensure_future(keep_streaming(stopping, f"k{number}"))
        for number in range(3)
    ]
    await asyncio.sleep(0.4)
    await stopping.stop()
    await asyncio.wait_for(asyncio.gather(*streams), 5)
    return stopping


async def send_slow_body(stopping: StoppingCluster, pieces: int) -> None:
    """Sends a request whose body takes 0.1 s for each piece."""
    reader, writer = await stopping.connect()
    seen = Seen(stopping.read_time())
    receiving = asyncio.ensure_future(stopping.receive(reader, seen))
    writer.write(
        make_head(
            "/alerts/b",
            f"b{len(stopping.seen)}",
            Transfer_Encoding="chunked",
        )
    )
    try:
        for _ in range(pieces):
            writer.write(b"4\r\ntree\r\n")
            await writer.drain()
            await asyncio.sleep(0.1)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
    except OSError:
        # The connection was reset while the body was sent.
        pass
    await receiving
    stopping.seen.append(seen)
    writer.close()


async def run_slow_bodies(cluster) -> StoppingCluster:
    """Stops a gateway while the bodies of requests still come."""
    stopping = StoppingCluster(cluster)
    bodies = [
        asyncio.ensure_future(send_slow_body(stopping, 12)) for _ in range(3)
    ]
    await asyncio.sleep(0.2)
    await stopping.stop()
    await asyncio.wait_for(asyncio.gather(*bodies), 5)
    return stopping


def run_stop(session) -> StoppingCluster:
    """Runs a session in which a gateway is stopped; returns what was seen."""
    found = []

    async def run(cluster):
        found.append(await session(cluster))

    Listener.opened.clear()
    with (
        mock.patch.object(gateway, "BALANCER_DETECTION_S", DETECTION_S),
        mock.patch.object(listener, "Listener", Listener),
    ):
        asyncio.run(platform_cluster.run_session(run, grace_s=GRACE_S))
    return found[0]


@then(
    "no stream is cut whose caller sends it on a connection kept since SIGTERM"
)
def _(context):
    stopping = run_stop(run_kept_connections)
    cut = [s for s in stopping.seen if s.status == 200 and not s.is_complete]
    assert len(stopping.seen) >= 3, stopping.seen
    assert not cut, cut
    assert stopping.ended_s < GRACE_S, stopping.ended_s


@then("a request whose body still comes at SIGTERM is answered completely")
def _(context):
    stopping = run_stop(run_slow_bodies)
    assert len(stopping.seen) == 3, stopping.seen
    assert all(s.status == 200 and s.is_complete for s in stopping.seen), (
        stopping.seen,
        stopping.ended_s,
    )
