"""Callers of a real gateway whose replicas cut off their responses."""

from __future__ import annotations

import asyncio
import socket
import struct
from unittest import mock

import attrs
from soak import callers as soak_callers
from steps import platform_steps, relay_process_steps

from hickorylead.runtime import relay_endpoint
from hickorylead_standins import platform
from support import cut_responses, platform_cluster

SIGNED = "Attempt-Id: {attempt}\r\nServer-Seal: seal.x\r\n"
# Requests in progress at a time. With more of them, the gateway would hold some
# back because of the failures of others.
BATCH_SIZE = 10
EVENTS = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
HEADS = {
    "a length": ("HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n", False),
    "chunks": (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
        True,
    ),
    "100 before the final head": (
        "HTTP/1.1 100 Continue\r\n\r\n"
        "HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n",
        False,
    ),
    "HTTP/1.0 and a length": (
        "HTTP/1.0 200 OK\r\nContent-Length: {size}\r\n",
        False,
    ),
}


@attrs.define
class Received:
    """What a caller received.

    Attributes:
        cut: Number of bytes that the replica sent.
        status: Status of the response; 0 without one.
        is_complete: Whether the response ended as complete.
        body: Its body.
    """

    cut: int
    status: int
    is_complete: bool
    body: bytes


class CuttingServers:
    """Replicas of a cluster that cut off their responses."""

    def __init__(self, cluster, body: bytes) -> None:
        """Replaces what the servers of a cluster respond.

        Args:
            cluster: The cluster.
            body: The whole body.
        """
        self.body = body
        # Cuts of the requests that have reached a server.
        self.reached: set[int] = set()
        self.choose("a length", "close")
        for server in cluster.servers:
            server._respond = self._make_respond(server._respond)

    def choose(self, name: str, end: str) -> None:
        """Chooses the kind of response, and how the connection ends."""
        self._end = end
        self._head, self._is_chunked = HEADS[name]
        self.reached.clear()

    def make_response(self, attempt: str) -> bytes:
        """Returns the whole response to an attempt."""
        head = (self._head + SIGNED + "\r\n").format(
            size=len(self.body), attempt=attempt
        )
        body = self.body
        if self._is_chunked:
            body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        return head.encode() + body

    def _make_respond(self, respond):
        async def cut_off(request, writer):
            if request.target in ("/order", "/report"):
                await respond(request, writer)
                return
            attempt = request.headers["attempt-id"]
            cut = int(attempt.rpartition("-")[2])
            self.reached.add(cut)
            response = self.make_response(attempt)
            writer.write(response[:cut])
            if cut == len(response):
                return
            if self._end == "reset":
                await asyncio.sleep(cut_responses.ARRIVAL_S)
                linger = struct.pack("ii", 1, 0)
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, linger
                )
                writer.transport.abort()
            writer.close()

        return cut_off


