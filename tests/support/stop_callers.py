"""Callers of a simulated gateway, who send requests by plans."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import attrs
import httptools

from support import simulated_network

CALLER_ADDRESS = ("10.0.0.1", 80)
ROUTES = ("drafts", "drafts", "alerts", "notices", "far")
# Route of requests that another gateway relays through the gateway.
RELAYED = "relayed"
# Time until a caller that was refused sends again, in seconds.
RETRY_S = 0.15
# Longest time that a caller waits for anything, in seconds.
PATIENCE_S = 1000.0


@attrs.frozen
class Plan:
    """What a caller sends, and what its replica does.

    Attributes:
        attempt_id: The caller's id of the request.
        route: Name of the route, the first part of the path.
        head_pause_s: Time between the halves of its head.
        pieces: Pieces of the body; 0 for no body.
        piece_gap_s: Time before each piece.
        is_chunked: Whether the body has no length.
        budget_s: Time that the caller allows; None if it does not say.
        run_s: How long the replica takes.
        failure: What the first attempt ends with: nothing, `refused` or
            `reset`.
        size: Bytes of the response.
        stall_s: How long the caller stops reading within the response.
        stall_share: Share of the response after which it does.
        gap_s: Time until the next request on the connection; below 0 if the
            next request is sent before the response.
    """

    attempt_id: str
    route: str
    head_pause_s: float
    pieces: int
    piece_gap_s: float
    is_chunked: bool
    budget_s: float | None
    run_s: float
    failure: str
    size: int
    stall_s: float
    stall_share: float
    gap_s: float

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream."""
        return self.route in ("drafts", "far", RELAYED)

    def encode(self) -> list[tuple[float, bytes]]:
        """Returns what is sent, each part with the time before it."""
        fields = [b"Host: host", b"Attempt-Id: " + self.attempt_id.encode()]
        if self.budget_s is not None:
            fields.append(b"Time-Budget: %d" % int(self.budget_s * 1000))
        if self.is_chunked:
            fields.append(b"Transfer-Encoding: chunked")
        else:
            fields.append(b"Content-Length: %d" % (4 * self.pieces))
        line = f"POST /{self.route}/x HTTP/1.1\r\n".encode()
        head = line + b"\r\n".join(fields) + b"\r\n\r\n"
        parts = [(0.0, head[:40]), (self.head_pause_s, head[40:])]
        piece = b"4\r\ntree\r\n" if self.is_chunked else b"tree"
        parts += [(self.piece_gap_s, piece)] * self.pieces
        if self.is_chunked:
            parts.append((0.0, b"0\r\n\r\n"))
        return parts


@attrs.define
class Seen:
    """What became of a request, as its caller saw it.

    Attributes:
        plan: What was planned.
        connection: The connection on which it was sent.
        began_at: When its first byte was sent.
        end_offset: Number of bytes sent on the connection with its last one;
            0 while it is not sent whole.
        status: Status of the response; 0 without one.
        headers: Headers of the response.
        first_at: When the head of the response arrived; 0 if none has.
        size: Bytes of its body.
        is_complete: Whether the response ended as complete.
        ended_at: When the response or the connection ended.
    """

    plan: Plan
    connection: CallerConnection
    began_at: float
    end_offset: int = 0
    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    first_at: float = 0.0
    size: int = 0
    is_complete: bool = False
    ended_at: float = 0.0

    @property
    def read_at(self) -> float:
        """When the gateway had read all of it; 0 if it has not."""
        return self.connection.find_read(self.end_offset)


