"""Random schedules in which gateways lose their connections to all servers."""

from __future__ import annotations

import random

import attrs

from hickorylead.fleet import instances
from support import (
    fleet_simulation,
    limit_schedules,
    notice_schedules,
    traffic_simulation,
)

FAULT_KINDS = (
    "none",
    "kill gateway",
    "freeze gateway",
    "stop coordinator",
    "stop all coordinators",
    "crash servers",
    "drain server",
    "burst",
    "partition relay",
)
ROUND_COUNT = 4
# Requests a second in a burst.
BURST_PER_S = 60.0
# Requests that arrive at isolated gateways are compared with others from this
# long after the start of the isolation, in seconds.
NOTICE_S = 3.0
# A draining server gets no request that arrived later than this, in seconds.
DRAIN_S = 2.0
# A request is not compared if its gateway was killed or frozen within this time
# after it arrived, in seconds.
REQUEST_S = 3.0


@attrs.define
class ScheduleResult:
    """Result of one schedule.

    Attributes:
        isolated: Number of compared requests at isolated gateways: served, all.
        others: The same at the other gateways.
        violations: Violated invariants, with details.
        relayed_count: Number of exchanges through relays.
        faults: The faults, in order.
    """

    isolated: list[int] = attrs.field(factory=lambda: [0, 0])
    others: list[int] = attrs.field(factory=lambda: [0, 0])
    violations: list[str] = attrs.field(factory=list)
    relayed_count: int = 0
    faults: list[str] = attrs.field(factory=list)


class Schedule:
    """One schedule; the same seed gives the same schedule."""

    def __init__(self, seed: int) -> None:
        """Makes a fleet with traffic."""
        self._rng = random.Random(f"isolation {seed}")
        gateways = self._rng.choice([6, 24])
        self._traffic = notice_schedules.make_traffic(gateways, 24, seed)
        self._simulation = self._traffic.simulation
        self._result = ScheduleResult()
        # Times at which gateways were killed or frozen, and their names.
        self._disturbances: list[tuple[float, str]] = []
        self._drained: dict[str, float] = {}

    def run(self) -> ScheduleResult:
        """Runs the schedule and checks what servers and callers got."""
        self._traffic.once_share = 0.3
        for _ in range(ROUND_COUNT):
            self._run_round()
        self._check_requests()
        self._result.relayed_count = len(self._traffic.relayed)
        return self._result

    def _run_round(self) -> None:
        traffic, rng = self._traffic, self._rng
        names = sorted(self._simulation.gateways)
        match rng.choice(("one", "some", "zone", "most")):
            case "one":
                isolated = {rng.choice(names)}
            case "some":
                isolated = set(rng.sample(names, len(names) // 2))
            case "zone":
                zone = rng.choice(fleet_simulation.ZONES)
                isolated = {n for n in names if n.startswith(f"{zone}/")}
            case _:
                isolated = set(rng.sample(names, len(names) - 2))
        traffic.isolated = isolated
        traffic.keeps_connections = rng.random() < 0.3
        started_at = self._simulation.now
        self._send(rng.choice([0.5, NOTICE_S]))
        fault = rng.choice(FAULT_KINDS)
        self._result.faults.append(fault)
        free = [n for n in names if n not in isolated]
        self._inject(fault, rng.choice(free), rng.choice(sorted(isolated)))
        self._send(rng.choice([2.0, 4.0]))
        traffic.isolated = set()
        self._count(isolated, started_at + NOTICE_S, self._simulation.now)
        self._send(rng.choice([0.5, 2.0]))

    def _send(self, seconds: float) -> None:
        limit_schedules.send(self._traffic, seconds, self._rng)

    def _inject(self, fault: str, free: str, isolated: str) -> None:
        """Injects a fault beside the isolation, and ends it."""
        simulation, rng = self._simulation, self._rng
        seconds = rng.choice([0.5, 2.0])
        node = rng.choice((free, isolated))
        match fault:
            case "kill gateway":
                self._disturbances.append((simulation.now, node))
                simulation.kill(node)
                self._send(seconds)
                simulation.start_gateway(node)
            case "freeze gateway":
                self._disturbances.append((simulation.now, node))
                simulation.frozen.add(node)
                self._send(seconds)
                self._disturbances.append((simulation.now, node))
                simulation.unfreeze(node)
            case "stop coordinator" | "stop all coordinators":
                names = simulation.coordinator_names
                chosen = names if "all" in fault else [rng.choice(names)]
                for name in chosen:
                    simulation.kill(name)
                self._send(seconds)
                for name in chosen:
                    simulation.start(name)
            case "crash servers":
                for head in self._draw_heads(2):
                    self._traffic.crash_server(head)
            case "drain server":
                for head in self._draw_heads(1):
                    server = simulation.servers[head]
                    server.phase = instances.PHASE_DRAINING
                    simulation.send_heartbeat(server)
                    self._drained[head] = simulation.now
            case "burst":
                usual = limit_schedules.DEMAND_PER_S
                limit_schedules.DEMAND_PER_S = BURST_PER_S
                self._send(seconds)
                limit_schedules.DEMAND_PER_S = usual
            case "partition relay":
                self._traffic.relay_partitions.add((isolated, free))
                self._send(seconds)
                self._traffic.relay_partitions.clear()

    def _draw_heads(self, count: int) -> list[str]:
        heads = sorted({s.name for s in self._simulation.list_open_heads()})
        return self._rng.sample(heads, min(count, len(heads) - 1))

    def _count(self, isolated: set[str], since: float, until: float) -> None:
        """Counts the requests served at isolated and at other gateways."""
        for submission in self._traffic.submissions.values():
            at, node = submission.submitted_at, submission.gateway
            if not since <= at < until - REQUEST_S / 2 or any(
                node == disturbed and -REQUEST_S < at - moment < REQUEST_S
                for moment, disturbed in self._disturbances
            ):
                continue
            counts = (
                self._result.isolated
                if node in isolated
                else self._result.others
            )
            counts[0] += submission.status == 200
            counts[1] += 1

    def _check_requests(self) -> None:
        for submission in self._traffic.submissions.values():
            sent = submission.sent
            most = 1 if submission.runs_once else 2
            if len(sent) > most:
                self._report("sent too often", submission)
            if submission.status in (429, 503) and sent:
                self._report("refused as not run", submission)
            for _, server in sent:
                drained_at = self._drained.get(server, float("inf"))
                if submission.submitted_at > drained_at + DRAIN_S:
                    self._report("sent to a draining server", submission)

    def _report(
        self, invariant: str, submission: traffic_simulation.Submission
    ) -> None:
        self._result.violations.append(f"{invariant}: {submission}")


def run_schedule(seed: int) -> ScheduleResult:
    """Runs one schedule; the same seed gives the same schedule."""
    return Schedule(seed).run()
