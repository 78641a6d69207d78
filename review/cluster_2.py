"""A small deployment of the project's own programs, on loopback addresses.

It starts the programs with the commands of the deploy file, the replicas of
`replica_2.py`, and plays operator and consumers. All of it is bounded in time,
and all processes that it starts are ended by their ids.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parent
FRONT, READY, CONTROL, REPLICA = 8227, 8220, 8229, 8080
PEER_PORTS = "7340,7355"
HEARTBEAT_S = 1.2
GRACE_S = 8.0
DRAIN_S = 2.0
CONTACT_S = 3.0
ZONES = ("hamilton", "te-awamutu", "matamata")
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"


class CannotRun(Exception):
    """The case could not be played."""


class Cluster:
    """Processes of one play."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Makes a deployment without processes, for the case in a folder."""
        self.record_path = folder / "record.txt"
        self.record_path.unlink(missing_ok=True)
        self.record_file = self.record_path.open("a", buffering=1)
        self.work = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.net = find_net()
        self.processes: dict[str, subprocess.Popen] = {}
        self.nodes: dict[str, dict] = {}
        self.replicas: dict[str, dict] = {}
        self.hosts = 10
        self.exits: list[tuple[str, int]] = []
        self.commands = {
            name: role["run"].split()
            for name, role in tomllib.loads(
                (ROOT / "deploy" / "system.toml").read_text()
            )["roles"].items()
        }

    def note(self, what: str, **fields: Any) -> None:
        """Appends a line to the case's record."""
        line = {"t": round(time.time(), 4), "what": what, **fields}
        self.record_file.write(json.dumps(line) + "\n")

    def take_ip(self) -> str:
        """Returns an address that no process has yet."""
        self.hosts += 1
        return f"{self.net}.{self.hosts}"

    # The project's programs.

    def add_cores(self) -> None:
        """Adds a coordinator in each zone; `start_node` starts it."""
        for number, zone in enumerate(ZONES):
            self.add_node(
                f"core-{zone}-1",
                "coordinator",
                zone,
                f"{self.net}.{number + 1}",
            )

    def add_node(self, name: str, role: str, zone: str, ip: str = "") -> None:
        """Adds a machine of a role; `start_node` starts its program."""
        folder = self.work / name
        (folder / "data").mkdir(parents=True)
        self.nodes[name] = {
            "role": role,
            "zone": zone,
            "folder": folder,
            "ip": ip or self.take_ip(),
            "starts": 0,
        }

    def list_controls(self) -> list[str]:
        """Returns the addresses of all coordinators."""
        return [
            f"{n['ip']}:{CONTROL}"
            for n in self.nodes.values()
            if n["role"] == "coordinator"
        ]

    def start_node(self, name: str) -> None:
        """Writes a program's settings and starts it."""
        node = self.nodes[name]
        ip, folder = node["ip"], node["folder"]
        is_front = node["role"] == "gateway"
        lines = [
            f"NodeName={name}",
            f"Role={node['role']}",
            f"MachineClass={'front' if is_front else 'core'}",
            f"Serves={'front' if is_front else 'control'}",
            f"Ip={ip}",
            f"Zone={node['zone']}",
            "Region=waikato",
            *(f"Zones.{zone}=waikato" for zone in ZONES),
            f"InternalPorts={PEER_PORTS}",
            f"Seeds={','.join(self.list_controls())}",
            f"Bootstrap={'false' if node['starts'] else 'true'}",
            f"InFaultBudget={'false' if is_front else 'true'}",
            "Limits.CpuShare=0.537",
            "Limits.Cores=2",
            "Limits.MemoryMb=300",
            "Limits.MaxFds=4100",
            "Limits.LinkMbps=1000.0",
            "Discovery=registration",
            "Entry=vip",
            f"HeartbeatMs={int(HEARTBEAT_S * 1000)}",
            "Contracts=base,drain,config,cost,retry,recover,engine,stream,"
            "tenants,gangs",
            "FaultTolerance.Machines=1",
            "FaultTolerance.Zones=1",
            "FaultTolerance.Regions=0",
            "Bounds.SeedLagS=3",
            "Bounds.ReuseAfterS=2",
            f"Bounds.ContactMs={int(CONTACT_S * 1000)}",
            "Bounds.AckMs=4000",
            "Bounds.CatchUpS=4",
            f"Bounds.DrainMs={int(DRAIN_S * 1000)}",
            f"Bounds.GraceS={int(GRACE_S)}",
            "Bounds.LossSlackMs=200",
            "Bounds.ConfigApplyMs=2000",
            "Bounds.RollbackSlackMs=250",
            "Bounds.MaxStretchMs=5000",
            "Bounds.BudgetRatio=0.2",
            "Bounds.BudgetWindowS=10",
            "Bounds.BudgetExtra=136",
            "Bounds.RecoveryS=12",
            "Bounds.PassMs=120",
            "Bounds.StallMs=5000",
            "Bounds.CeilingWindowS=5",
            "Bounds.CeilingOverrun=1.1",
            "ConfigMode=highest",
        ]
        if is_front:
            lines += [
                f"Listen.Front={ip}:{FRONT}",
                f"Listen.ReadinessAddress={ip}:{READY}",
            ]
        else:
            lines += [
                f"Listen.Control={ip}:{CONTROL}",
                f"DataDir={folder / 'data'}",
            ]
        (folder / "boot.conf").write_text("\n".join(lines) + "\n")
        node["starts"] += 1
        with (folder / "log.jsonl").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                self.commands[node["role"]],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "HICKORYLEAD_NODE_FILE": str(folder / "boot.conf"),
                },
            )
        self.note("process started", name=name, pid=self.processes[name].pid)

    def kill(self, name: str) -> None:
        """Ends a process with SIGKILL."""
        process = self.processes[name]
        process.kill()
        process.wait()
        self.note("process killed", name=name)

    def wipe(self, name: str) -> None:
        """Empties the disk of a machine whose process has ended."""
        data = self.nodes[name]["folder"] / "data"
        shutil.rmtree(data)
        data.mkdir()
        self.note("disk lost", name=name)

    def count_log(self, name: str, text: bytes) -> int:
        """Returns how often a program's log has a text."""
        log = self.nodes[name]["folder"] / "log.jsonl"
        return log.read_bytes().count(text) if log.exists() else 0

    # Replicas.

    def add_replica(
        self, name: str, service: str, zone: str, **more: Any
    ) -> None:
        """Starts a replica."""
        ip = self.take_ip()
        controls = self.list_controls()
        settings = {
            "name": name,
            "service": service,
            "zone": zone,
            "address": f"{ip}:{REPLICA}",
            "controls": controls,
            "heartbeat_s": HEARTBEAT_S,
            "slots": 13,
            "record": str(self.work / f"{name}.record"),
            "first_control": len(self.replicas),
            **more,
        }
        path = self.work / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.replicas[name] = settings
        with (self.work / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, str(HERE / "replica_2.py"), str(path)],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def read_runs(self, name: str = "") -> list[dict]:
        """Returns what replicas have recorded, in order."""
        lines = []
        for replica in self.replicas:
            path = self.work / f"{replica}.record"
            if name in ("", replica) and path.exists():
                for line in path.read_text().splitlines():
                    with contextlib.suppress(ValueError):
                        lines.append(json.loads(line))
        return sorted(lines, key=lambda line: line["t"])

    async def wait_for(
        self, what: str, check: Callable[[], Any], limit_s: float
    ) -> None:
        """Waits until a check holds."""
        ends = time.monotonic() + limit_s
        while not check():
            if time.monotonic() > ends:
                raise CannotRun(f"not within {limit_s} s: {what}")
            await asyncio.sleep(0.05)

    # Operator and platform.

    async def replace_config(
        self, content: dict, limit_s: float = 15.0
    ) -> None:
        """Sends a manifest until it is acknowledged."""
        ends = time.monotonic() + limit_s
        controls = self.list_controls()
        number = 0
        pause_s = 0.2
        while time.monotonic() < ends:
            control = controls[number % len(controls)]
            number += 1
            status, _ = await call(
                control, "POST", "/config/replace", json.dumps(content).encode()
            )
            self.note(
                "config sent",
                version=content["Version"],
                control=control,
                status=status,
            )
            if status == 200:
                return
            await asyncio.sleep(pause_s)
            pause_s = min(2.0, 1.5 * pause_s)
        raise CannotRun("the configuration was not acknowledged")

    async def is_ready(self, name: str) -> bool:
        """Returns whether a gateway says that it is ready."""
        status, _ = await call(
            f"{self.nodes[name]['ip']}:{READY}", "GET", "/ready", b""
        )
        return status == 200

    async def wait_ready(self, name: str, limit_s: float) -> None:
        """Waits until a gateway is ready."""
        ends = time.monotonic() + limit_s
        while not await self.is_ready(name):
            if time.monotonic() > ends:
                raise CannotRun(f"{name} is not ready after {limit_s} s")
            await asyncio.sleep(0.1)

    # Consumers.

    async def request(
        self,
        front: str,
        path: str,
        *,
        method: str = "POST",
        budget_s: float,
        fields: dict | None = None,
    ) -> dict:
        """Sends one consumer attempt on a new channel and returns its end."""
        attempt = f"{random.getrandbits(64):016x}"
        ip = self.nodes[front]["ip"]
        body = b"x" * 100 if method == "POST" else b""
        head = {
            "Host": HOST,
            "Attempt-Id": attempt,
            "Time-Budget": int(budget_s * 1000),
            "Authorization": f"Token {KEY}",
            **(fields or {}),
        }
        if body:
            head["Content-Length"] = len(body)
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in head.items()]
        found = {
            "attempt": attempt,
            "front": front,
            "path": path,
            "sent": time.time(),
            "status": 0,
            "end": "none",
            "pieces": 0,
        }
        try:
            async with asyncio.timeout(budget_s):
                reader, writer = await asyncio.open_connection(ip, FRONT)
                try:
                    writer.write(
                        "\r\n".join(lines).encode() + b"\r\n\r\n" + body
                    )
                    await read_answer(reader, found)
                finally:
                    writer.close()
        except TimeoutError:
            found["end"] = "no answer"
        except (OSError, asyncio.IncompleteReadError, ValueError):
            found["end"] = "closed"
        found["ended"] = time.time()
        self.note("request", **found)
        return found

    # End.

    def close(self) -> None:
        """Ends all processes and completes the record."""
        for name, process in self.processes.items():
            if process.poll() is not None and name in self.nodes:
                self.note(
                    "process had ended", name=name, code=process.returncode
                )
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for line in self.read_runs():
            self.record_file.write(json.dumps(line) + "\n")
        self.record_file.close()
        if os.environ.get("KEEP"):
            sys.stdout.write(f"kept {self.work}\n")
        else:
            shutil.rmtree(self.work, ignore_errors=True)


