"""Stand-in of one replica, as a process of its own.

    python3 replica_2.py SETTINGS

SETTINGS is a JSON file. The replica registers, sends liveness reports, takes
orders, runs plain requests or streams of events, and appends a JSON line to
its record for each thing that it does. SIGUSR1 makes it leave: it deregisters
first, serves on for `leave_s` seconds and exits.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
import json
import signal
import sys
import time
from typing import Any

REASONS = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    412: "Precondition Failed",
    421: "Misdirected Request",
    503: "Service Unavailable",
}

# Target, headers and body.
Request = tuple[str, dict, bytes]


class Replica:
    """One replica."""

    def __init__(self, settings: dict) -> None:
        """Makes a replica that is not listening yet."""
        self.settings = settings
        self.name = settings["name"]
        self.address = settings["address"]
        self.controls = list(settings["controls"])
        self.control = settings.get("first_control", 0) % len(self.controls)
        self.slots = settings["slots"]
        self.queue = settings.get("queue", 2)
        self.running = 0
        self.waiting = 0
        self.slot_free = asyncio.Condition()
        self.beats = 0
        self.orders = 0
        self.highest_epoch = 0
        self.group: dict = {}
        self.members: list[str] = []
        self.model = ""
        self.last_model = ""
        self.staged: list[str] = []
        self.has_left = False
        self.born = int(time.time() * 1000)
        self.record_file = open(  # noqa: SIM115
            settings["record"], "a", buffering=1
        )
        self.tasks: set[asyncio.Task] = set()
        self.seal = 0

    def record(self, what: str, **fields: Any) -> None:
        """Appends a line to the record."""
        line = {"t": round(time.time(), 4), "replica": self.name, "what": what}
        self.record_file.write(json.dumps({**line, **fields}) + "\n")

    def spawn(self, work: Coroutine) -> None:
        """Starts a task and keeps it."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self) -> None:
        """Serves until it has left or is stopped."""
        ip, _, port = self.address.rpartition(":")
        server = await asyncio.start_server(self.serve, ip, int(port))
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(
            signal.SIGUSR1, lambda: self.spawn(self.leave())
        )
        self.stop = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, self.stop.set)
        self.spawn(self.beat_forever())
        await self.stop.wait()
        server.close()

    # Registration.

    def describe(self) -> dict:
        """Returns what it says of itself in each call."""
        told = {
            "born": self.born,
            "Models": (
                [{"Name": self.model, "Version": 1, "Adapters": []}]
                if self.model
                else []
            ),
        }
        if self.settings.get("domain"):
            told |= {
                "Domain": self.settings["domain"],
                "Staged": self.staged,
                "group": self.group or None,
            }
        return told

    async def beat(self) -> None:
        """Sends one liveness report."""
        if self.has_left:
            return
        self.beats += 1
        body = {
            "Service": self.settings["service"],
            "Address": self.address,
            "Zone": self.settings["zone"],
            "Version": "v1",
            "Slots": self.slots,
            "State": "ready",
            "ColdLeftMs": 0,
            "Stage": "both",
            "Sequence": self.beats,
            **self.describe(),
        }
        await self.call(f"/instances/{self.name}/heartbeat", body)

    async def beat_forever(self) -> None:
        """Sends liveness reports until it leaves."""
        while not self.has_left:
            await self.beat()
            await asyncio.sleep(self.settings["heartbeat_s"])

    async def call(self, path: str, body: dict) -> bool:
        """Calls one node after another until one acknowledges."""
        for _ in range(2 * len(self.controls)):
            control = self.controls[self.control]
            status = await post(control, path, body)
            if 200 <= status < 300:
                return True
            self.control = (self.control + 1) % len(self.controls)
            await asyncio.sleep(0.05)
        return False

    async def leave(self) -> None:
        """Deregisters, serves on for a while, and ends."""
        self.has_left = True
        done = await self.call(
            f"/instances/{self.name}/deregister", {"born": self.born}
        )
        self.record("deregistered", acknowledged=done)
        await asyncio.sleep(self.settings.get("leave_s", 10.0))
        self.record("ends")
        self.stop.set()

    # Requests.

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one channel."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                _, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if line:
                        name, _, value = line.partition(":")
                        headers[name.strip().lower()] = value.strip()
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size) if size else b""
                request = (target, headers, body)
                if not await self.handle(request, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def handle(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers one request; returns whether the channel stays open."""
        target, headers, body = request
        path = target.partition("?")[0]
        if path == "/order":
            status = self.take_order(json.loads(body))
            respond(writer, status, b"{}", self.say_leaving())
            return True
        if path == "/report":
            told = {
                "Stage": "both",
                "Busy": False,
                "Sequence": self.orders,
                "QueueDepth": self.waiting,
                "InFlight": self.running,
                "KvUsed": 0,
                "KvTotal": 700000,
                "Handles": 0,
                **self.describe(),
            }
            respond(writer, 200, json.dumps(told).encode(), self.say_leaving())
            return True
        if path == "/health":
            respond(writer, 200, b"", {"Instance-Id": self.name})
            return True
        attempt = headers.get("attempt-id", "")
        echo = {"Attempt-Id": attempt} if attempt else {}
        echo |= self.say_leaving()
        expected = headers.get("expect-instance", self.name)
        is_closed = bool(self.settings.get("domain")) and not (
            self.group.get("State") == "open" and self.group.get("rank") == 0
        )
        if expected != self.name or is_closed:
            self.record("refuses", attempt=attempt, status=421)
            respond(writer, 421, b"", {**echo, "Not-Executed": "1"})
            return True
        if self.running >= self.slots and self.waiting >= self.queue:
            self.record("refuses", attempt=attempt, status=503)
            respond(writer, 503, b"", {**echo, "Not-Executed": "1"})
            return True
        self.waiting += 1
        # Most replicas drop a request when its channel closes.
        work = asyncio.ensure_future(
            self.execute(attempt, request, echo, writer)
        )
        closed = asyncio.ensure_future(wait_closed(reader))
        try:
            await asyncio.wait(
                [work, closed], return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                # By now the work has begun: it gives back its place.
                await asyncio.sleep(0)
                work.cancel()
                self.record("dropped", attempt=attempt)
                return False
            await work
            return not closed.done()
        finally:
            closed.cancel()

    async def execute(
        self,
        attempt: str,
        request: Request,
        echo: dict,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Runs one request once a slot is free."""
        target, headers, _ = request
        try:
            async with self.slot_free:
                await self.slot_free.wait_for(lambda: self.running < self.slots)
                self.running += 1
        finally:
            self.waiting -= 1
        try:
            self.record(
                "runs",
                attempt=attempt,
                target=target,
                peer=writer.get_extra_info("peername")[0],
                last=int(headers.get("last-event-id", 0)),
            )
            self.seal += 1
            echo["Server-Seal"] = f"{self.name}.{self.seal}"
            every = self.settings.get("error_every", 0)
            if every and self.seal % every == 0:
                respond(writer, 500, b"failed", echo)
                await writer.drain()
            elif self.settings.get("events"):
                await self.stream(headers, echo, writer)
            else:
                await asyncio.sleep(self.settings["work_s"])
                respond(writer, 200, f"{self.name} {attempt}".encode(), echo)
                await writer.drain()
            self.record("completes", attempt=attempt)
        finally:
            self.running -= 1
            async with self.slot_free:
                self.slot_free.notify_all()

    async def stream(
        self, headers: dict, echo: dict, writer: asyncio.StreamWriter
    ) -> None:
        """Sends the events that the caller lacks."""
        fields = {
            **echo,
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(encode_head(200, fields))
        first = int(headers.get("last-event-id", 0)) + 1
        for number in range(first, self.settings["events"] + 1):
            await asyncio.sleep(self.settings["gap_s"])
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def say_leaving(self) -> dict:
        """Returns the field of all answers of a replica that leaves."""
        return {"Server-Leaving": "1"} if self.has_left else {}

    # Orders.

    def take_order(self, order: dict) -> int:
        """Takes an order; returns the status of the answer."""
        status = self.decide_order(order)
        self.record("order", order=order, status=status)
        if status == 202:
            self.orders += 1
        return status

    def decide_order(self, order: dict) -> int:
        """Returns the status of an order, and begins it if it fits."""
        expected = order.get("Expected")
        if expected is not None and expected != self.orders:
            return 409
        operation = order.get("Operation")
        if operation == "Stage":
            self.spawn(self.stage(order["Model"]))
            return 202
        if operation == "join":
            if order["epoch"] < self.highest_epoch:
                return 412
            key = (order["group"], order["epoch"])
            if key == (self.group.get("Name"), self.group.get("epoch")):
                return 200 if order["Members"] == self.members else 412
            self.highest_epoch = order["epoch"]
            self.members = order["Members"]
            self.group = {
                "Name": order["group"],
                "epoch": order["epoch"],
                "rank": self.members.index(self.name),
                "State": "joining",
            }
            self.model = order["Model"]
            wait_s = 0.2
            if self.last_model != self.model:
                wait_s = 0.3 if self.model in self.staged else 1.0
            self.spawn(self.enter("joining", "ready", key, wait_s))
            return 202
        key = (order.get("group"), order.get("epoch"))
        if key != (self.group.get("Name"), self.group.get("epoch")):
            return 409
        state = self.group["State"]
        if operation == "open":
            if state == "open":
                return 200
            if state != "ready" or self.group["rank"]:
                return 409
            self.spawn(self.enter("ready", "open", key, 0.3))
            return 202
        if operation == "close":
            if state != "open":
                return 409
            self.group["State"] = "ready"
            self.spawn(self.beat())
            return 202
        if operation == "leave":
            self.last_model, self.model = self.model, ""
            self.group, self.members = {}, []
            self.spawn(self.beat())
            return 202
        return 400

    async def stage(self, model: str) -> None:
        """Loads a model onto the host."""
        await asyncio.sleep(1.0)
        self.staged = [model]
        await self.beat()

    async def enter(
        self, before: str, after: str, key: tuple, wait_s: float
    ) -> None:
        """Changes the state in the group after a time, if it still fits."""
        await self.beat()
        await asyncio.sleep(wait_s)
        now = (self.group.get("Name"), self.group.get("epoch"))
        if now != key or self.group["State"] != before:
            return
        self.group["State"] = after
        if after == "ready":
            self.staged = [self.model]
            self.last_model = self.model
        self.record("state", state=after, rank=self.group["rank"])
        await self.beat()


def encode_head(status: int, fields: dict) -> bytes:
    """Returns the head of an answer."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def respond(
    writer: asyncio.StreamWriter,
    status: int,
    body: bytes,
    fields: dict | None = None,
) -> None:
    """Writes a complete answer."""
    fields = {
        **(fields or {}),
        "Content-Length": len(body),
        "Keep-Alive": "timeout=5",
    }
    writer.write(encode_head(status, fields) + body)


async def wait_closed(reader: asyncio.StreamReader) -> None:
    """Returns when the caller has closed its channel."""
    while not reader.at_eof():
        if reader.exception() is not None:
            return
        await asyncio.sleep(0.02)


async def post(address: str, path: str, body: dict) -> int:
    """Posts JSON; returns the status, or 0 without an answer in a second."""
    content = json.dumps(body).encode()
    ip, _, port = address.rpartition(":")
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {address}\r\n"
        f"Content-Type: application/json\r\nConnection: close\r\n"
        f"Content-Length: {len(content)}\r\n\r\n"
    ).encode()
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(ip, int(port))
            try:
                writer.write(head + content)
                line = await reader.readline()
                return int(line.split(b" ")[1]) if line else 0
            finally:
                writer.close()
    except (OSError, TimeoutError, ValueError):
        return 0


if __name__ == "__main__":
    with open(sys.argv[1]) as file:
        found = json.load(file)
    asyncio.run(Replica(found).run())