async def call(cluster, path: str, attempt: str, **extra: str):
    """Sends a request to the gateway; returns the parsed response."""
    fields = {
        "Host": "host.example",
        "Attempt-Id": attempt,
        "Time-Budget": "1000",
        "Authorization": "Token key-1",
        "Content-Length": "0",
        **extra,
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    ip, _, port = cluster.caller_address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(f"POST {path} HTTP/1.1\r\n{lines}\r\n".encode())
    response = soak_callers._Response()
    try:
        while not response.is_complete:
            data = await reader.read(65536)
            if not data:
                break
            response.parser.feed_data(data)
    finally:
        writer.close()
    return response


async def call_cut(cluster, path: str, cut: int, **extra: str) -> Received:
    """Calls the gateway for a response that is cut off."""
    response = await call(cluster, f"{path}{cut}", f"cut-{cut:03}", **extra)
    return Received(
        cut, response.status, response.is_complete, bytes(response.body)
    )


async def call_each_cut(
    cluster, servers: CuttingServers, path: str, **extra: str
) -> list[Received]:
    """Calls the gateway for each number of bytes that a replica sends."""
    cuts = range(len(servers.make_response("cut-000")) + 1)
    received: list[Received] = []
    for start in range(0, len(cuts), BATCH_SIZE):
        # The failures are the test's own; each request is to be sent.
        cluster.gateway.role._parts.health.stats.clear()
        received += await asyncio.gather(
            *(
                call_cut(cluster, path, cut, **extra)
                for cut in cuts[start : start + BATCH_SIZE]
            )
        )
    return received


def find_problem(servers: CuttingServers, received: list[Received]) -> str:
    """Returns what is wrong with what callers received; empty if nothing is."""
    *cut_off, whole = received
    for item in cut_off:
        if item.status == 200 and item.is_complete:
            return f"complete, though cut off: {item}"
        if item.status == 200 and not servers.body.startswith(item.body):
            return f"another body: {item}"
    if not (whole.is_complete and whole.body == servers.body):
        return f"not whole: {whole}"
    missing = {item.cut for item in received} - servers.reached
    return f"reached no server: {sorted(missing)}" if missing else ""


async def check_each(cluster, *, streamed: bool) -> list[tuple[str, str, str]]:
    """Calls the gateway for all kinds of cuts; returns the problems."""
    servers = CuttingServers(cluster, EVENTS if streamed else b"body")
    problems = []
    for name in HEADS:
        for end in ("close", "reset"):
            servers.choose(name, end)
            path = f"{name}-{end}".replace(" ", "-").replace("/", "-")
            if streamed:
                received = await call_each_cut(
                    cluster,
                    servers,
                    f"/drafts/{path}-",
                    **{"Model": platform_cluster.MODEL, "Token-Count": "5,9"},
                )
            else:
                received = await call_each_cut(
                    cluster, servers, f"/alerts/{path}-"
                )
            if problem := find_problem(servers, received):
                problems.append((name, end, problem))
    return problems


def run(*, streamed: bool, relayed: bool) -> list[tuple[str, str, str]]:
    """Runs a cluster; returns the problems.

    Args:
        streamed: Whether the responses are streams.
        relayed: Whether the gateway can connect to no server itself.
    """
    found: list = []

    async def session(cluster):
        if relayed:
            relay_process_steps.fail_connections(cluster.gateway, "fail")
            await relay_process_steps.call_until_relayed(cluster)
        relays = cluster.gateway._relays.pool
        before = relays.request_count
        found.append(await check_each(cluster, streamed=streamed))
        assert bool(relays.request_count - before) == relayed

    # A busy machine makes the event loop late; a late relay takes little.
    with (
        mock.patch.object(relay_endpoint, "BUSY_EXTRA_EXCHANGES", 1000),
        platform_steps.allow_slow_connections(),
    ):
        asyncio.run(
            platform_cluster.run_session(session, gateways=2 if relayed else 1)
        )
    return found[0]


BODILESS = {
    "a length, to HEAD": ("HEAD", "200 OK", "Content-Length: 4\r\n"),
    "no length, to HEAD": ("HEAD", "200 OK", ""),
    "status 204": ("POST", "204 No Content", ""),
    "status 304 and a length": (
        "POST",
        "304 Not Modified",
        "Content-Length: 4\r\n",
    ),
}


async def call_bodiless(cluster, name: str) -> bytes:
    """Calls the gateway for a response without a body; returns its bytes."""
    method, status, length = BODILESS[name]

    async def respond(request, writer):
        attempt = request.headers.get("attempt-id", "")
        head = f"HTTP/1.1 {status}\r\n{length}{SIGNED}Keep-Alive: timeout=5\r\n"
        writer.write((head + "\r\n").format(attempt=attempt).encode())

    for server in cluster.servers:
        if server.name.startswith("p"):
            server._respond = respond
    request = (
        f"{method} /alerts/{method} HTTP/1.1\r\nHost: host.example\r\n"
        "Attempt-Id: bodiless\r\nTime-Budget: 1000\r\n"
        "Authorization: Token key-1\r\nConnection: close\r\n\r\n"
    )
    return await platform.send_raw(cluster.caller_address, request.encode())


def run_bodiless() -> dict[str, bytes]:
    """Runs a cluster; returns the responses without a body, by their kind."""
    found: dict[str, bytes] = {}

    async def session(cluster):
        for name in BODILESS:
            found[name] = await call_bodiless(cluster, name)

    with platform_steps.allow_slow_connections():
        asyncio.run(platform_cluster.run_session(session))
    return found
