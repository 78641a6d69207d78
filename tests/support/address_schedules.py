"""Random schedules of servers that crash and whose addresses are reused.

Run as `python tests/support/address_schedules.py FIRST COUNT` from the root.
"""

from __future__ import annotations

import pathlib
import random
import sys

if __name__ == "__main__":
    ROOT = pathlib.Path(__file__).resolve().parents[2]
    sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "src")]

import attrs

from hickorylead.fleet import events, instances
from support import fleet_simulation

SECONDS = 25.0
STEP_S = 0.2
REUSE_AFTER_S = 2.0
# Time after which no gateway uses a server that has ended, in seconds.
FORGET_S = 5.0
SERVICES = ("plain", "model", "agent")


@attrs.define
class _Late:
    """A report that a partition delays.

    Attributes:
        report: The report.
        due: When it arrives.
    """

    report: instances.Instance
    due: float


class Schedule:
    """One random schedule.

    Attributes:
        violations: Violated promises.
    """

    def __init__(self, seed: int) -> None:
        """Makes a fleet with a few plain servers."""
        self._rng = random.Random(seed)
        self._fleet = fleet_simulation.FleetSimulation(
            seed=seed, servers_per_zone=0, gateways_per_zone=1
        )
        self._live: dict[str, instances.Instance] = {}
        self._ended_at: dict[str, float] = {}
        self._free: list[tuple[float, str]] = []
        self._late: list[_Late] = []
        self._next_report: dict[str, float] = {}
        self._count = 0
        self.violations: list[str] = []
        fleet = self._fleet
        fleet.run(2.0)
        token = fleet.replace(fleet.coordinator_names[0], 1)
        fleet.run_until(lambda: fleet.outcomes.get(token) is True, 5.0)
        for number in range(6):
            self._start(f"10.0.0.{number}:80")

    def run(self) -> list[str]:
        """Runs the schedule; returns the violated promises."""
        end = self._fleet.now + SECONDS
        while self._fleet.now < end:
            self._change()
            self._report()
            self._fleet.run(STEP_S)
            self._check()
        return self.violations

    def _start(self, address: str) -> None:
        self._count += 1
        name = f"s{self._count}"
        # An agent reports the address of another server.
        service = self._rng.choice(SERVICES)
        self._live[name] = instances.Instance(
            name, service, address, self._rng.choice(fleet_simulation.ZONES)
        )
        self._next_report[name] = self._fleet.now

    def _change(self) -> None:
        rng, now = self._rng, self._fleet.now
        if rng.random() < 0.1 and self._live:
            name = rng.choice(sorted(self._live))
            ended = self._live.pop(name)
            self._ended_at[name] = now
            self._free.append((now + REUSE_AFTER_S, ended.address))
            for number in range(rng.randrange(3)):
                late = attrs.evolve(ended, sequence=ended.sequence + 1 + number)
                if late.service != "agent":
                    self._late.append(_Late(late, now + rng.uniform(0.2, 8.0)))
        for free in [f for f in self._free if f[0] <= now]:
            self._free.remove(free)
            self._start(free[1])
        if rng.random() < 0.03:
            node = rng.choice(self._fleet.coordinator_names)
            self._fleet.start(node)

    def _report(self) -> None:
        now = self._fleet.now
        for name, server in list(self._live.items()):
            if now >= self._next_report[name]:
                self._next_report[name] = now + fleet_simulation.HEARTBEAT_S
                server = attrs.evolve(server, sequence=server.sequence + 1)
                self._live[name] = server
                self._send(server)
        for late in [late for late in self._late if late.due <= now]:
            self._late.remove(late)
            self._send(late.report)
            # Its end counts from its last report.
            self._ended_at[late.report.name] = now

    def _send(self, report: instances.Instance) -> None:
        node = self._rng.choice(self._fleet.coordinator_names)
        self._fleet.apply(node, events.HeartbeatArrived(report))

    def _check(self) -> None:
        now = self._fleet.now
        for node, role in self._fleet.coordinators.items():
            for name in self._live:
                known = role.registry.instances.get(name)
                if known is not None and known.phase == instances.PHASE_GONE:
                    self.violations.append(
                        f"{now:.1f}: {name} reports and is gone at {node}"
                    )
        for node, gateway in self._fleet.gateways.items():
            for known in gateway._registry.list_present():
                if known.service == "agent":
                    self.violations.append(
                        f"{now:.1f}: the agent {known.name} is known at {node}"
                    )
                is_reused = any(
                    other.address == known.address
                    for other in self._live.values()
                    if other.service != "agent"
                    and other.name != known.name
                    and other.sequence > 3
                )
                if (
                    is_reused
                    and now - self._ended_at.get(known.name, now) > FORGET_S
                ):
                    self.violations.append(
                        f"{now:.1f}: {known.name} has ended and is used at"
                        f" {node}"
                    )


def run_schedules(first: int, count: int) -> dict[int, list[str]]:
    """Returns the violated promises of some schedules by seed."""
    return {seed: Schedule(seed).run() for seed in range(first, first + count)}


def main() -> int:
    """Prints the violations; returns 1 if there are any."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    failed = 0
    for seed, violations in run_schedules(first, count).items():
        failed += bool(violations)
        for line in violations[:3]:
            print(f"seed {seed}: {line}")  # noqa: T201
    print(f"{count} schedules, {failed} with violations")  # noqa: T201
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
