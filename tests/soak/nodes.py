"""Processes of the real programs, and the signals sent to them."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import time
import types

import attrs

from soak import firewall

ROOT = pathlib.Path(__file__).resolve().parents[2]
CALLER_PORT, READY_PORT, CONTROL_PORT, PEER_PORT = 7801, 7802, 7803, 7804
# The first port after the peer port.
RELAY_PORT = 7805
FIREWALL = ROOT / "tests/soak/firewall.py"
ZONES = ("z1", "z2", "z3")
GRACE_S = 8.0
# Retries per request, and beyond that in a window.
RETRY_RATIO = 0.2
RETRY_BURSTS = (136, 12)
HEARTBEAT_S = 0.4


@attrs.define
class Node:
    """One process of the system.

    Attributes:
        name: Its VM.
        role: `gateway` or `coordinator`.
        zone: Its zone.
        number: Last part of its addresses, distinct for each node.
        slot: Address block; distinct for each run that shares the machine.
        folder: Folder of its files.
        process: The process; None while it is down.
        start_count: How often it has been started.
        stopped_by_harness: Whether a signal of the harness ends it.
        last_fault_at: When its last fault began or ended.
        sources: Folder of its program; None for a copy of this build.
    """

    name: str
    role: str
    zone: str
    number: int
    slot: int
    folder: pathlib.Path
    process: subprocess.Popen | None = None
    start_count: int = 0
    stopped_by_harness: bool = False
    last_fault_at: float = 0.0
    sources: pathlib.Path | None = None

    @property
    def ip(self) -> str:
        """Address at which other nodes reach it, through the proxy."""
        return f"127.{78 + self.slot}.1.{self.number}"

    @property
    def bind_ip(self) -> str:
        """Address that it binds and listens on."""
        return f"127.{78 + self.slot}.2.{self.number}"

    @property
    def ports(self) -> tuple[int, ...]:
        """Ports that it listens on."""
        if self.role == "gateway":
            return (CALLER_PORT, READY_PORT, PEER_PORT, RELAY_PORT)
        return (CONTROL_PORT, PEER_PORT)

    @property
    def firewall(self) -> pathlib.Path:
        """File that exists while the node is cut off from backend servers."""
        return self.folder / "firewall"

    def count_relayed(self) -> int:
        """Returns the logged attempts that went through a relay."""
        log = self.folder / "log.jsonl"
        return log.read_bytes().count(b'"relay":"z') if log.exists() else 0

    def write_settings(
        self,
        seeds: list[str],
        *,
        is_bootstrap: bool,
        retry_burst: float,
        max_lost: int = 1,
        bounds: Mapping[str, float] = types.MappingProxyType({}),
        limits: Mapping[str, int] = types.MappingProxyType({}),
    ) -> None:
        """Writes its settings file.

        Args:
            seeds: IP addresses of coordinators.
            is_bootstrap: Whether the whole system starts for the first time.
            retry_burst: Retries beyond the share of requests, in a window.
            max_lost: Coordinators that may be lost at the same time.
            bounds: Further bounds by name.
            limits: What its machine has, by name.
        """
        lines = [
            f"NodeName={self.name}",
            f"Ip={self.ip}",
            f"Zone={self.zone}",
            *(f"Zones.{zone}=r" for zone in ZONES),
            f"InternalPorts={PEER_PORT},{PEER_PORT + 8}",
            f"Seeds={','.join(f'{s}:{CONTROL_PORT}' for s in seeds)}",
            f"Bootstrap={'true' if is_bootstrap else 'false'}",
            f"HeartbeatMs={int(HEARTBEAT_S * 1000)}",
            f"Bounds.GraceS={GRACE_S}",
            f"Bounds.BudgetRatio={RETRY_RATIO}",
            f"Bounds.BudgetExtra={retry_burst}",
            f"FaultTolerance.Machines={max_lost}",
            *(f"Bounds.{name}={value}" for name, value in bounds.items()),
            *(f"Limits.{name}={value}" for name, value in limits.items()),
        ]
        if self.role == "gateway":
            lines += [
                f"Listen.Front={self.ip}:{CALLER_PORT}",
                f"Listen.ReadinessAddress={self.ip}:{READY_PORT}",
            ]
        else:
            lines += [
                f"Listen.Control={self.ip}:{CONTROL_PORT}",
                f"DataDir={self.folder / 'data'}",
            ]
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / "data").mkdir(exist_ok=True)
        path = self.folder / "node.conf"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")

    def start(self) -> None:
        """Starts the process."""
        self.start_count += 1
        self.stopped_by_harness = False
        sources = self.sources or self.folder.parent / "src"
        if not sources.exists():
            # Restarts must run the same program, also if somebody edits it.
            shutil.copytree(ROOT / "src", sources)
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(sources),
            "HICKORYLEAD_NODE_FILE": str(self.folder / "node.conf"),
            "HICKORYLEAD_BIND_IP": self.bind_ip,
            firewall.FILE_VARIABLE: str(self.firewall),
            firewall.PREFIX_VARIABLE: f"127.{78 + self.slot}.3.",
        }
        with (self.folder / "log.jsonl").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, str(FIREWALL), self.role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process unless it has ended."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_for_exit(self, timeout_s: float) -> bool:
        """Waits for the process to end; returns whether it has ended."""
        deadline = time.monotonic() + timeout_s
        while self.process is not None and self.process.poll() is None:
            if time.monotonic() > deadline:
                return False
            await asyncio.sleep(0.02)
        return True

    async def kill(self) -> None:
        """Ends the process with SIGKILL, also while it is stopped."""
        self.stopped_by_harness = True
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        await self.wait_for_exit(5.0)

    async def stop(self) -> None:
        """Ends the process with SIGTERM, or with SIGKILL after GRACE_S."""
        self.stopped_by_harness = True
        self.send_signal(signal.SIGTERM)
        if not await self.wait_for_exit(GRACE_S):
            await self.kill()

    def wipe(self) -> None:
        """Deletes its data."""
        shutil.rmtree(self.folder / "data")
        (self.folder / "data").mkdir()

    def tear_journal(self) -> None:
        """Appends a torn record to its journal."""
        for path in (self.folder / "data").rglob("journal*"):
            if path.is_file() and path.stat().st_size:
                with path.open("ab") as journal:
                    journal.write(b"\0\0\0\x40\x12\x34")

    def get_unexpected_exit_code(self) -> int | None:
        """Returns the exit code if the process ended by itself, else None."""
        if self.process is None or self.stopped_by_harness:
            return None
        return self.process.poll()
