"""Callers, which reuse raw connections, and an operator."""

from __future__ import annotations

import asyncio
import random
import time

import httptools
import orjson
from support import platform_cluster

from soak import checker as checker_module, engines, nodes, stop_checker

REQUEST_TIMEOUT_S = 4.0
# Timeouts of the routes, in seconds.
TIMEOUTS_S = {"stream": 4.0, "once": 1.0, "again": 1.0}
MEAN_GAP_S = 0.03
PATHS = {"stream": "/drafts/", "once": "/alerts/", "again": "/notices/"}


class _Response:
    """Collects one response from the parser's callbacks."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.status = 0
        self.is_complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode().lower()] = value.decode()

    def on_headers_complete(self) -> None:
        self.status = self.parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.is_complete = True


def make_head(
    outcome: checker_module.Outcome,
    part: str,
    budget_s: float,
    *,
    is_chunked: bool = False,
) -> bytes:
    """Returns the head of a request.

    Args:
        outcome: The request.
        part: Part of its prompt that it shares; empty for one by its length.
        budget_s: Its time limit, in seconds.
        is_chunked: Whether a body follows, in chunks.
    """
    fields = {
        "Host": "host.example",
        "Attempt-Id": outcome.attempt,
        "Time-Budget": str(int(budget_s * 1000)),
        "Authorization": "Token key-1",
    }
    if is_chunked:
        fields["Transfer-Encoding"] = "chunked"
    else:
        fields["Content-Length"] = "0"
    path = PATHS[outcome.kind] + outcome.attempt
    if outcome.kind == "stream":
        subject = part or f"{len(outcome.attempt):x}"
        own = f"{hash(outcome.attempt) & 0xFFFFFF:x}"
        fields |= {
            "Model": engines.MODEL,
            "Token-Count": "50,60",
            "Prompt-Prefix": f"1:20,{subject}:20,{own}:10",
        }
        if outcome.shape != checker_module.StreamShape():
            path += outcome.shape.encode()
    head = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
    return f"POST {path} HTTP/1.1\r\n{head}\r\n".encode()


class Caller:
    """Sends requests one after another over a connection that it reuses."""

    def __init__(
        self,
        name: str,
        gateways: list[nodes.Node],
        checker: checker_module.Checker,
        rng: random.Random,
    ) -> None:
        """Makes a caller without a connection."""
        self._name = name
        self._gateways = gateways
        self._checker = checker
        self._rng = rng
        self._count = 0
        # Part of all prompts of its streams.
        self.part = ""
        self._connection: (
            tuple[nodes.Node, int, asyncio.StreamReader] | None
        ) = None
        self._writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        """Sends requests until it is cancelled."""
        while True:
            await self.call()
            await asyncio.sleep(self._rng.expovariate(1.0 / MEAN_GAP_S))

    async def call(self) -> checker_module.Outcome:
        """Sends a request and returns its outcome."""
        self._count += 1
        kind = self._rng.choice(("stream", "once", "again"))
        if self.part:
            kind = "stream"
        outcome = stop_checker.SentRequest(
            f"{self._name}-{self._count}",
            kind,
            "",
            time.monotonic(),
            limit_s=min(REQUEST_TIMEOUT_S, TIMEOUTS_S[kind]),
            end="closed",
        )
        response = _Response()
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                await self._send_request(outcome, response)
        except (OSError, TimeoutError, httptools.HttpParserError) as error:
            self._close_connection()
            outcome.end = type(error).__name__
            if isinstance(error, httptools.HttpParserError):
                self._checker.report_violation(
                    "valid HTTP response", f"{outcome.attempt}: {error}"
                )
        outcome.status = response.status
        outcome.is_complete = response.is_complete
        outcome.body = bytes(response.body)
        outcome.signature = response.headers.get("server-seal", "")
        outcome.ended_at = time.monotonic()
        if outcome.is_answered:
            outcome.end = "answered"
        echoed_attempt = response.headers.get("attempt-id")
        if echoed_attempt not in (None, outcome.attempt):
            self._checker.report_violation(
                "response belongs to request",
                f"{outcome.attempt} got {echoed_attempt}",
            )
        self._checker.record_outcome(outcome)
        return outcome

    async def _send_request(
        self, outcome: stop_checker.SentRequest, response: _Response
    ) -> None:
        node, start_count, reader = await self._connect()
        outcome.gateway = f"{node.name}#{start_count}"
        outcome.began_at = outcome.sent_at = time.monotonic()
        outcome.is_whole = True
        assert self._writer is not None
        self._writer.write(make_head(outcome, self.part, REQUEST_TIMEOUT_S))
        while not response.is_complete:
            data = await reader.read(65536)
            if not data:
                self._close_connection()
                return
            response.parser.feed_data(data)
        closes = response.headers.get("connection", "").lower() == "close"
        if closes or self._rng.random() < 0.2:
            self._close_connection()

    async def _connect(
        self,
    ) -> tuple[nodes.Node, int, asyncio.StreamReader]:
        if self._connection is None:
            node = self._rng.choice(self._gateways)
            start_count = node.start_count
            reader, self._writer = await asyncio.open_connection(
                node.ip, nodes.CALLER_PORT
            )
            self._connection = (node, start_count, reader)
        return self._connection

    def _close_connection(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._connection = self._writer = None


# Rate at which an operator allows large configurations to be answered, in
# bytes/s, beside the second that it waits for any response.
LARGE_BYTES_PER_S = 1_000_000


class Operator:
    """Changes the configuration, retrying until the change is acknowledged."""

    def __init__(
        self,
        coordinators: list[nodes.Node],
        checker: checker_module.Checker,
        rng: random.Random,
        timeout_ms: int | None = None,
    ) -> None:
        """Makes an operator that has not yet changed the configuration.

        Args:
            coordinators: Where changes are sent.
            checker: Checks what is read.
            rng: Draws the coordinators and the versions.
            timeout_ms: Timeout of all routes, in milliseconds; None for the
                usual ones.
        """
        self._timeout_ms = timeout_ms
        self._coordinators = coordinators
        self._checker = checker
        self._rng = rng
        self.version = 0

    async def change(self, *, racing: bool = False) -> None:
        """Submits a new version, or two at once under the same number."""
        self.version += self._rng.randint(1, 3)
        labels = ("a", "b") if racing else ("a",)
        await asyncio.gather(*(self._send(self.version, x) for x in labels))

    async def change_large(self, count: int, keys: int) -> None:
        """Submits several new versions at once, each with many keys."""
        versions = []
        for _ in range(count):
            self.version += self._rng.randint(1, 3)
            versions.append(self.version)
        await asyncio.gather(*(self._send(v, "a", keys) for v in versions))

    async def _send(self, version: int, label: str, keys: int = 0) -> None:
        body = orjson.dumps(
            make_configuration(version, label, keys, self._timeout_ms)
        )
        deadline = time.monotonic() + 20.0
        while time.monotonic() < deadline:
            status, _ = await self._request("POST", "/config/replace", body)
            if status == 200:
                self._checker.record_acknowledged(version)
                return
            if status in (400, 409, 412, 413, 422):
                self._checker.report_violation("change accepted", f"{status}")
                return
            await asyncio.sleep(0.2)

    async def read(self) -> int:
        """Returns the newest version; 0 if no coordinator returned it."""
        min_version = self._checker.acknowledged
        status, body = await self._request("GET", "/config/read", b"")
        if status != 200:
            return 0
        found = orjson.loads(body)
        workspace = found["Tenants"][0]["Name"]
        self._checker.check_read(min_version, workspace, found["Version"])
        return found["Version"]

    async def run(self) -> None:
        """Reads the configuration until it is cancelled."""
        while True:
            await self.read()
            await asyncio.sleep(0.3)

    async def _request(
        self, method: str, path: str, body: bytes
    ) -> tuple[int, bytes]:
        node = self._rng.choice(self._coordinators)
        response = _Response()
        try:
            async with asyncio.timeout(1.0 + len(body) / LARGE_BYTES_PER_S):
                reader, writer = await asyncio.open_connection(
                    node.ip, nodes.CONTROL_PORT
                )
                try:
                    writer.write(
                        f"{method} {path} HTTP/1.1\r\nHost: x\r\n"
                        f"Content-Length: {len(body)}\r\n\r\n".encode()
                        + body
                    )
                    while not response.is_complete:
                        data = await reader.read(65536)
                        if not data:
                            return 0, b""
                        response.parser.feed_data(data)
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            # The result is unknown: the caller retries at any coordinator.
            return 0, b""
        return response.status, bytes(response.body)


def make_configuration(
    version: int, label: str, keys: int = 0, timeout_ms: int | None = None
) -> dict:
    """Returns a configuration whose workspace name holds its version.

    Args:
        version: The version.
        label: Tells configurations with the same version apart.
        keys: Number of random keys beside the one that callers use.
        timeout_ms: Timeout of all routes, in milliseconds; None for the usual
            ones.
    """
    rng = random.Random(f"{version} {label}")
    found = platform_cluster.make_configuration(version)
    found["Routes"].append(
        {
            **found["Routes"][1],
            "Name": "notices",
            "PathPrefix": "/notices/",
            "Kind": "idempotent",
        }
    )
    if timeout_ms is not None:
        for route in found["Routes"]:
            route["TimeoutMs"] = timeout_ms
    more_keys = [rng.randbytes(10).hex() for _ in range(keys)]
    found["Tenants"] = [
        {"Name": f"crew-{version}-{label}", "ApiKeys": ["key-1", *more_keys]}
    ]
    return found
