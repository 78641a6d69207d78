"""Real processes for the tests of crowds, and what they use."""

from __future__ import annotations

import asyncio
import os
import pathlib
import re
import resource
import subprocess
import sys
import time

import orjson
from soak import callers, fleet, nodes

from hickorylead.intake import account
from hickorylead_standins import platform
from support import crowds

ROOT = pathlib.Path(__file__).resolve().parents[2]
METRICS_PORT = 9417
ENTRY_PORT, ENTRY_PEER_PORT = 7811, 7812
ENTRY_TOKEN = "token-kahikatea"
# What a machine has, as the settings say.
MEMORY_MB = 128
MAX_DESCRIPTORS = 400
# Descriptors of these that are reserved for files outside the data folder.
RESERVED_DESCRIPTORS = 200
# Part of the address block that no other soak uses.
FIRST_NUMBER = 120
START_LIMIT_S = 30.0
REQUEST_LIMIT_S = 30.0
CALL_TIMEOUT_S = 5.0
POLL_S = 0.02

FIELDS = (
    "Host: host.example",
    "Attempt-Id: a-1",
    "Authorization: Token key-1",
)
PLACES = {
    "a route": crowds.Place("/calls/x", FIELDS),
    "no route": crowds.Place("/nowhere/x", FIELDS),
    "an unknown key": crowds.Place(
        "/calls/x", (*FIELDS[:2], "Authorization: Token nobody")
    ),
    "no id": crowds.Place("/calls/x", (FIELDS[0], FIELDS[2])),
    "the ready check": crowds.Place("/ready", FIELDS[:1]),
    "the metrics": crowds.Place("/metrics", FIELDS[:1]),
    "the configuration": crowds.Place("/config/replace", FIELDS[:1]),
    "an entry": crowds.Place(
        "/services/desk/x",
        ("Host: host.example", f"Authorization: Bearer {ENTRY_TOKEN}"),
    ),
}


def make_configuration(
    version: int,
    *,
    max_body_bytes: int = crowds.MAX_BODY_BYTES,
    max_head_bytes: int = crowds.MAX_HEAD_BYTES,
) -> bytes:
    """Returns a configuration as an operator sends it."""
    route = {
        "Name": "calls",
        "Hostname": "host.example",
        "PathPrefix": "/calls/",
        "Kind": "idempotent",
        "TimeoutMs": 4000,
        "TargetLatencyMs": 400,
        "MaxAttempts": 2,
        "Service": "desk",
    }
    return orjson.dumps(
        {
            "Version": version,
            "Routes": [route],
            "Services": [{"Name": "desk"}],
            "Limits": {
                "MaxHeaderBytes": max_head_bytes,
                "MaxBodyBytes": max_body_bytes,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15_000,
            },
            "Tenants": [{"Name": "crew", "ApiKeys": ["key-1"]}],
        }
    )


