"""Sessions with the real shells on loopback sockets, in one event loop."""

from __future__ import annotations

import asyncio
import os
import pathlib
import re
import tempfile

import orjson

from hickorylead.platform import control, documents, headers, servers
from hickorylead.runtime import clock, coordinator, gateway
from hickorylead.telemetry import decisions
from hickorylead_standins import platform

ZONES = ("z1", "z2", "z3")
CALLER_PORT, READY_PORT, CONTROL_PORT, PEER_PORT = 7601, 7602, 7603, 7604
METRICS_PORT = 7605
MODEL = "tiny"


def make_configuration(version: int, *, key: str = "key-1") -> dict:
    """Returns a configuration as an operator sends it."""
    common = {"Hostname": "host.example", "MaxAttempts": 2}
    return {
        "Version": version,
        "Routes": [
            {
                **common,
                "Name": "drafts",
                "PathPrefix": "/drafts/",
                "Kind": "streaming",
                "TimeoutMs": 4000,
                "TargetLatencyMs": 300,
                "GapTargetMs": 200,
                "Service": "models",
                "SessionAffinity": True,
                "StreamResume": True,
            },
            {
                **common,
                "Name": "alerts",
                "PathPrefix": "/alerts/",
                "Kind": "non_idempotent",
                "TimeoutMs": 1000,
                "TargetLatencyMs": 100,
                "Service": "desk",
            },
        ],
        "Services": [
            {
                "Name": "models",
                "Engine": {
                    "Slots": 6,
                    "step_ms": 6.0,
                    "read_per_s": 46000,
                    "Stride": 5,
                    "LoadsPerS": 100.0,
                    "Models": [
                        {
                            "Name": MODEL,
                            "size": 2,
                            "Share": 1.0,
                            "LoadS": 0.1,
                            "WarmS": 0.1,
                        }
                    ],
                },
            },
            {"Name": "desk"},
        ],
        "Limits": {"MaxBodyBytes": 1000, "MaxHeaderBytes": 2000},
        "Tenants": [{"Name": "crew", "ApiKeys": [key]}],
    }


