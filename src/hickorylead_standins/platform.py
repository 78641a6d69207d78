"""A stand-in for a backend server of the users' platform, on real sockets.

It uses the platform's published calls: it sends heartbeats to a coordinator,
accepts orders, and responds to requests as the test specifies. Like a real
server, it refuses a request that names another server's id, and every request
while it is a member of a group without being its head.
"""

from __future__ import annotations

import asyncio
from typing import Any

import attrs
import httptools
import orjson

JOIN_S = 0.05
FORM_S = 0.05


@attrs.define
class Received:
    """One request that reached the server."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class _Reader:
    """Reads requests from a connection."""

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.completed: list[Received] = []
        self._target = b""
        self._headers: dict[str, str] = {}
        self._body = b""

    def on_message_begin(self) -> None:
        self._target, self._headers, self._body = b"", {}, b""

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode().lower()] = value.decode()

    def on_body(self, data: bytes) -> None:
        self._body += data

    def on_message_complete(self) -> None:
        self.completed.append(
            Received(
                self.parser.get_method().decode(),
                self._target.decode(),
                self._headers,
                self._body,
            )
        )


@attrs.define
class Manner:
    """How the server responds to requests.

    Attributes:
        events: Number of events of a streaming response; 0 for a plain one.
        event_interval_s: Time from one of these events to the next, in seconds.
        cut_after: Event in the middle of which it resets the connection; 0 if
            none.
        sheds: Whether it refuses requests as not executed.
        extra: Bytes that it sends after each complete response.
        limit_per_s: Rate limit that it reports, in requests a second; None if
            it reports none.
        retry_after_s: Pause that it requests when it sheds; None if it
            requests none.
        is_leaving: Whether all its responses say that it is leaving.
        endless: Bytes that it sends without end, behind a head without a
            length; empty for a response that ends.
    """

    events: int = 0
    event_interval_s: float = 0.005
    cut_after: int = 0
    sheds: bool = False
    extra: bytes = b""
    limit_per_s: float | None = None
    retry_after_s: float | None = None
    is_leaving: bool = False
    endless: bytes = b""


class PlatformServer:
    """A stand-in for a backend server of the platform."""

    def __init__(
        self,
        name: str,
        *,
        service: str,
        address: str,
        zone: str,
        controls: list[str],
        domain: str = "",
    ) -> None:
        """Creates a server; `start` opens its port.

        Args:
            name: Id of its incarnation.
            service: Service that it belongs to.
            address: `ip:port`.
            zone: Its zone.
            controls: Addresses of coordinators.
            domain: Its fabric domain; empty for a plain service.
        """
        self.name = name
        self.manner = Manner()
        # Responses without end that are being sent.
        self.endless_count = 0
        self.received: list[Received] = []
        self.state = "ready"
        self._service = service
        self._address = address
        self._zone = zone
        self._controls = controls
        self._domain = domain
        self._heartbeat_count = 0
        self._order_count = 0
        self._group: dict[str, Any] = {}
        self._model = ""
        self._staged: list[str] = []
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Opens the port and starts to send heartbeats."""
        ip, _, port = self._address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, ip, int(port))
        self._spawn(self._send_heartbeats())

    def stop(self) -> None:
        """Stops without deregistering."""
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_heartbeats(self) -> None:
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(0.2)

    async def send_heartbeat(self) -> int:
        """Sends a heartbeat; returns the status of the response."""
        self._heartbeat_count += 1
        body: dict[str, Any] = {
            "Service": self._service,
            "Address": self._address,
            "Zone": self._zone,
            "Version": "v1",
            "Slots": 6,
            "State": self.state,
            "ColdLeftMs": 0,
            "Sequence": self._heartbeat_count,
        }
        if self._domain:
            body["Domain"] = self._domain
            body["Staged"] = self._staged
            body["Models"] = [{"Name": self._model}] if self._model else []
            body["group"] = self._group or None
        return await self._call("heartbeat", body)

    async def deregister(self) -> int:
        """Deregisters the server; returns the status of the response."""
        return await self._call("deregister", {})

    async def _call(self, verb: str, body: dict[str, Any]) -> int:
        for control in self._controls:
            status = await post_json(
                control, f"/instances/{self.name}/{verb}", body
            )
            if status == 200:
                return status
        return 0

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        requests = _Reader()
        self.writers.add(writer)
        try:
            while data := await reader.read(65536):
                requests.parser.feed_data(data)
                while requests.completed:
                    await self._respond(requests.completed.pop(0), writer)
        except (OSError, asyncio.CancelledError):
            # The caller closed the connection, or the test has ended.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _respond(
        self, request: Received, writer: asyncio.StreamWriter
    ) -> None:
        extra_headers = (
            {"Server-Leaving": "1"} if self.manner.is_leaving else {}
        )
        if request.target == "/order":
            status = self._handle_order(orjson.loads(request.body))
            write_response(writer, status, b"", **extra_headers)
            return
        if request.target == "/report":
            report = {"Sequence": self._order_count, "group": self._group}
            write_response(writer, 200, orjson.dumps(report), **extra_headers)
            return
        self.received.append(request)
        expected = request.headers.get("expect-instance", self.name)
        is_member = bool(self._group.get("rank"))
        if expected != self.name or is_member:
            write_response(writer, 421, b"", **extra_headers)
        elif self.manner.sheds:
            if self.manner.retry_after_s is not None:
                extra_headers["Retry-After"] = str(self.manner.retry_after_s)
            write_response(
                writer, 503, b"", **{"Not-Executed": "1"}, **extra_headers
            )
        elif self.manner.endless:
            await self._send_without_end(request, writer)
        elif self.manner.events:
            await self._stream(request, writer)
        else:
            attempt_id = request.headers.get("attempt-id", "")
            body = f"{self.name} got {request.body.decode()}".encode()
            headers = {
                "Attempt-Id": attempt_id,
                "Server-Seal": f"seal.{self.name}",
            }
            headers |= extra_headers
            if self.manner.limit_per_s is not None:
                headers["Server-Limit"] = str(self.manner.limit_per_s)
            write_response(writer, 200, body, **headers)
            writer.write(self.manner.extra)

    async def _send_without_end(
        self, request: Received, writer: asyncio.StreamWriter
    ) -> None:
        attempt_id = request.headers.get("attempt-id", "")
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            + f"Attempt-Id: {attempt_id}\r\n".encode()
            + f"Server-Seal: seal.{self.name}\r\n\r\n".encode()
        )
        self.endless_count += 1
        try:
            while True:
                writer.write(self.manner.endless)
                await writer.drain()
        finally:
            self.endless_count -= 1

    async def _stream(
        self, request: Received, writer: asyncio.StreamWriter
    ) -> None:
        attempt_id = request.headers.get("attempt-id", "")
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n"
            + f"Attempt-Id: {attempt_id}\r\n".encode()
            + f"Server-Seal: seal.{self.name}\r\n".encode()
            + (b"Server-Leaving: 1\r\n" if self.manner.is_leaving else b"")
            + b"\r\n"
        )
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.manner.events + 1):
            event = f"id: {number}\ndata: words {number}\n\n".encode()
            if number == self.manner.cut_after:
                event = event[:8]
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            if number == self.manner.cut_after:
                writer.transport.abort()
                return
            await asyncio.sleep(self.manner.event_interval_s)
        writer.write(b"0\r\n\r\n")

    def _handle_order(self, order: dict[str, Any]) -> int:
        expected = order.get("Expected")
        if expected is not None and expected != self._order_count:
            return 409
        operation = order["Operation"]
        if operation == "Stage":
            self._order_count += 1
            self._staged = [order["Model"]]
            return 202
        if operation == "join":
            self._order_count += 1
            self._model = order["Model"]
            self._staged = [self._model]
            self._group = {
                "Name": order["group"],
                "epoch": order["epoch"],
                "rank": order["Members"].index(self.name),
                "State": "joining",
            }
            self._spawn(self._change_state("ready", JOIN_S))
            return 202
        if (order["group"], order["epoch"]) != (
            self._group.get("Name"),
            self._group.get("epoch"),
        ):
            return 409
        self._order_count += 1
        if operation == "leave":
            self._group, self._model = {}, ""
            self._spawn(self._change_state("", 0.0))
            return 200
        state = "open" if operation == "open" else "ready"
        self._spawn(self._change_state(state, FORM_S))
        return 202

    async def _change_state(self, state: str, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        if state and self._group:
            self._group["State"] = state
        await self.send_heartbeat()


def write_response(
    writer: asyncio.StreamWriter, status: int, body: bytes, **headers: str
) -> None:
    """Writes a complete response."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append("Keep-Alive: timeout=5")
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


async def send_raw(address: str, data: bytes, source_ip: str = "") -> bytes:
    """Sends bytes to an address; returns all bytes received until it closes."""
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(
        ip, int(port), local_addr=(source_ip, 0) if source_ip else None
    )
    try:
        writer.write(data)
        return await reader.read(-1)
    finally:
        writer.close()


async def post_json(
    address: str, path: str, body: Any, source_ip: str = ""
) -> int:
    """Posts a JSON body; returns the status, or 0 without a response."""
    content = body if isinstance(body, bytes) else orjson.dumps(body)
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(content)}"
        "\r\n\r\n"
    )
    try:
        response = await send_raw(address, head.encode() + content, source_ip)
    except OSError:
        # Nothing listens at this address: the caller tries the next one.
        return 0
    return int(response.split(b" ", 2)[1]) if response else 0