class Processes:
    """One coordinator and one gateway with servers, and an entry alone."""

    def __init__(
        self,
        folder: pathlib.Path,
        slot: int,
        *,
        memory_mb: int = MEMORY_MB,
        max_descriptors: int = MAX_DESCRIPTORS,
        sources: pathlib.Path | None = None,
    ) -> None:
        """Makes the processes; they are started one by one.

        Args:
            folder: Folder of their files.
            slot: Their address block.
            memory_mb: Memory of their machines, in MiB.
            max_descriptors: Descriptors that each may have open.
            sources: Folder of the program under test; None for this build.
        """
        self._folder = folder
        self._memory_mb = memory_mb
        self._max_descriptors = max_descriptors
        self._gateway_descriptors = max_descriptors
        self._version = 0
        self._coordinator, self._gateway = (
            fleet.FleetNode(
                f"z1-{role}",
                role,
                "z1",
                number,
                slot,
                folder / role,
                sources=sources,
            )
            for number, role in enumerate(
                ("coordinator", "gateway"), start=FIRST_NUMBER
            )
        )
        self._prefix = f"127.{78 + slot}"
        self._entry_ip = f"{self._prefix}.1.{FIRST_NUMBER + 2}"
        self.is_cluster_started = False
        self._servers: subprocess.Popen | None = None
        self._entry: subprocess.Popen | None = None

    async def start_cluster(self) -> None:
        """Starts the coordinator and the servers; configures them."""
        await self._restart_node(self._coordinator)
        self.is_cluster_started = True
        self._servers = subprocess.Popen(
            [
                sys.executable,
                str(ROOT / "tests/soak/plain_servers.py"),
                "--zones=z1",
                "--per-zone=2",
                f"--prefix={self._prefix}.3",
                f"--controls={self._coordinator.ip}:{nodes.CONTROL_PORT}",
            ]
        )
        await self._wait(self.configure, "the configuration is acknowledged")

    async def configure(self, **limits: int) -> bool:
        """Sends a new configuration; returns whether it is acknowledged."""
        self._version += 1
        status = await platform.post_json(
            f"{self._coordinator.ip}:{nodes.CONTROL_PORT}",
            "/config/replace",
            make_configuration(self._version, **limits),
        )
        return status == 200

    async def start_gateway(
        self, max_descriptors: int | None = None
    ) -> subprocess.Popen:
        """Starts a gateway anew; returns once it serves.

        Args:
            max_descriptors: Descriptors that it may have open, if not as many
                as the others.
        """
        self._gateway_descriptors = max_descriptors or self._max_descriptors
        process = await self._restart_node(self._gateway)
        await self._wait(self.is_serving, "the gateway serves")
        return process

    async def start_coordinator(self) -> subprocess.Popen:
        """Starts the coordinator anew; returns once it serves."""
        process = await self._restart_node(self._coordinator)
        await self._wait(self.configure, "the coordinator serves")
        return process

    async def start_entry(self) -> subprocess.Popen:
        """Starts an entry alone and anew; returns once it responds."""
        if self._entry is not None:
            self._entry.kill()
            self._entry.wait()
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "src"),
            "HICKORYLEAD_VM": "vm1",
            "HICKORYLEAD_ZONE": "z1",
            "HICKORYLEAD_ADDRESS": self._entry_ip,
            "HICKORYLEAD_PEER_PORT": str(ENTRY_PEER_PORT),
            "HICKORYLEAD_CONTROLS": f"z1/vm1={self._entry_ip}:7813",
            "HICKORYLEAD_CALLER_PORT": str(ENTRY_PORT),
            "HICKORYLEAD_TOKENS": f"{ENTRY_TOKEN}=crew",
            "HICKORYLEAD_OPERATOR_TOKEN": "operator-token-1",
            "HICKORYLEAD_MAX_BODY_BYTES": str(crowds.MAX_BODY_BYTES),
            "HICKORYLEAD_MEMORY_MB": str(self._memory_mb),
            "HICKORYLEAD_MAX_DESCRIPTORS": str(self._max_descriptors),
        }
        with (self._folder / "entry.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "hickorylead", "entry"],
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self._limit_descriptors(process, self._max_descriptors)
        self._entry = process
        await self._wait(self.is_entry_serving, "the entry responds")
        return process

    async def is_serving(self) -> bool:
        """Returns whether the gateway answers a request, and is ready."""
        request = PLACES["a route"].make_head(
            "Content-Length: 5", "Connection: close"
        )
        address = self.get_address("callers")
        status = await fetch_status(address, request + b"words")
        return status == 200 and await self.is_ready()

    async def is_ready(self) -> bool:
        """Returns whether the gateway says that it is ready."""
        request = PLACES["the ready check"].make_head(method="GET")
        return await fetch_status(self.get_address("ready"), request) == 200

    async def has_metrics(self) -> bool:
        """Returns whether the gateway shows its metrics."""
        request = PLACES["the metrics"].make_head(method="GET")
        return await fetch_status(self.get_address("metrics"), request) == 200

    async def has_released(self) -> bool:
        """Returns whether only the connection that asks uses memory."""
        request = PLACES["the metrics"].make_head(method="GET")
        text = await fetch(self.get_address("metrics"), request)
        used = {
            name: float(value)
            for name, value in re.findall(
                r"(client_\w+) ([0-9.]+)$", text, re.M
            )
        }
        return (
            used.get("client_connections") == 1
            and used.get("client_held_bytes") == account.CONNECTION_BYTES
        )

    async def is_entry_serving(self) -> bool:
        """Returns whether the entry responds."""
        request = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
        return await fetch_status(self.get_address("entry"), request) == 200

    def get_address(self, port: str) -> tuple[str, int]:
        """Returns the address of a port, by its name."""
        match port:
            case "callers":
                return self._gateway.ip, nodes.CALLER_PORT
            case "ready":
                return self._gateway.ip, nodes.READY_PORT
            case "metrics":
                return self._gateway.ip, METRICS_PORT
            case "control":
                return self._coordinator.ip, nodes.CONTROL_PORT
            case "entry":
                return self._entry_ip, ENTRY_PORT
        raise KeyError(port)

    async def stop(self) -> None:
        """Ends all processes."""
        for node in (self._gateway, self._coordinator):
            await node.kill()
        for process in (self._servers, self._entry):
            if process is not None:
                process.kill()
                process.wait()

    async def _restart_node(self, node: nodes.Node) -> subprocess.Popen:
        is_first = node.start_count == 0
        max_descriptors = (
            self._gateway_descriptors
            if node is self._gateway
            else self._max_descriptors
        )
        await node.kill()
        node.write_settings(
            [self._coordinator.ip],
            is_bootstrap=node.role == "coordinator" and is_first,
            retry_burst=nodes.RETRY_BURSTS[0],
            max_lost=0,
            limits={
                "MemoryMb": self._memory_mb,
                "MaxFds": max_descriptors,
            },
        )
        node.start()
        assert node.process is not None
        self._limit_descriptors(node.process, max_descriptors)
        return node.process

    def _limit_descriptors(
        self, process: subprocess.Popen, max_descriptors: int
    ) -> None:
        limits = (max_descriptors, max_descriptors)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limits)

    async def _wait(self, check, what: str) -> None:
        deadline = time.monotonic() + START_LIMIT_S
        while not await check():
            if time.monotonic() > deadline:
                raise TimeoutError(f"{what}: not within {START_LIMIT_S} s")
            await asyncio.sleep(POLL_S)


async def fetch(address: tuple[str, int], request: bytes) -> str:
    """Returns the body of the response to a request; empty without one."""
    response = await _exchange(address, request)
    return response.body.decode()


async def fetch_status(address: tuple[str, int], request: bytes) -> int:
    """Returns the status of the response to a request; 0 without one."""
    response = await _exchange(address, request)
    return response.status if response.is_complete else 0


async def _exchange(
    address: tuple[str, int], request: bytes
) -> callers._Response:
    response = callers._Response()
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(request)
                while not response.is_complete:
                    data = await reader.read(65536)
                    if not data:
                        break
                    response.parser.feed_data(data)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        # The caller sees no complete response, and sends again.
        pass
    return response


async def answers(check) -> bool:
    """Returns whether a check holds; it is repeated as a caller repeats."""
    deadline = time.monotonic() + REQUEST_LIMIT_S
    while time.monotonic() < deadline:
        if await check():
            return True
        await asyncio.sleep(POLL_S)
    return False
