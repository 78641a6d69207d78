"""Runs the configuration of a large fleet beside busy processes.

`python tests/soak/overload.py --busy 24 --seed 11 --seconds 40` runs
`configuration_fleet.py` and keeps that many other processes busy meanwhile.
`--curve 0,8,16,24,32` runs once for each number and prints one row a run.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import os
import pathlib
import signal
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
if __name__ == "__main__":
    sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "src")]

import attrs  # noqa: E402

from soak import (  # noqa: E402
    configuration_fleet,
    fleet as fleet_module,
)

BUSY_PROGRAM = """
import sys, time
end = time.monotonic() + float(sys.argv[1])
while time.monotonic() < end:
    pass
"""
# Longest life of a busy process, in seconds: it ends by itself if its harness
# is killed.
MAX_BUSY_S = 300.0
CALM_AFTER_S = 5.0
SAME_SERVER_S = 1.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@attrs.frozen
class Row:
    """What one run showed of its coordinators.

    Attributes:
        busy: Number of busy processes.
        acked: Acknowledged changes.
        sent: Changes that were sent.
        reads: Reads that were answered within a second.
        read_attempts: All reads.
        read_back_s: Time to read back after all were killed, in seconds; None
            without an answer.
        late_s: Latest tick of a coordinator that was not stopped, in seconds.
        late_ticks: Ticks that were late, by more than 0.1 s.
        leaders_per_minute: Changes of the leader.
        contested: Servers with orders of two coordinators within a second.
        orders: Orders.
        groups: Groups that were to be formed.
        calm_leaders: Changes of the leader from 5 s after the end of the load.
        calm_late_s: Latest tick from 5 s after the end of the load, in seconds.
        processor_share: Mean share of a core that a coordinator took.
        violations: Broken promises.
    """

    busy: int
    acked: int
    sent: int
    reads: int
    read_attempts: int
    read_back_s: float | None
    late_s: float
    late_ticks: int
    leaders_per_minute: float
    contested: int
    orders: int
    groups: int
    calm_leaders: int
    calm_late_s: float
    processor_share: float
    violations: int


def start_busy(count: int) -> list[subprocess.Popen]:
    """Starts processes that take all processor time that they get."""
    return [
        subprocess.Popen([sys.executable, "-c", BUSY_PROGRAM, str(MAX_BUSY_S)])
        for _ in range(count)
    ]


def end_busy(processes: list[subprocess.Popen]) -> None:
    """Ends busy processes."""
    for process in processes:
        process.terminate()
    for process in processes:
        process.wait()


class LoadedFleet(configuration_fleet.ConfigurationFleet):
    """A fleet that shares its machine with busy processes."""

    def __init__(self, options: argparse.Namespace) -> None:
        """Makes a fleet; `run` starts it and the load."""
        super().__init__(options)
        self._load: list[subprocess.Popen] = []
        self.load_ended_at = float("inf")
        self.started_at = time.time()
        self.killed_at = float("inf")
        self.read_attempts = 0
        self._shares: list[float] = []

    async def run(self) -> None:
        """Runs the fleet beside the load, which ends before or after it."""
        self._load += start_busy(self._options.busy)
        ender = asyncio.ensure_future(self._end_load_early())
        try:
            await super().run()
        finally:
            ender.cancel()
            self._end_load()

    async def _end_load_early(self) -> None:
        if self._options.busy_seconds:
            await asyncio.sleep(self._options.busy_seconds)
            self._end_load()

    def _end_load(self) -> None:
        if self._load:
            self.load_ended_at = time.time()
        end_busy(self._load)
        self._load.clear()

    async def _read(self, timeout_s: float) -> tuple[int, str] | None:
        self.read_attempts += time.time() < self.killed_at
        return await super()._read(timeout_s)

    async def _read_back(self) -> None:
        self.killed_at = time.time()
        for node in self.coordinators:
            process = node.process
            if process is not None and process.poll() is None:
                self._shares.append(_measure_share(process.pid))
        await super()._read_back()

    def summarize(self) -> Row:
        """Returns what the run showed."""
        counts = self.checker.counts
        lateness, leaders, orders, groups = [], [], [], set()
        for node in self.coordinators:
            for line in fleet_module.read_lines(node.folder / "log.jsonl"):
                match line.get("event"):
                    case "loop_late":
                        lateness.append((line["time"], line["late_s"], node))
                    case "leader_changed":
                        leaders.append((line["term"], line["time"]))
                    case "order_given":
                        orders.append((line["time"], line["server"], node.name))
                        if line["order"] == "join":
                            groups.add(line["group"])
        until = min(self.killed_at, time.time())
        terms = {}
        for term, at in leaders:
            terms[term] = min(at, terms.get(term, at))
        running = [at for at in terms.values() if at < until]
        calm_from = self.load_ended_at + CALM_AFTER_S
        calm = [at for at in running if at > calm_from]
        last_by_server: dict[str, collections.deque] = {}
        contested = set()
        for at, server, name in sorted(orders):
            if at > until:
                continue
            seen = last_by_server.setdefault(
                server, collections.deque(maxlen=16)
            )
            if any(
                other != name and at - earlier < SAME_SERVER_S
                for earlier, other in seen
            ):
                contested.add(server)
            seen.append((at, name))
        milliseconds = counts.get("ms to read back")
        shares = self._shares
        before = [late for late in lateness if late[0] < until]
        return Row(
            busy=self._options.busy,
            acked=sum(
                version.acked_at < float("inf")
                for version in self.checker.versions.values()
            ),
            sent=len(self.checker.versions),
            reads=counts["read"] - bool(milliseconds),
            read_attempts=self.read_attempts,
            read_back_s=milliseconds / 1000 if milliseconds else None,
            late_s=max((late_s for _, late_s, _ in before), default=0.0),
            late_ticks=len(before),
            leaders_per_minute=round(
                60 * len(running) / (until - self.started_at), 1
            ),
            contested=len(contested),
            orders=sum(at < until for at, _, _ in orders),
            groups=len(groups),
            calm_leaders=len(calm),
            calm_late_s=max(
                (late_s for at, late_s, _ in before if at > calm_from),
                default=0.0,
            ),
            processor_share=round(sum(shares) / len(shares), 3)
            if shares
            else 0.0,
            violations=len(self.checker.violations),
        )


def _measure_share(pid: int) -> float:
    """Returns the share of a core that a process took since its start."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    used_s = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
    started_s = int(fields[19]) / CLOCK_TICKS_PER_S
    return used_s / (time.clock_gettime(time.CLOCK_BOOTTIME) - started_s)


def main() -> int:
    """Runs one fleet for each load; returns 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    configuration_fleet.add_options(parser)
    parser.add_argument("--busy", type=int, default=24)
    parser.add_argument(
        "--busy-seconds", type=float, default=0.0, help="0: until the end"
    )
    parser.add_argument("--curve", help="numbers of busy processes, by commas")
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    loads = options.curve.split(",") if options.curve else [options.busy]
    is_broken = False
    for busy in loads:
        chosen = argparse.Namespace(**{**vars(options), "busy": int(busy)})
        if options.keep and options.curve:
            chosen.keep = f"{options.keep}/{busy}"
        fleet = LoadedFleet(chosen)
        asyncio.run(fleet.run())
        row = fleet.summarize()
        print(attrs.asdict(row), flush=True)  # noqa: T201
        print(dict(sorted(fleet.checker.counts.items())))  # noqa: T201
        for violation in fleet.checker.violations[:20]:
            print(violation, flush=True)  # noqa: T201
        is_broken = is_broken or bool(row.violations)
    return 1 if is_broken else 0


if __name__ == "__main__":
    sys.exit(main())