async def read_answer(reader: asyncio.StreamReader, found: dict) -> None:
    """Reads one answer to its end."""
    while True:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        found["status"] = int(head.split(" ", 2)[1])
        if found["status"] >= 200:
            break
    fields = {}
    for line in head.split("\r\n")[1:]:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    found["seal"] = fields.get("server-seal", "")
    if "retry-after" in fields:
        found["retry_after"] = fields["retry-after"]
    if "chunked" in fields.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                break
            found["pieces"] += data.count(b"\n\n")
            found["last_piece"] = time.time()
    else:
        await reader.readexactly(int(fields.get("content-length", 0)))
    found["end"] = "complete"


async def replica_post(address: str, path: str, body: dict) -> int:
    """Posts a report as a replica does; returns the status of the answer."""
    status, _ = await call(address, "POST", path, json.dumps(body).encode())
    return status


async def call(
    address: str, method: str, path: str, body: bytes, limit_s: float = 1.0
) -> tuple[int, bytes]:
    """Makes a call; returns status 0 without an answer in time."""
    ip, _, port = address.rpartition(":")
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
        f"Content-Type: application/json\r\nConnection: close\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode()
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            try:
                writer.write(head + body)
                answer = await reader.read(-1)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return 0, b""
    top, _, rest = answer.partition(b"\r\n\r\n")
    return (int(top.split(b" ")[1]) if top else 0), rest