class PlatformCluster:
    """Three coordinators, a gateway and backend servers."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.log_path = folder / "log.jsonl"
        self._log = os.open(self.log_path, os.O_WRONLY | os.O_CREAT)
        log = decisions.DecisionLog(
            common={"vm": "day"},
            clock=clock.read_boottime,
            wall=clock.read_wall,
            descriptor=self._log,
        )
        self.controls = [f"127.0.7.{n}:{CONTROL_PORT}" for n in (1, 2, 3)]
        seeds = tuple(f"127.0.7.{n}:{PEER_PORT}" for n in (1, 2, 3))
        self._tasks: list[asyncio.Task] = []
        self.coordinators = [
            coordinator.CoordinatorProcess(
                coordinator.Settings(
                    vm=f"core{number}",
                    zone=zone,
                    zones=ZONES,
                    ip=f"127.0.7.{number}",
                    control_port=CONTROL_PORT,
                    peer_port=PEER_PORT,
                    seeds=seeds,
                    metrics_port=METRICS_PORT,
                    may_bootstrap=True,
                    data_folder=str(folder / zone),
                    heartbeat_s=0.2,
                    max_lost_disks=1,
                ),
                server_codec=servers.PlatformServerCodec(),
                read_document=documents.read_packed,
                make_app=control.make_app,
                reload=lambda: None,
                log=log,
            )
            for number, zone in enumerate(ZONES, start=1)
        ]
        self.gateway = gateway.GatewayProcess(
            gateway.Settings(
                vm="front1",
                zone="z1",
                ip="127.0.7.9",
                caller_port=CALLER_PORT,
                ready_port=READY_PORT,
                peer_port=PEER_PORT,
                seeds=seeds,
                metrics_port=METRICS_PORT,
                grace_s=3.0,
            ),
            header_codec=headers.PlatformHeaderCodec(),
            read_document=documents.read_packed,
            reload=lambda: None,
            log=log,
        )
        self.caller_address = f"127.0.7.9:{CALLER_PORT}"
        self.servers: list[platform.PlatformServer] = []
        self.lines: list[str] = []

    async def start(self) -> None:
        """Starts everything and waits until it serves."""
        shells = [*self.coordinators, self.gateway]
        self._tasks = [asyncio.ensure_future(s.run()) for s in shells]
        await self.wait_for(
            lambda: any(
                c.role.voter.is_ready_leader(clock.read_boottime())
                for c in self.coordinators
            )
        )
        for number in range(4):
            # Two domains of two, so that there are two replicas.
            await self._add(f"m{number}", "models", 20 + number, number // 2)
        for number in range(2):
            await self._add(f"p{number}", "desk", 30 + number, None)
        await self.configure(3)
        await self.wait_for(lambda: len(self.list_model_replicas()) == 2)
        await self.wait_for(
            lambda: (
                len(self.gateway.role._directory.list_replicas("desk", "")) == 2
            )
        )

    async def _add(self, name, service, host, domain) -> None:
        server = platform.PlatformServer(
            name,
            service=service,
            address=f"127.0.7.{host}:7610",
            zone="z1",
            controls=self.controls,
            domain="" if domain is None else f"z1-d{domain}",
        )
        await server.start()
        self.servers.append(server)

    async def stop(self) -> None:
        """Ends everything."""
        for server in self.servers:
            server.stop()
        for shell in [*self.coordinators, self.gateway]:
            shell._stop.set()
        await asyncio.wait(self._tasks, timeout=10)
        os.close(self._log)

    async def wait_for(self, condition, limit_s: float = 15.0) -> None:
        """Waits until something holds."""
        async with asyncio.timeout(limit_s):
            while not condition():
                await asyncio.sleep(0.01)

    def list_model_replicas(self) -> list:
        """Returns the replicas of the model that the gateway offers."""
        return self.gateway.role._directory.list_replicas("models", MODEL)

    def find_server(self, name: str) -> platform.PlatformServer:
        """Returns a backend server."""
        return next(s for s in self.servers if s.name == name)

    async def configure(self, version: int, **changes) -> int:
        """Sends a configuration and waits until the gateway has it."""
        body = make_configuration(version, **changes)
        return await self.replace_configuration(orjson.dumps(body))

    async def replace_configuration(
        self, body: bytes, control_number: int = 0
    ) -> int:
        """Sends a body as a configuration; returns the status."""
        status = await platform.post_json(
            self.controls[control_number], "/config/replace", body
        )
        self.record("operator", f"replaces: {status}")
        return status

    async def send_request(
        self, path: str, body: bytes = b"", **extra: str
    ) -> bytes:
        """Sends a request as a caller; returns the raw answer."""
        fields = {
            "Host": "host.example",
            "Attempt-Id": f"a{len(self.lines)}",
            "Time-Budget": "4000",
            "Authorization": "Token key-1",
            "Content-Length": str(len(body)),
            "Connection": "close",
            **{k.replace("_", "-"): v for k, v in extra.items()},
        }
        head = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
        request = f"POST {path} HTTP/1.1\r\n{head}\r\n".encode() + body
        self.record("caller", f"POST {path}")
        answer = await platform.send_raw(self.caller_address, request)
        for line in answer.decode("latin-1").splitlines():
            if line:
                self.record("caller", f"< {line}")
        return answer

    def record_received(self, since: dict[str, int]) -> None:
        """Notes what backend servers were sent since a time."""
        for server in self.servers:
            for got in server.received[since.get(server.name, 0) :]:
                kept = {
                    k: v
                    for k, v in sorted(got.headers.items())
                    if k not in ("content-length", "host")
                }
                fields = ", ".join(f"{k}={v}" for k, v in kept.items())
                self.record("server", f"{got.method} {got.target} {fields}")

    def count_received(self) -> dict[str, int]:
        """Returns how many requests each server has got."""
        return {s.name: len(s.received) for s in self.servers}

    def record(self, side: str, text: str) -> None:
        """Adds a line to the record."""
        text = re.sub(r"time-budget=\d+", "time-budget=N", text)
        text = re.sub(r"(seal\.|expect-instance=)[mp]\d", r"\1SERVER", text)
        text = re.sub(r"\b[mp]\d got", "SERVER got", text)
        text = re.sub(r"\ba\d+\b", "ATTEMPT", text)
        self.lines.append(f"{side:9} {text}".rstrip())

    def render(self) -> str:
        """Returns the record."""
        return "\n".join(self.lines) + "\n"


async def run_session(session) -> str:
    """Plays a session on a day of its own; returns the record."""
    with tempfile.TemporaryDirectory() as folder:
        day = PlatformCluster(pathlib.Path(folder))
        try:
            await day.start()
            day.lines.clear()
            await session(day)
            return day.render()
        finally:
            await day.stop()


# The sessions.


async def run_stream(day: PlatformCluster) -> None:
    """A stream from a replica of two servers."""
    since = day.count_received()
    for server in day.servers:
        server.manner.events = 3
    await day.send_request(
        "/drafts/one", b"words", Model=MODEL, Token_Count="5,9"
    )
    day.record_received(since)
    head = b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    answer = await platform.send_raw(f"127.0.7.9:{METRICS_PORT}", head)
    for line in answer.decode().splitlines():
        if 'le="+Inf"' in line or line.startswith("hickorylead_replicas"):
            day.record("metrics", line)


async def run_resumed_stream(day: PlatformCluster) -> None:
    """A stream whose replica resets it in the middle of its third event."""
    since = day.count_received()
    chosen = []
    for server in day.servers:
        server.manner.events = 5
        server.manner.cut_after = 3
    # Only the first one asked breaks off.
    answering = asyncio.ensure_future(
        day.send_request(
            "/drafts/one", b"words", Model=MODEL, Token_Count="5,9"
        )
    )
    await day.wait_for(
        lambda: any(len(s.received) > since.get(s.name, 0) for s in day.servers)
    )
    for server in day.servers:
        if len(server.received) == since.get(server.name, 0):
            server.manner.cut_after = 0
        else:
            chosen.append(server.name)
    await answering
    assert len(chosen) == 1, chosen
    received = [s for s in day.servers if s.name in chosen]
    rest = [s for s in day.servers if s.name not in chosen]
    day.servers = [*received, *rest]
    day.record_received(since)


async def run_plain_call(day: PlatformCluster) -> None:
    """Calls of a plain service: let in, refused, unknown, too large."""
    since = day.count_received()
    await day.send_request("/alerts/7?x=%2f%20", b"tree", X_Kept="yes")
    await day.send_request("/alerts/7", b"tree", Authorization="Token wrong")
    await day.send_request("/nowhere/7", b"tree")
    await day.send_request("/alerts/7", bytes(2000))
    await day.send_request("/alerts/7", b"", X_Long="x" * 3000)
    await day.send_request("/alerts/7", b"", Time_Budget="soon")
    day.record_received(since)


async def run_configuration_change(day: PlatformCluster) -> None:
    """A change, a resend, an old version, bad ones, and a read."""
    await day.send_request("/alerts/1")
    await day.configure(7, key="key-2")
    await day.wait_for(lambda: day.gateway.role.document.version == 7)
    await day.send_request("/alerts/2")
    await day.send_request("/alerts/3", Authorization="Token key-2")
    same = orjson.dumps(make_configuration(7, key="key-2"))
    await day.replace_configuration(same, 1)
    await day.configure(5)
    for body in (
        same[:-9],
        b"[]",
        orjson.dumps({**make_configuration(9), "Version": "9"}),
        orjson.dumps({**make_configuration(9), "Services": []}),
    ):
        await day.replace_configuration(body, 2)
    head = b"GET /config/read HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    for address in day.controls:
        answer = await platform.send_raw(address, head)
        day.record("operator", f"reads: {answer.endswith(same)}")


async def run_leaving_replica(day: PlatformCluster) -> None:
    """A server of a replica drains; another one leaves for good."""
    head = day.list_model_replicas()[0].name
    server = day.find_server(head)
    server.state = "draining"
    day.record("server", f"drains: {await server.send_heartbeat()}")
    await day.wait_for(
        lambda: all(r.name != head for r in day.list_model_replicas()), 1.0
    )
    before = len(server.received)
    for other in day.servers:
        other.manner.events = 1
    for _ in range(3):
        await day.send_request("/drafts/x", b"", Model=MODEL, Token_Count="5,9")
    day.record("server", f"got after that: {len(server.received) - before}")
    plain = day.find_server("p0")
    day.record("server", f"leaves: {await plain.deregister()}")
    await day.wait_for(
        lambda: len(day.gateway.role._directory.list_replicas("desk", "")) == 1
    )
    plain.stop()
    await day.send_request("/alerts/9", b"still")


SESSIONS = {
    "stream": run_stream,
    "resumed_stream": run_resumed_stream,
    "plain_call": run_plain_call,
    "configuration_change": run_configuration_change,
    "leaving_replica": run_leaving_replica,
}
