"""Callers and an operator, on raw connections that they keep."""

from __future__ import annotations

import asyncio
import random
import time

import httptools
import orjson
from support import platform_cluster

from soak import engines, judge as judge_module, nodes

LIMIT_S = 4.0
PAUSE_S = 0.03
PATHS = {"stream": "/drafts/", "once": "/alerts/", "again": "/notices/"}


class _Answer:
    """Reads one answer."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.status = 0
        self.is_whole = False

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode().lower()] = value.decode()

    def on_headers_complete(self) -> None:
        self.status = self.parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.is_whole = True


class Caller:
    """Sends one request after another; keeps its connection while it can."""

    def __init__(
        self,
        name: str,
        gateways: list[nodes.Node],
        judge: judge_module.Judge,
        rng: random.Random,
    ) -> None:
        """Makes a caller."""
        self._name = name
        self._gateways = gateways
        self._judge = judge
        self._rng = rng
        self._count = 0
        self._kept: tuple[nodes.Node, int, asyncio.StreamReader] | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        """Calls until it is cancelled."""
        while True:
            await self.call()
            await asyncio.sleep(self._rng.expovariate(1.0 / PAUSE_S))

    async def call(self) -> judge_module.Outcome:
        """Sends a request and returns what came of it."""
        self._count += 1
        kind = self._rng.choice(("stream", "once", "again"))
        outcome = judge_module.Outcome(
            f"{self._name}-{self._count}", kind, "", time.monotonic()
        )
        answer = _Answer()
        try:
            async with asyncio.timeout(LIMIT_S):
                await self._exchange(outcome, answer)
        except (OSError, TimeoutError, httptools.HttpParserError) as error:
            self._drop()
            if isinstance(error, httptools.HttpParserError):
                self._judge.complain(
                    "an answer in the protocol", f"{outcome.attempt}: {error}"
                )
        outcome.status = answer.status
        outcome.is_whole = answer.is_whole
        outcome.body = bytes(answer.body)
        outcome.seal = answer.headers.get("server-seal", "")
        outcome.ended_at = time.monotonic()
        echo = answer.headers.get("attempt-id")
        if echo not in (None, outcome.attempt):
            self._judge.complain("own answer", f"{outcome.attempt} got {echo}")
        self._judge.take(outcome)
        return outcome

    async def _exchange(
        self, outcome: judge_module.Outcome, answer: _Answer
    ) -> None:
        node, life, reader = await self._connect()
        outcome.gateway = f"{node.name}#{life}"
        outcome.sent_at = time.monotonic()
        fields = {
            "Host": "host.example",
            "Attempt-Id": outcome.attempt,
            "Time-Budget": str(int(LIMIT_S * 1000)),
            "Authorization": "Token key-1",
            "Content-Length": "0",
        }
        if outcome.kind == "stream":
            fields |= {"Model": engines.MODEL, "Token-Count": "50,60"}
        path = PATHS[outcome.kind] + outcome.attempt
        head = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
        assert self._writer is not None
        self._writer.write(f"POST {path} HTTP/1.1\r\n{head}\r\n".encode())
        while not answer.is_whole:
            data = await reader.read(65536)
            if not data:
                self._drop()
                return
            answer.parser.feed_data(data)
        closes = answer.headers.get("connection", "").lower() == "close"
        if closes or self._rng.random() < 0.2:
            self._drop()

    async def _connect(
        self,
    ) -> tuple[nodes.Node, int, asyncio.StreamReader]:
        if self._kept is None:
            node = self._rng.choice(self._gateways)
            life = node.life
            reader, self._writer = await asyncio.open_connection(
                node.ip, nodes.CALLER_PORT
            )
            self._kept = (node, life, reader)
        return self._kept

    def _drop(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._kept = self._writer = None


class Operator:
    """Changes the configuration, again and again until it is acknowledged."""

    def __init__(
        self,
        coordinators: list[nodes.Node],
        judge: judge_module.Judge,
        rng: random.Random,
    ) -> None:
        """Makes an operator that has changed nothing."""
        self._coordinators = coordinators
        self._judge = judge
        self._rng = rng
        self.version = 0

    async def change(self, *, racing: bool = False) -> None:
        """Sends a new version, or two with one number at once."""
        self.version += self._rng.randint(1, 3)
        labels = ("a", "b") if racing else ("a",)
        await asyncio.gather(*(self._send(self.version, x) for x in labels))

    async def _send(self, version: int, label: str) -> None:
        body = orjson.dumps(make_configuration(version, label))
        ends = time.monotonic() + 20.0
        while time.monotonic() < ends:
            status, _ = await self._ask("POST", "/config/replace", body)
            if status == 200:
                self._judge.note_acknowledged(version)
                return
            if status in (400, 409, 412, 413, 422):
                self._judge.complain("a change is taken", f"{status}")
                return
            await asyncio.sleep(0.2)

    async def read(self) -> int:
        """Reads the newest version; 0 if nobody could tell it."""
        floor = self._judge.acknowledged
        status, body = await self._ask("GET", "/config/read", b"")
        if status != 200:
            return 0
        found = orjson.loads(body)
        workspace = found["Tenants"][0]["Name"]
        self._judge.check_read(floor, workspace, found["Version"])
        return found["Version"]

    async def run(self) -> None:
        """Reads until it is cancelled."""
        while True:
            await self.read()
            await asyncio.sleep(0.3)

    async def _ask(
        self, method: str, path: str, body: bytes
    ) -> tuple[int, bytes]:
        node = self._rng.choice(self._coordinators)
        answer = _Answer()
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    node.ip, nodes.CONTROL_PORT
                )
                try:
                    writer.write(
                        f"{method} {path} HTTP/1.1\r\nHost: x\r\n"
                        f"Content-Length: {len(body)}\r\n\r\n".encode()
                        + body
                    )
                    while not answer.is_whole:
                        data = await reader.read(65536)
                        if not data:
                            return 0, b""
                        answer.parser.feed_data(data)
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            # No clear answer: it is asked again, anywhere.
            return 0, b""
        return answer.status, bytes(answer.body)


def make_configuration(version: int, label: str) -> dict:
    """Returns a configuration whose workspace tells its version."""
    found = platform_cluster.make_configuration(version)
    found["Routes"].append(
        {
            **found["Routes"][1],
            "Name": "notices",
            "PathPrefix": "/notices/",
            "Kind": "idempotent",
        }
    )
    found["Tenants"] = [
        {"Name": f"crew-{version}-{label}", "ApiKeys": ["key-1"]}
    ]
    return found
