"""Callers of gateways that are stopped as planned, behind a balancer."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import random
import socket
import time

import httptools

from hickorylead_standins import platform
from soak import (
    callers,
    checker as checker_module,
    nodes,
    stop_checker,
)

# Time limit of each request, which is also the timeout of all routes.
LIMIT_S = 8.0
# How much longer callers wait, in seconds: it is not they who end a request.
PATIENCE_S = 1.0
PROBE_PERIOD_S = 1.0
PROBE_TIMEOUT_S = 0.5
MAX_FAILED_PROBES = 2
EVENT_INTERVAL_S = 0.05
STREAM_S = (0.25, 5.0)
# Streams of callers that keep their connections: the first may run at SIGTERM,
# and the second has too little time left.
LONG_STREAM_S = (3.5, 5.0)
BODY_S = (0.1, 1.5)
BODY_PIECES = 10
HALF_HEAD_S = (0.1, 1.5)
LATE_READ_S = (0.2, 2.0)
LATE_RECEIVE_BYTES = 16384
LATE_PADDING = 1500
MAX_RETRY_DELAY_S = 1.0
LATE_READ_POLL_S = 0.02
RECEIVE_BYTES = 65536
# Ends after which a caller sends a request again, at another gateway.
RETRIED_ENDS = frozenset({"refused", "closed", "reset"})
# What a caller does beside sending requests, and how many callers do it.
HABITS = {
    "keeps": 4,
    "keeps long": 5,
    "slow body": 6,
    "new connections": 2,
    "reads late": 3,
    "pipelines": 3,
    "half head": 3,
}


class Balancer:
    """Knows which gateways take new connections, as a balancer does."""

    def __init__(self, gateways: list[nodes.Node], rng: random.Random) -> None:
        """Makes a balancer that takes all gateways for ready."""
        self._gateways = gateways
        self._rng = rng
        self._failures: collections.Counter[str] = collections.Counter()

    async def probe(self) -> None:
        """Probes all gateways until it is cancelled."""
        async with asyncio.TaskGroup() as group:
            for node in self._gateways:
                group.create_task(self._probe_forever(node))

    async def _probe_forever(self, node: nodes.Node) -> None:
        request = b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        while True:
            response = b""
            # A gateway that does not answer is not ready.
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(PROBE_TIMEOUT_S):
                    response = await platform.send_raw(
                        f"{node.ip}:{nodes.READY_PORT}", request
                    )
            if response.startswith(b"HTTP/1.1 200"):
                self._failures[node.name] = 0
            else:
                self._failures[node.name] += 1
            await asyncio.sleep(PROBE_PERIOD_S)

    def choose(self, avoided: str = "") -> nodes.Node:
        """Returns a gateway for a new connection.

        Args:
            avoided: Name of a gateway that is chosen only without another one.
        """
        ready = [
            node
            for node in self._gateways
            if self._failures[node.name] < MAX_FAILED_PROBES
        ]
        others = [node for node in ready if node.name != avoided]
        return self._rng.choice(others or ready or self._gateways)


class Responses:
    """Decodes the responses on one connection."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.found: list[callers._Response] = []

    def on_message_begin(self) -> None:
        self.found.append(callers._Response())
        self.found[-1].parser = self.parser

    def on_header(self, name: bytes, value: bytes) -> None:
        self.found[-1].on_header(name, value)

    def on_headers_complete(self) -> None:
        self.found[-1].on_headers_complete()

    def on_body(self, data: bytes) -> None:
        self.found[-1].on_body(data)

    def on_message_complete(self) -> None:
        self.found[-1].on_message_complete()


class Connection:
    """A caller's connection to one process of a gateway."""

    def __init__(self, node: nodes.Node, raw: socket.socket) -> None:
        """Makes a connection out of a connected socket."""
        self.node = node
        self.gateway = f"{node.name}#{node.start_count}"
        self._raw = raw

    @classmethod
    async def open(
        cls, balancer: Balancer, avoided: str, receive_bytes: int
    ) -> Connection:
        """Opens a connection to a gateway that accepts one."""
        while True:
            node = balancer.choose(avoided)
            raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            if receive_bytes:
                raw.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
                )
            raw.setblocking(False)
            try:
                await asyncio.get_running_loop().sock_connect(
                    raw, (node.ip, nodes.CALLER_PORT)
                )
            except OSError:
                # It does not run: another one may.
                raw.close()
                await asyncio.sleep(0.02)
                continue
            return cls(node, raw)

    async def send(self, data: bytes) -> None:
        """Sends bytes."""
        await asyncio.get_running_loop().sock_sendall(self._raw, data)

    async def receive(self, count: int) -> bytes:
        """Receives bytes; returns none at the end of the connection."""
        return await asyncio.get_running_loop().sock_recv(self._raw, count)

    def has_ended(self) -> bool:
        """Returns whether the gateway has closed the connection."""
        try:
            return not self._raw.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def close(self) -> None:
        """Closes the connection."""
        self._raw.close()


