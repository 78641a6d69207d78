"""Counts responses that end early in a large fleet of real processes.

`python tests/soak/fleet.py --seconds 30` starts gateways, coordinators, backend
servers and callers, all at once, and then changes the configuration in series.
Nothing is lost on purpose: engines may be silent for some time, and gateways
may be paused, but each run that a gateway does not leave completes.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
if __name__ == "__main__":
    sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "src")]

import attrs  # noqa: E402
import orjson  # noqa: E402

from hickorylead.telemetry import losses  # noqa: E402
from hickorylead_standins import platform  # noqa: E402
from soak import nodes  # noqa: E402

FIRST_VERSION = 91
PAUSE_S = (0.15, 0.4)
ZONE_SERVERS = 54
ADDED_ROUTES = 1500
END_S = 8.0


class FleetNode(nodes.Node):
    """A process that is reached without a proxy."""

    @property
    def bind_ip(self) -> str:
        """Address that it binds."""
        return self.ip


@attrs.frozen
class EarlyEnd:
    """A response that ended early.

    Attributes:
        attempt: The request.
        seen: What its caller saw.
        outcome: How it ended according to its gateway.
        failures: Why its attempts failed.
        was_abandoned: Whether its gateway ended it, not its server.
        servers: What its servers did with it, in order.
    """

    attempt: str
    seen: str
    outcome: str
    failures: str
    was_abandoned: bool
    servers: tuple[str, ...]


class Fleet:
    """Processes of one run."""

    def __init__(self, options: argparse.Namespace) -> None:
        """Makes a fleet; `run` starts it."""
        self._options = options
        self._folder = pathlib.Path(options.keep or tempfile.mkdtemp())
        self._rng = random.Random(options.seed)
        self._version = FIRST_VERSION
        self._processes: list[subprocess.Popen] = []
        self.loads: list[subprocess.Popen] = []
        self.nodes = [
            FleetNode(
                f"{zone}-{role}-{number}",
                role,
                zone,
                first + 3 * number + place,
                options.slot,
                self._folder / f"{zone}-{role}-{number}",
            )
            for place, zone in enumerate(nodes.ZONES)
            for role, count, first in (
                ("coordinator", 2, 1),
                ("gateway", (options.gateways + place) // 3, 11),
            )
            for number in range(count)
        ]

    @property
    def gateways(self) -> list[FleetNode]:
        """The gateways."""
        return [node for node in self.nodes if node.role == "gateway"]

    @property
    def coordinators(self) -> list[FleetNode]:
        """The coordinators."""
        return [node for node in self.nodes if node.role == "coordinator"]

    async def run(self) -> None:
        """Runs the fleet until its callers have ended."""
        try:
            self._start()
            await self._send(make_configuration(self._version, 0))
            async with asyncio.TaskGroup() as group:
                disturbances = [
                    group.create_task(self._change_configuration()),
                    group.create_task(self._pause_gateways()),
                ]
                while any(load.poll() is None for load in self.loads):
                    await asyncio.sleep(0.2)
                for task in disturbances:
                    task.cancel()
        finally:
            for node in self.nodes:
                await node.kill()
            for process in [*self._processes, *self.loads]:
                process.terminate()
                process.wait()

    def _start(self) -> None:
        options = self._options
        for node in self.nodes:
            self._write_settings(node)
            node.start()
        for place, zone in enumerate(nodes.ZONES):
            own = [n for n in self.coordinators if n.zone == zone]
            others = [n for n in self.coordinators if n.zone != zone]
            controls = ",".join(
                f"{n.ip}:{nodes.CONTROL_PORT}" for n in (*own, *others)
            )
            self._processes.append(
                self._start_script(
                    "batch_servers.py",
                    zone=zone,
                    prefix=f"127.{78 + options.slot}.3",
                    first=1 + place * ZONE_SERVERS,
                    count=ZONE_SERVERS,
                    controls=controls,
                    log=self._folder / f"servers-{zone}.jsonl",
                    silences_per_s=options.silences_per_s,
                )
            )
            ips = [n.ip for n in self.gateways if n.zone == zone]
            self.loads.append(
                self._start_script(
                    "stream_load.py",
                    name=f"{zone}x{options.seed}",
                    gateways=",".join(ips),
                    per_s=options.per_s / len(nodes.ZONES),
                    seconds=options.seconds,
                    log=self._folder / f"load-{zone}.jsonl",
                )
            )

    def _write_settings(self, node: FleetNode) -> None:
        node.write_settings(
            [other.ip for other in self.coordinators[:3]],
            is_bootstrap=node.role == "coordinator",
            retry_burst=self._options.retry_burst,
        )

    def _start_script(self, script: str, **arguments) -> subprocess.Popen:
        words = [
            word
            for key, value in arguments.items()
            for word in (f"--{key.replace('_', '-')}", str(value))
        ]
        with (self._folder / "scripts.log").open("ab") as log:
            return subprocess.Popen(
                [sys.executable, str(ROOT / "tests/soak" / script), *words],
                stdout=log,
                stderr=log,
            )

    async def _change_configuration(self) -> None:
        await asyncio.sleep(self._options.calm_s)
        step = 0
        while self._options.changes:
            step += 1
            self._version += self._rng.randint(1, 4)
            await self._send(make_configuration(self._version, step))
            await asyncio.sleep(self._options.change_gap_s)

    async def _pause_gateways(self) -> None:
        """Stops some gateways for a moment, at random times."""
        async with asyncio.TaskGroup() as group:
            while self._options.pauses_per_s:
                await asyncio.sleep(
                    self._rng.expovariate(self._options.pauses_per_s)
                )
                node = self._rng.choice(self.gateways)
                group.create_task(self._pause(node))

    async def _pause(self, node: FleetNode) -> None:
        node.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(*PAUSE_S))
        node.send_signal(signal.SIGCONT)

    async def _send(self, configuration: dict) -> None:
        body = orjson.dumps(configuration)
        while True:
            node = self._rng.choice(self.coordinators)
            try:
                async with asyncio.timeout(2.0):
                    status = await platform.post_json(
                        f"{node.ip}:{nodes.CONTROL_PORT}",
                        "/config/replace",
                        body,
                    )
            except TimeoutError:
                # It is not ready yet, or the machine is busy: try another one.
                status = 0
            if status == 200:
                return
            await asyncio.sleep(0.1)

    # Results.

    def find_early_ends(self) -> tuple[collections.Counter, list[EarlyEnd]]:
        """Returns the number of requests by end, and those that ended early."""
        ended = {}
        failed = collections.defaultdict(list)
        attempts = {}
        for node in self.gateways:
            for line in read_lines(node.folder / "log.jsonl"):
                if line.get("event") == "request_ended":
                    ended[line["attempt_id"]] = line
                    attempts[line["request_id"]] = line["attempt_id"]
                elif line.get("event") == "attempt_failed":
                    failed[line["request_id"]].append(line["reason"])
        failures = {
            attempts[request_id]: reasons
            for request_id, reasons in failed.items()
            if request_id in attempts
        }
        runs = collections.defaultdict(list)
        for path in self._folder.glob("servers-*.jsonl"):
            for line in read_lines(path):
                if "attempt" in line:
                    runs[line["attempt"]].append(line["end"])
        counts: collections.Counter[str] = collections.Counter()
        early = []
        for path in self._folder.glob("load-*.jsonl"):
            for line in read_lines(path):
                counts[line["end"]] += 1
                if line["end"] in ("complete", "refused"):
                    continue
                attempt = line["attempt"]
                early.append(
                    EarlyEnd(
                        attempt,
                        f"{line['end']} {line['status']}",
                        ended.get(attempt, {}).get("outcome", "no line"),
                        "+".join(failures.get(attempt, [])),
                        losses.was_abandoned(ended.get(attempt, {})),
                        tuple(runs.get(attempt, [])),
                    )
                )
        return counts, early

    def count_events(self) -> collections.Counter[str]:
        """Returns how often gateways wrote some log lines."""
        counts: collections.Counter[str] = collections.Counter()
        for node in self.gateways:
            for line in read_lines(node.folder / "log.jsonl"):
                event = line.get("event", "")
                if event == "attempt_failed":
                    counts[f"attempt_failed: {line['reason']}"] += 1
                elif event == "request_ended":
                    counts[f"request_ended: {line['outcome']}"] += 1
                elif event:
                    counts[event] += 1
        return counts


def make_configuration(version: int, step: int) -> dict:
    """Returns a configuration; each step differs from the one before.

    Args:
        version: Its version.
        step: Number of the change; 0 for the first configuration.
    """
    routes = [
        {
            "Name": kind,
            "Hostname": "host.example",
            "PathPrefix": f"/{kind}/",
            "Kind": "streaming",
            "TimeoutMs": 6000 + 50 * (step % 3),
            "TargetLatencyMs": 300,
            "GapTargetMs": 200,
            "MaxAttempts": 2,
            "SessionAffinity": True,
            "StreamResume": True,
            "TrafficSplit": [
                {"Service": "models", "Weight": 90 + step % 7},
            ],
        }
        for kind in ("quote", "faq", "rule")
    ]
    routes += [
        {
            **routes[0],
            "Name": f"added-{number}",
            "PathPrefix": f"/added-{number}/",
        }
        for number in range(ADDED_ROUTES if step else 240)
    ]
    models = [
        {"Name": "large", "size": 8, "Share": 0.5, "pace": 1.0},
        {"Name": "small", "size": 2, "Share": 0.5, "pace": 0.6},
    ]
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {
                "Name": "models",
                "HealthPath": "/health",
                "MaxConnections": 660,
                "Engine": {
                    "Slots": 6,
                    "step_ms": 7.8,
                    "per_seq_ms": 0.3,
                    "read_per_s": 45_900,
                    "Stride": 6,
                    "chunk": 2048,
                    "LoadsPerS": 100.0,
                    "Models": [
                        {**model, "LoadS": 1.5, "WarmS": 0.5}
                        for model in models
                    ],
                },
            },
        ],
        "Limits": {
            "MaxBodyBytes": 4194304,
            "MaxHeaderBytes": 16384,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000 + 500 * (step % 4),
        },
        "Tenants": [
            {"Name": "crew-1-a", "ApiKeys": ["key-1", f"key-{version}"]}
        ],
    }


def read_lines(path: pathlib.Path) -> list[dict]:
    """Returns the log lines in a file; none if it does not exist."""
    found = []
    for row in path.read_bytes().splitlines() if path.exists() else ():
        try:
            found.append(orjson.loads(row))
        except orjson.JSONDecodeError:
            # The last line of a killed process may be incomplete.
            continue
    return found


def main() -> int:
    """Runs one fleet; returns 1 if a response ended early."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--slot", type=int, default=20, help="address block")
    parser.add_argument("--gateways", type=int, default=70)
    parser.add_argument("--per-s", type=float, default=300.0)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--calm-s", type=float, default=6.0)
    parser.add_argument("--changes", type=int, default=1, help="0 for none")
    parser.add_argument("--change-gap-s", type=float, default=1.5)
    parser.add_argument("--pauses-per-s", type=float, default=0.0)
    parser.add_argument("--silences-per-s", type=float, default=0.0)
    parser.add_argument("--retry-burst", type=float, default=240.0)
    parser.add_argument("--keep", help="folder for logs")
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    fleet = Fleet(options)
    began = time.monotonic()
    asyncio.run(fleet.run())
    counts, early = fleet.find_early_ends()
    print(f"{time.monotonic() - began:.0f} s;", dict(counts))  # noqa: T201
    print("logs:", dict(fleet.count_events().most_common(30)))  # noqa: T201
    groups = collections.Counter(
        (e.seen, e.outcome, e.failures, " then ".join(e.servers)) for e in early
    )
    abandoned = sum(e.was_abandoned for e in early)
    print(f"ended early: {len(early)}, abandoned: {abandoned}")  # noqa: T201
    for key, count in groups.most_common(30):
        print(f"{count:6}  {' | '.join(key)}")  # noqa: T201
    return 1 if early else 0


if __name__ == "__main__":
    sys.exit(main())