def find_net() -> str:
    """Returns the first three bytes of loopback addresses that are free."""
    for _ in range(50):
        net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        try:
            for host in (1, 2, 3, 11, 12):
                for port in (FRONT, READY, CONTROL, REPLICA, 7340, 9417):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.{host}", port))
        except OSError:
            continue
        return net
    raise CannotRun("no free loopback addresses")


def make_config(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Returns a manifest."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "hule930", "ApiKeys": [KEY], "Priority": 1}],
    }


def make_engine(models: list[dict], slots: int) -> dict:
    """Returns the engine of a service."""
    return {
        "Slots": slots,
        "KvCapacityTokens": 700000,
        "KvTokenBytes": 70272,
        "LinkMbps": 400000.0,
        "Stride": 5,
        "Models": models,
        "step_ms": 6.07,
        "per_seq_ms": 0.482,
        "context_per_k": 0.00976,
        "read_per_s": 46000.0,
        "pairs_per_m": 0.7,
        "chunk": 2048,
        "report_lag_ms": 200.0,
        "LoadsPerS": 4.0,
        "loads_at_once": 6,
        "delays": [],
        "usual": {"prompt": 1076, "answer": 116},
        "RetainedCount": 1,
        "far_x": 3.0,
        "FormMs": 300.0,
    }


def main(
    folder: pathlib.Path, play: Callable[[Cluster, bool], Awaitable[bool]]
) -> None:
    """Plays a case; exits with 0 (held), 1 (broken) or 2 (could not run)."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    cluster = Cluster(folder)
    code = 2
    try:

        async def bounded() -> bool:
            async with asyncio.timeout(110.0):
                return await play(cluster, has_trouble)

        code = 1 if asyncio.run(bounded()) else 0
    except (CannotRun, TimeoutError, OSError) as error:
        sys.stdout.write(f"cannot run: {error!r}\n")
        cluster.note("cannot run", why=repr(error))
    finally:
        cluster.note("result", code=code, trouble=has_trouble)
        cluster.close()
    told = {0: "the rule held", 1: "the rule was broken", 2: "not played"}
    sys.stdout.write(told[code] + "\n")
    sys.exit(code)