class CallerConnection(asyncio.Protocol):
    """A caller's connection, with the responses to its requests in order."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpResponseParser(self)
        self.transport: Any = None
        self.sent_bytes = 0
        self.is_open = True
        self.is_reset = False
        # How long it has stopped reading or will.
        self.stalled_s = 0.0
        self.seen: list[Seen] = []
        self._answered = 0
        self._event = asyncio.Event()

    def find_read(self, offset: int) -> float:
        """Returns when the gateway had read so many bytes; 0 if it has not."""
        if offset:
            for total, at in self.transport.other.reads:
                if total >= offset:
                    return at
        return 0.0

    def write(self, data: bytes) -> None:
        """Sends bytes."""
        self.sent_bytes += len(data)
        self.transport.write(data)

    async def wait(self, seen: Seen) -> None:
        """Waits until a request has ended."""
        async with asyncio.timeout(PATIENCE_S):
            while not seen.ended_at:
                self._event.clear()
                await self._event.wait()

    def connection_made(self, transport: Any) -> None:
        """Records the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parses responses."""
        self._parser.feed_data(data)

    def eof_received(self) -> bool:
        """Closes the connection."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the requests without a response."""
        self.is_open = False
        self.is_reset = exc is not None
        for seen in self.seen[self._answered :]:
            seen.ended_at = self._loop.time()
        self._event.set()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Records a header."""
        headers = self.seen[self._answered].headers
        headers[name.decode().lower()] = value.decode()

    def on_headers_complete(self) -> None:
        """Records the status."""
        self.seen[self._answered].first_at = self._loop.time()
        self.seen[self._answered].status = self._parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        """Counts the body; stops reading for a while."""
        seen = self.seen[self._answered]
        plan, before = seen.plan, seen.size
        seen.size += len(data)
        if plan.stall_s and before <= plan.stall_share * plan.size < seen.size:
            self.stalled_s += plan.stall_s
            self.transport.pause_reading()
            self._loop.call_later(plan.stall_s, self.transport.resume_reading)

    def on_message_complete(self) -> None:
        """Ends a response."""
        seen = self.seen[self._answered]
        seen.is_complete = True
        seen.ended_at = self._loop.time()
        self._answered += 1
        self._event.set()
        if seen.headers.get("connection") == "close":
            self.is_open = False
            self.transport.close()


async def send(
    loop: simulated_network.Loop, plans: list[Plan], seen: list[Seen]
) -> None:
    """Sends requests one after another, on as few connections as possible."""
    connection: CallerConnection | None = None
    for plan in plans:
        if connection is None or not connection.is_open:
            try:
                _, connection = await loop.create_connection(
                    CallerConnection, *CALLER_ADDRESS
                )
            except OSError:
                # The gateway listens no more.
                return
        item = Seen(plan, connection, loop.time())
        connection.seen.append(item)
        seen.append(item)
        for pause_s, part in plan.encode():
            if pause_s:
                await asyncio.sleep(pause_s)
            if not connection.is_open:
                break
            connection.write(part)
        else:
            item.end_offset = connection.sent_bytes
        if plan.gap_s < 0 and connection.is_open:
            continue
        await connection.wait(item)
        gap_s = RETRY_S if item.status == 503 else plan.gap_s
        if gap_s > 0:
            await asyncio.sleep(gap_s)
    if connection is not None and connection.seen:
        await connection.wait(connection.seen[-1])
        connection.transport.close()


def draw_plans(
    rng: random.Random, caller: str, count: int, span_s: float
) -> list[Plan]:
    """Returns the plans of one caller, most of which are alike.

    Args:
        rng: Source of the choices.
        caller: Name of the caller.
        count: Largest number of requests.
        span_s: Time that the longest parts take, in seconds.
    """
    route = caller if caller == RELAYED else rng.choice(ROUTES)
    is_slow_head = rng.random() < 0.15
    pieces = rng.choice((0, 0, 0, 1, 3, 8))
    body_s = rng.choice((0.05, 0.3, 1.5)) * rng.random()
    run_s = rng.choice((0.05, 0.3, span_s / 2, span_s)) * rng.uniform(0.3, 1)
    budget_s = rng.choice((None, None, span_s, 2 * span_s))
    size = rng.choice((200, 200, 20_000, 400_000))
    stall_s = rng.choice((0, 0, 0, 0.5, 2.0)) * rng.random()
    stall_share = rng.choice((0.0, 0.5, 0.8, 0.95))
    gap_s = rng.choice((0.0, 0.0, 0.05, 0.6, -1.0))
    failure_share = rng.choice((0, 0, 0.5))
    plans = []
    for number in range(count):
        failure = ""
        if rng.random() < failure_share:
            failure = rng.choice(("refused", "refused", "reset"))
        plans.append(
            Plan(
                f"{caller}-{number}",
                route,
                rng.uniform(0, 1.5) if is_slow_head else 0.0,
                pieces,
                body_s / max(1, pieces),
                rng.random() < 0.5,
                budget_s,
                run_s * rng.uniform(0.8, 1.0),
                failure,
                size,
                stall_s,
                stall_share,
                gap_s if rng.random() < 0.9 else 0.3 * rng.random(),
            )
        )
    return plans