class StopCaller:
    """Sends each request at once after the previous one."""

    def __init__(
        self,
        name: str,
        habit: str,
        balancer: Balancer,
        checker: checker_module.Checker,
        rng: random.Random,
    ) -> None:
        """Makes a caller without a connection."""
        self._name = name
        self._habit = habit
        self._balancer = balancer
        self._checker = checker
        self._rng = rng
        self._count = 0
        self._connection: Connection | None = None
        self.is_ending = False
        # When each request was first sent, and whether it was served.
        self.served: list[tuple[float, bool]] = []

    async def run(self) -> None:
        """Sends requests until the run ends."""
        while not self.is_ending:
            first_at = time.monotonic()
            sent = await self._exchange(1 + (self._habit == "pipelines"), "")
            for request in sent:
                is_served = request.is_answered and request.status == 200
                if not is_served and request.end in RETRIED_ENDS:
                    delay_s = min(MAX_RETRY_DELAY_S, request.retry_after_s)
                    await asyncio.sleep(delay_s)
                    [again] = await self._exchange(
                        1, request.gateway.partition("#")[0]
                    )
                    is_served = again.is_answered and again.status == 200
                self.served.append((first_at, is_served))
        self._close()

    def _make_request(self) -> stop_checker.SentRequest:
        self._count += 1
        shortest_s, longest_s = (
            LONG_STREAM_S if self._habit == "keeps long" else STREAM_S
        )
        if self._habit == "pipelines":
            longest_s /= 2
        duration_s = self._rng.uniform(shortest_s, longest_s)
        shape = checker_module.StreamShape(
            round(duration_s / EVENT_INTERVAL_S),
            EVENT_INTERVAL_S,
            LATE_PADDING if self._habit == "reads late" else 0,
        )
        kinds: tuple[checker_module.Kind, ...] = ("stream",)
        if self._habit in ("slow body", "half head", "pipelines"):
            kinds = ("stream", "once", "again")
        return stop_checker.SentRequest(
            f"{self._name}-{self._count}",
            self._rng.choice(kinds),
            "",
            time.monotonic(),
            shape=shape,
            began_at=time.monotonic(),
            limit_s=LIMIT_S,
        )

    async def _exchange(
        self, count: int, avoided: str
    ) -> list[stop_checker.SentRequest]:
        """Sends requests on one connection and returns what became of them.

        Args:
            count: Number of requests that are sent at once.
            avoided: Name of a gateway that must not be used if possible.
        """
        if avoided or self._habit == "new connections":
            self._close()
        if self._connection is None or self._connection.has_ended():
            self._close()
            self._connection = await Connection.open(
                self._balancer,
                avoided,
                LATE_RECEIVE_BYTES if self._habit == "reads late" else 0,
            )
        connection = self._connection
        sent = [self._make_request() for _ in range(count)]
        for request, before in zip(sent, [None, *sent], strict=False):
            request.gateway = connection.gateway
            request.behind = before.attempt if before else ""
        responses = Responses()
        writing = asyncio.ensure_future(self._write(connection, sent))
        end = "closed"
        try:
            async with asyncio.timeout(count * LIMIT_S + PATIENCE_S):
                await self._receive(connection, sent, responses)
        except TimeoutError:
            end = "caller gave up"
        except OSError:
            end = "reset"
        except httptools.HttpParserError as error:
            end = "malformed"
            self._checker.report_violation(
                "valid HTTP response", f"{sent[0].attempt}: {error}"
            )
        writing.cancel()
        await asyncio.wait([writing])
        for index, request in enumerate(sent):
            found = responses.found[index : index + 1]
            self._record(request, found[0] if found else None, end)
        if not all(r.is_answered and r.keeps_connection for r in sent):
            self._close()
        return sent

    async def _write(
        self, connection: Connection, sent: list[stop_checker.SentRequest]
    ) -> None:
        has_body = self._habit == "slow body"
        heads = [
            callers.make_head(request, "", LIMIT_S, is_chunked=has_body)
            for request in sent
        ]
        # A connection that has been closed is noticed by the reader.
        with contextlib.suppress(OSError):
            if self._habit == "half head":
                half = len(heads[0]) // 2
                await connection.send(heads[0][:half])
                await asyncio.sleep(self._rng.uniform(*HALF_HEAD_S))
                await connection.send(heads[0][half:])
            else:
                await connection.send(b"".join(heads))
            if has_body:
                pause_s = self._rng.uniform(*BODY_S) / BODY_PIECES
                for _ in range(BODY_PIECES):
                    await connection.send(b"4\r\ntree\r\n")
                    await asyncio.sleep(pause_s)
                await connection.send(b"0\r\n\r\n")
            for request in sent:
                request.sent_at = time.monotonic()
                request.is_whole = True

    async def _receive(
        self,
        connection: Connection,
        sent: list[stop_checker.SentRequest],
        responses: Responses,
    ) -> None:
        if self._habit == "reads late":
            until = time.monotonic() + self._rng.uniform(*LATE_READ_S)
            while time.monotonic() < until and not connection.has_ended():
                await asyncio.sleep(LATE_READ_POLL_S)
        while True:
            for index, response in enumerate(responses.found):
                if response.is_complete and not sent[index].ended_at:
                    sent[index].ended_at = time.monotonic()
            if sent[-1].ended_at:
                return
            data = await connection.receive(RECEIVE_BYTES)
            if not data:
                return
            responses.parser.feed_data(data)
            if len(responses.found) > len(sent):
                self._checker.report_violation(
                    "response belongs to request",
                    f"{sent[-1].attempt}: one response too many",
                )
                return

    def _record(
        self,
        request: stop_checker.SentRequest,
        response: callers._Response | None,
        end: str,
    ) -> None:
        request.ended_at = request.ended_at or time.monotonic()
        if response is not None:
            headers = response.headers
            request.status = response.status
            request.is_complete = response.is_complete
            request.body = bytes(response.body)
            request.signature = headers.get("server-seal", "")
            request.retry_after_s = float(headers.get("retry-after", "0"))
            request.keeps_connection = headers.get("connection") != "close"
            if headers.get("attempt-id", request.attempt) != request.attempt:
                self._checker.report_violation(
                    "response belongs to request",
                    f"{request.attempt} got {headers['attempt-id']}",
                )
        request.end = end
        if request.is_answered:
            is_refused = request.status in checker_module.NOT_EXECUTED_STATUSES
            request.end = "refused" if is_refused else "answered"
        elif request.status:
            request.end = f"cut, {end}"
        self._checker.record_outcome(request)

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None
