"""The real programs as processes, and the signals that they get."""

from __future__ import annotations

import asyncio
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import time

import attrs

ROOT = pathlib.Path(__file__).resolve().parents[2]
CALLER_PORT, READY_PORT, CONTROL_PORT, PEER_PORT = 7801, 7802, 7803, 7804
ZONES = ("z1", "z2", "z3")
GRACE_S = 8.0
HEARTBEAT_S = 0.4


@attrs.define
class Node:
    """One process of the system.

    Attributes:
        name: Its VM.
        role: `gateway` or `coordinator`.
        zone: Its zone.
        number: Tells its addresses from others.
        slot: Tells runs apart that share the machine.
        folder: Where its files are.
        process: The process; None while it is down.
        life: Counts its starts.
        stopped_by_us: Whether a signal of ours ends it.
        troubled_at: When it last had a fault, or got over one.
    """

    name: str
    role: str
    zone: str
    number: int
    slot: int
    folder: pathlib.Path
    process: subprocess.Popen | None = None
    life: int = 0
    stopped_by_us: bool = False
    troubled_at: float = 0.0

    @property
    def ip(self) -> str:
        """Where others reach it."""
        return f"127.{78 + self.slot}.1.{self.number}"

    @property
    def bind_ip(self) -> str:
        """Where it listens."""
        return f"127.{78 + self.slot}.2.{self.number}"

    @property
    def ports(self) -> tuple[int, ...]:
        """The ports that it opens."""
        if self.role == "gateway":
            return (CALLER_PORT, READY_PORT, PEER_PORT)
        return (CONTROL_PORT, PEER_PORT)

    def write_settings(self, seeds: list[str], *, first: bool) -> None:
        """Writes its settings file."""
        lines = [
            f"NodeName={self.name}",
            f"Ip={self.ip}",
            f"Zone={self.zone}",
            *(f"Zones.{zone}=r" for zone in ZONES),
            f"InternalPorts={PEER_PORT},{PEER_PORT + 8}",
            f"Seeds={','.join(f'{s}:{CONTROL_PORT}' for s in seeds)}",
            f"Bootstrap={'true' if first else 'false'}",
            f"HeartbeatMs={int(HEARTBEAT_S * 1000)}",
            f"Bounds.GraceS={GRACE_S}",
            "Bounds.BudgetRatio=0.2",
            "Bounds.BudgetExtra=136",
            "FaultTolerance.Machines=1",
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
        self.life += 1
        self.stopped_by_us = False
        sources = self.folder.parent / "src"
        if not sources.exists():
            # Restarts must run the same program, also if somebody edits it.
            shutil.copytree(ROOT / "src", sources)
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(sources),
            "HICKORYLEAD_NODE_FILE": str(self.folder / "node.conf"),
            "HICKORYLEAD_BIND_IP": self.bind_ip,
        }
        with (self.folder / "log.jsonl").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "hickorylead.platform", self.role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def send(self, number: signal.Signals) -> None:
        """Sends it a signal, by its own id."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_end(self, limit_s: float) -> bool:
        """Waits until it has ended; says whether it did."""
        ends = time.monotonic() + limit_s
        while self.process is not None and self.process.poll() is None:
            if time.monotonic() > ends:
                return False
            await asyncio.sleep(0.02)
        return True

    async def kill(self) -> None:
        """Ends it at once."""
        self.stopped_by_us = True
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        await self.wait_end(5.0)

    async def stop(self) -> None:
        """Ends it with SIGTERM, and with SIGKILL after the time for that."""
        self.stopped_by_us = True
        self.send(signal.SIGTERM)
        if not await self.wait_end(GRACE_S):
            await self.kill()

    def wipe(self) -> None:
        """Empties its disk."""
        shutil.rmtree(self.folder / "data")
        (self.folder / "data").mkdir()

    def tear(self) -> None:
        """Leaves half a record behind what its journal holds."""
        for path in (self.folder / "data").rglob("journal*"):
            if path.is_file() and path.stat().st_size:
                with path.open("ab") as opened:
                    opened.write(b"\0\0\0\x40\x12\x34")

    def find_own_end(self) -> int | None:
        """Returns the exit code if it ended by itself; else None."""
        if self.process is None or self.stopped_by_us:
            return None
        return self.process.poll()
