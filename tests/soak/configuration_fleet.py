"""Changes the configuration of a large fleet of real processes under faults.

`python tests/soak/configuration_fleet.py --seed 1 --seconds 40` starts 70
gateways, 6 coordinators in three zones, backend servers and callers. Operators
change and read the configuration while processes are stopped, killed and lose
their disks; at the end all are killed at once, and some disks are lost.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import pathlib
import random
import signal
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
if __name__ == "__main__":
    sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "src")]

import orjson  # noqa: E402

from hickorylead_standins import platform  # noqa: E402
from soak import (  # noqa: E402
    configuration_checker as checker_module,
    fleet as fleet_module,
    nodes,
)

APPLY_S = 2.5
MAX_LOST = 2
BOUNDS = {"CatchUpS": 6, "ConfigApplyMs": 2500, "ContactMs": 4000}
MAX_PENDING = 8
KEPT_ROUTES = 12
SILENT_TIMEOUT_S = 0.8
CALL_TIMEOUT_S = 1.0
BYTES_PER_S = 1_000_000
PROBE_TIMEOUT_S = 4.0
# Time after a lost disk until the next one may be lost, in seconds.
WIPE_GAP_S = 14.0
READ_BACK_S = 15.0
INVALID = ("cut_short", "unknown_service", "same_place", "no_weight")


class ConfigurationFleet(fleet_module.Fleet):
    """A fleet whose configuration changes all the time."""

    def __init__(self, options: argparse.Namespace) -> None:
        """Makes a fleet; `run` starts it."""
        super().__init__(options)
        self._options = options
        self.checker = checker_module.ConfigurationChecker(APPLY_S)
        self._pending = 0
        self._steps = 0
        self._bodies: dict[int, bytes] = {}
        self._added: collections.deque[int] = collections.deque(
            maxlen=KEPT_ROUTES
        )
        self._wiped_at = -1e9
        self._busy: set[str] = set()
        self._attempts = 0
        for node in self.nodes:
            if options.sources:
                node.sources = pathlib.Path(options.sources)

    async def run(self) -> None:
        """Runs the fleet, then loses all processes and reads back."""
        try:
            self._start()
            await self._change(is_first=True)
            tasks = self._start_tasks()
            await asyncio.sleep(self._options.seconds)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await self._read_back()
        finally:
            for node in self.nodes:
                await node.kill()
            for process in [*self._processes, *self.loads]:
                process.terminate()
                process.wait()
        self.checker.finish()

    def _start(self) -> None:
        super()._start()
        self._processes.append(
            self._start_script(
                "plain_servers.py",
                zones=",".join(nodes.ZONES),
                prefix=f"127.{78 + self._options.slot}.3",
                controls=",".join(
                    f"{n.ip}:{nodes.CONTROL_PORT}" for n in self.coordinators
                ),
            )
        )

    def _write_settings(self, node: fleet_module.FleetNode) -> None:
        node.write_settings(
            [n.ip for n in self.coordinators[:3]],
            is_bootstrap=node.role == "coordinator" and not self._steps,
            retry_burst=self._options.retry_burst,
            max_lost=MAX_LOST,
            bounds=BOUNDS,
        )

    def _start_tasks(self) -> list[asyncio.Task[None]]:
        work = [
            self._change_forever(),
            self._read_forever(),
            self._send_invalid_forever(),
            *(self._probe_forever(node) for node in self.gateways),
        ]
        if self._options.faults_per_s:
            work.append(self._inject_forever())
        return [asyncio.ensure_future(w) for w in work]

    # Operators.

    async def _change_forever(self) -> None:
        async with asyncio.TaskGroup() as group:
            await asyncio.sleep(self._options.calm_s)
            while True:
                await asyncio.sleep(self._options.change_gap_s)
                if self._pending < MAX_PENDING:
                    group.create_task(self._change())

    async def _change(self, *, is_first: bool = False) -> None:
        """Sends a new version until it is acknowledged."""
        self._steps += 1
        self._version += self._rng.randint(1, 4)
        number = self._version
        self._added.append(number)
        body, digest = self._make_body(number, "a")
        self._bodies[number] = body
        version = self.checker.record_sent(number, digest)
        self._pending += 1
        wait_s = 0.1
        try:
            while True:
                status = await self._replace(body)
                is_lost = self._rng.random() < self._options.ack_loss
                if status and (is_first or not is_lost):
                    self.checker.record_answer(
                        version, status, time.monotonic()
                    )
                    if 200 <= status < 500:
                        break
                await asyncio.sleep(wait_s)
                wait_s = min(1.0, wait_s * 1.5)
        finally:
            self._pending -= 1
        if self._rng.random() < 0.2:
            await self._repeat(version)

    async def _repeat(self, version: checker_module.Version) -> None:
        """Sends a version again, with its own or with other content."""
        body = self._bodies[version.number]
        if self._rng.random() < 0.5:
            body, _ = self._make_body(version.number, "b")
        status = await self._replace(body)
        if status:
            self.checker.record_answer(version, status, time.monotonic())

    async def _send_invalid_forever(self) -> None:
        while True:
            await asyncio.sleep(2.0)
            number = self._version + 1
            configuration, digest = self._make(number, "invalid")
            kind = self._rng.choice(INVALID)
            routes = configuration["Routes"]
            match kind:
                case "unknown_service":
                    routes[0]["TrafficSplit"] = [
                        {"Service": "nobody", "Weight": 1}
                    ]
                case "same_place":
                    routes.append({**routes[0], "Name": "twice"})
                case "no_weight":
                    routes[0]["TrafficSplit"] = [
                        {"Service": "models", "Weight": 0}
                    ]
            body = orjson.dumps(configuration)
            if kind == "cut_short":
                body = body[:-20]
            status = await self._replace(body)
            self.checker.record_invalid(number, digest, status)

    async def _replace(self, body: bytes) -> int:
        node = self._rng.choice(self.coordinators)
        try:
            async with asyncio.timeout(
                CALL_TIMEOUT_S + len(body) / BYTES_PER_S
            ):
                return await platform.post_json(
                    f"{node.ip}:{nodes.CONTROL_PORT}", "/config/replace", body
                )
        except TimeoutError:
            # The outcome is unknown: the caller sends it again.
            return 0

    async def _read_forever(self) -> None:
        while True:
            await asyncio.sleep(0.25)
            sent_at = time.monotonic()
            found = await self._read(CALL_TIMEOUT_S)
            if found is not None:
                self.checker.record_read(sent_at, *found)

    async def _read(self, timeout_s: float) -> tuple[int, str] | None:
        node = self._rng.choice(self.coordinators)
        status, body = await _call(
            f"{node.ip}:{nodes.CONTROL_PORT}", "/config/read", {}, timeout_s
        )
        if status != 200:
            return None
        found = orjson.loads(body)
        label = found["Tenants"][0]["Name"]
        return found["Version"], label.partition("-")[2]

    def _make_body(self, number: int, variant: str) -> tuple[bytes, str]:
        configuration, digest = self._make(number, variant)
        return orjson.dumps(configuration), digest

    def _make(self, number: int, variant: str) -> tuple[dict, str]:
        options = self._options
        is_large = self._steps > options.large_after
        configuration = fleet_module.make_configuration(
            number, self._steps if is_large else 0
        )
        routes = configuration["Routes"]
        desk = {
            "Name": "desk",
            "Hostname": "host.example",
            "PathPrefix": "/desk/",
            "Kind": "idempotent",
            "TimeoutMs": 3000,
            "TargetLatencyMs": 300,
            "MaxAttempts": 2,
            "Service": "desk",
        }
        silent = {
            **desk,
            "Name": "silent",
            "PathPrefix": "/silent/",
            "TimeoutMs": int(1000 * SILENT_TIMEOUT_S),
            "MaxAttempts": 1,
        }
        routes += [desk, silent]
        routes += [
            {**desk, "Name": f"new-{added}", "PathPrefix": f"/new-{added}/"}
            for added in self._added
        ]
        configuration["Services"].append({"Name": "desk"})
        if options.padding_bytes:
            rng = random.Random(f"{number} {variant}")
            configuration["Tenants"].append(
                {
                    "Name": "other",
                    "ApiKeys": [
                        rng.randbytes(40).hex()
                        for _ in range(options.padding_bytes // 83)
                    ],
                }
            )
        digest = random.Random(f"{options.seed} {number} {variant}").randbytes(
            4
        )
        configuration["Tenants"][0]["Name"] = f"{number}-{digest.hex()}"
        return configuration, digest.hex()

    # Callers.

    async def _probe_forever(self, node: fleet_module.FleetNode) -> None:
        rng = random.Random(f"{self._options.seed} {node.name}")
        await asyncio.sleep(rng.uniform(0.0, self._options.probe_gap_s))
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(self._options.probe_gap_s)
                group.create_task(self._probe(node, rng))
                if rng.random() < 0.1:
                    group.create_task(self._probe_timeout(node))

    async def _probe(
        self, node: fleet_module.FleetNode, rng: random.Random
    ) -> None:
        route, first = "desk", min(self.checker.versions)
        drawn = rng.random()
        acked = [
            v
            for v in self._added
            if self.checker.versions[v].acked_at < time.monotonic()
        ]
        if drawn < 0.1:
            route, first = "", 0
        elif drawn < 0.6 and acked:
            first = rng.choice(acked)
            route = f"new-{first}"
        gateway = f"{node.name}#{node.start_count}"
        sent_at = time.monotonic()
        status, body = await self._request(node, route or "never", 3000)
        is_run = status == 200
        if route.startswith("new-") and first not in self._added:
            # The route was removed meanwhile.
            return
        self.checker.record_probe(
            checker_module.Probe(
                gateway,
                route,
                first,
                sent_at,
                time.monotonic(),
                status,
                body.decode() if is_run else "",
            )
        )

    async def _probe_timeout(self, node: fleet_module.FleetNode) -> None:
        gateway = f"{node.name}#{node.start_count}"
        sent_at = time.monotonic()
        status, _ = await self._request(node, "silent", 20_000)
        late_s = time.monotonic() - sent_at - SILENT_TIMEOUT_S
        if status or late_s > 0:
            self.checker.record_timeout(gateway, late_s, sent_at)

    async def _request(
        self, node: fleet_module.FleetNode, route: str, budget_ms: int
    ) -> tuple[int, bytes]:
        self._attempts += 1
        headers = {
            "Attempt-Id": f"{self._attempts:016x}",
            "Time-Budget": str(budget_ms),
            "Authorization": "Token key-1",
        }
        return await _call(
            f"{node.ip}:{nodes.CALLER_PORT}",
            f"/{route}/1",
            headers,
            PROBE_TIMEOUT_S,
        )

    # Faults.

    async def _inject_forever(self) -> None:
        await asyncio.sleep(self._options.calm_s)
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(
                    self._rng.expovariate(self._options.faults_per_s)
                )
                hit = (
                    self.coordinators
                    if self._rng.random() < 0.35
                    else self.gateways
                )
                free = [n for n in hit if n.name not in self._busy]
                count = sum(n.name in self._busy for n in self.coordinators)
                if free and (hit is not self.coordinators or count < MAX_LOST):
                    group.create_task(self._disturb(self._rng.choice(free)))

    async def _disturb(self, node: fleet_module.FleetNode) -> None:
        begin = time.monotonic()
        self._busy.add(node.name)
        is_core = node.role == "coordinator"
        kinds = ["pause", "pause", "kill", "stop"]
        if is_core and begin - self._wiped_at > WIPE_GAP_S:
            kinds.append("wipe")
        kind = self._rng.choice(kinds)
        self.checker.counts[f"{kind} of a {node.role}"] += 1
        # Until its end is known the fault lasts.
        self.checker.record_disturbance(
            "" if is_core else node.name, begin, begin + 12.0
        )
        match kind:
            case "pause":
                node.send_signal(signal.SIGSTOP)
                await asyncio.sleep(
                    self._rng.uniform(0.2, 9.0 if is_core else 3.0)
                )
                node.send_signal(signal.SIGCONT)
            case "stop":
                await node.stop()
                self._restart(node)
            case _:
                await node.kill()
                if kind == "wipe":
                    self._wiped_at = begin
                    node.wipe()
                await asyncio.sleep(self._rng.uniform(0.1, 2.0))
                self._restart(node)
        await asyncio.sleep(max(0.0, begin + 12.0 - time.monotonic()))
        self._busy.discard(node.name)

    def _restart(self, node: fleet_module.FleetNode) -> None:
        self._write_settings(node)
        node.start()

    async def _read_back(self) -> None:
        """Kills all at once, loses disks, and reads what was acknowledged."""
        await asyncio.gather(*(node.kill() for node in self.nodes))
        count = (
            self._rng.randint(0, MAX_LOST) if self._options.final_wipes else 0
        )
        for node in self._rng.sample(self.coordinators, count):
            node.wipe()
        for node in self.nodes:
            self._restart(node)
        began = time.monotonic()
        while time.monotonic() - began < READ_BACK_S:
            sent_at = time.monotonic()
            found = await self._read(CALL_TIMEOUT_S)
            if found is not None:
                self.checker.record_read(sent_at, *found, is_last=True)
                self.checker.counts["ms to read back"] = int(
                    1000 * (time.monotonic() - began)
                )
                return
            await asyncio.sleep(0.1)
        self.checker.record_no_read(READ_BACK_S)


async def _call(
    address: str, path: str, headers: dict[str, str], timeout_s: float
) -> tuple[int, bytes]:
    """Sends a GET request; returns status and body, 0 without a response."""
    lines = [
        f"GET {path} HTTP/1.1",
        "Host: host.example",
        "Connection: close",
        *(f"{name}: {value}" for name, value in headers.items()),
    ]
    try:
        async with asyncio.timeout(timeout_s):
            data = await platform.send_raw(
                address, "\r\n".join(lines).encode() + b"\r\n\r\n"
            )
    except (OSError, TimeoutError):
        return 0, b""
    head, _, body = data.partition(b"\r\n\r\n")
    fields = head.split(b" ", 2)
    if len(fields) < 2 or not fields[1].isdigit():
        return 0, b""
    if b"chunked" in head.lower():
        body = b"".join(body.split(b"\r\n")[1::2])
    return int(fields[1]), body


def add_options(parser: argparse.ArgumentParser) -> None:
    """Adds the options of a run to a command line."""
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--slot", type=int, default=30, help="address block")
    parser.add_argument("--gateways", type=int, default=70)
    parser.add_argument("--per-s", type=float, default=60.0)
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--calm-s", type=float, default=8.0)
    parser.add_argument("--change-gap-s", type=float, default=0.5)
    parser.add_argument("--large-after", type=int, default=10)
    parser.add_argument("--padding-bytes", type=int, default=0)
    parser.add_argument("--probe-gap-s", type=float, default=1.0)
    parser.add_argument("--faults-per-s", type=float, default=0.5)
    parser.add_argument("--ack-loss", type=float, default=0.2)
    parser.add_argument("--final-wipes", type=int, default=1)
    parser.add_argument("--silences-per-s", type=float, default=0.0)
    parser.add_argument("--retry-burst", type=float, default=240.0)
    parser.add_argument("--sources", help="folder of another build's sources")
    parser.add_argument("--keep", help="folder for logs")


def main() -> int:
    """Runs one fleet; returns 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_options(parser)
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    fleet = ConfigurationFleet(options)
    asyncio.run(fleet.run())
    checker = fleet.checker
    print(dict(sorted(checker.counts.items())))  # noqa: T201
    delays = sorted(checker.delays)
    if delays:
        shares = {
            share: round(delays[int(share / 100 * (len(delays) - 1))], 2)
            for share in (50, 90, 99, 100)
        }
        print("seconds until shown, by percentile:", shares)  # noqa: T201
    print("logs:", dict(fleet.count_events().most_common(16)))  # noqa: T201
    for line in checker.violations[:40]:
        print(line)  # noqa: T201
    print(f"violations: {len(checker.violations)}")  # noqa: T201
    return 1 if checker.violations else 0


if __name__ == "__main__":
    sys.exit(main())
