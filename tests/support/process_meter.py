"""Measures what a process uses while a crowd is connected to it."""

from __future__ import annotations

import asyncio
import os
import pathlib
import subprocess

import attrs

POLL_S = 0.02
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@attrs.define
class Usage:
    """The most that a process has used.

    Attributes:
        memory_bytes: Resident memory, and what its sockets hold unread.
        descriptors: Open descriptors.
    """

    memory_bytes: int = 0
    descriptors: int = 0


class Meter:
    """Measures one process while a crowd is connected to it."""

    def __init__(self, process: subprocess.Popen, ip: str) -> None:
        """Makes a meter.

        Args:
            process: The process.
            ip: Its IP address.
        """
        self._folder = pathlib.Path(f"/proc/{process.pid}")
        self._ip = "".join(f"{int(part):02X}" for part in ip.split(".")[::-1])
        self.usage = Usage()

    async def run(self) -> None:
        """Measures until it is cancelled."""
        while True:
            self.measure()
            await asyncio.sleep(POLL_S)

    def measure(self) -> None:
        """Records what the process uses now."""
        try:
            status = (self._folder / "status").read_text(encoding="ascii")
            descriptors = len(os.listdir(self._folder / "fd"))
        except OSError:
            # The process has ended; the scenario notices.
            return
        fields = dict(
            line.split(":", 1) for line in status.splitlines() if ":" in line
        )
        if "VmHWM" not in fields:
            return
        peak, present = (
            1024 * int(fields[name].split()[0]) for name in ("VmHWM", "VmRSS")
        )
        self.usage.memory_bytes = max(
            self.usage.memory_bytes, peak, present + self._count_unread()
        )
        self.usage.descriptors = max(self.usage.descriptors, descriptors)

    def read_processor_s(self) -> float:
        """Returns the processor time of the process, in seconds."""
        text = (self._folder / "stat").read_text(encoding="ascii")
        user, system = text.rpartition(")")[2].split()[11:13]
        return (int(user) + int(system)) / TICKS_PER_S

    def _count_unread(self) -> int:
        lines = pathlib.Path("/proc/net/tcp").read_text(encoding="ascii")
        return sum(
            int(columns[4].split(":")[1], 16)
            for columns in map(str.split, lines.splitlines()[1:])
            if columns[1].startswith(self._ip)
        )
