"""Random schedules of faults while servers name a rate limit."""

from __future__ import annotations

import random

import attrs

from support import fleet_simulation, traffic_simulation

FAULT_KINDS = (
    "stop",
    "freeze",
    "partition",
    "isolate zone",
    "stop all",
    "restart gateway",
)
FAULT_COUNT = 8
# Requests a second of all callers together.
DEMAND_PER_S = 20.0
# A limit is kept if the requests in each window of this length, in seconds, are
# at most this multiple of what the limit allows, plus this many requests.
WINDOW_S = 4.0
ALLOWED_RATIO = 1.5
ALLOWED_EXTRA = 5
# Nodes send each other a new limit within this, in seconds.
SETTLE_S = 3.0


def get_allowed_requests(limit: float) -> float:
    """Returns the number of requests allowed in a window for a limit."""
    return ALLOWED_RATIO * WINDOW_S * limit + ALLOWED_EXTRA


def find_max_in_window(arrivals: list[tuple[float, str]], since: float) -> int:
    """Returns the most requests that arrived in one window from a time on."""
    times = [at for at, _ in arrivals if at >= since]
    return max(
        (sum(1 for at in times if 0 <= at - first < WINDOW_S))
        for first in times or [since]
    )


@attrs.frozen
class ScheduleResult:
    """Result of one schedule.

    Attributes:
        max_requests: Most requests that one server got in a window.
        allowed_requests: Number of requests that it may get in a window.
        faults: The faults, in order.
    """

    max_requests: int
    allowed_requests: float
    faults: tuple[str, ...]


def send(traffic, seconds: float, rng: random.Random) -> None:
    """Sends requests of callers at random times to random gateways."""
    simulation = traffic.simulation
    due = simulation.now
    end = due + seconds
    while simulation.now < end - 1e-9:
        while due <= simulation.now:
            due += rng.expovariate(DEMAND_PER_S)
            gateways = sorted(simulation.gateways)
            if gateways:
                body = b"asked %d" % len(traffic.submissions)
                submission = traffic.submit(rng.choice(gateways), body)
                traffic.submitted_at[submission.name] = simulation.now
        traffic.run(traffic_simulation.STEP_S)


def run_schedule(seed: int) -> ScheduleResult:
    """Runs one schedule; the same seed gives the same schedule."""
    rng = random.Random(seed)
    simulation = fleet_simulation.FleetSimulation(
        seed=seed,
        servers_per_zone=8,
        gateways_per_zone=rng.choice([2, 8]),
        coordinators_per_zone=rng.choice([1, 2]),
    )
    simulation.bootstrap()
    traffic = traffic_simulation.TrafficSimulation(simulation)
    traffic.submitted_at = {}
    send(traffic, 3.0, rng)
    limit = rng.choice([0.5, 1.0, 2.0, 4.0])
    heads = sorted({server.name for server in simulation.list_open_heads()})
    for head in heads[: rng.choice([1, 2, len(heads)])]:
        traffic.limits[head] = limit
    since = simulation.now + SETTLE_S
    send(traffic, SETTLE_S + 1.0, rng)
    faults = tuple(rng.choice(FAULT_KINDS) for _ in range(FAULT_COUNT))
    for fault in faults:
        inject_fault(fault, traffic, rng)
        send(traffic, rng.choice([0.5, 2.0]), rng)
    max_requests = max(
        find_max_in_window(traffic.list_arrivals(h), since)
        for h in traffic.limits
    )
    return ScheduleResult(max_requests, get_allowed_requests(limit), faults)


def inject_fault(fault: str, traffic, rng: random.Random) -> None:
    """Injects a fault for some time while requests continue, then ends it."""
    simulation = traffic.simulation
    node = rng.choice(simulation.coordinator_names)
    seconds = rng.choice([0.5, 2.0, 5.0])
    match fault:
        case "stop":
            simulation.kill(node)
            send(traffic, seconds, rng)
            simulation.start(node)
        case "freeze":
            simulation.frozen.add(node)
            send(traffic, seconds, rng)
            simulation.unfreeze(node)
        case "partition":
            partition(
                simulation,
                [node],
                [n for n in simulation.coordinator_names if n != node],
            )
            send(traffic, seconds, rng)
            simulation.heal()
        case "isolate zone":
            zone = node.partition("/")[0]
            nodes = [*simulation.coordinator_names, *simulation.gateways]
            inside = [n for n in nodes if n.startswith(f"{zone}/")]
            partition(simulation, inside, [n for n in nodes if n not in inside])
            send(traffic, seconds, rng)
            simulation.heal()
        case "stop all":
            for each in simulation.coordinator_names:
                simulation.kill(each)
            send(traffic, seconds, rng)
            for each in simulation.coordinator_names:
                simulation.start(each)
        case "restart gateway":
            gateway = rng.choice(sorted(simulation.gateways))
            simulation.kill(gateway)
            send(traffic, 1.0, rng)
            simulation.start_gateway(gateway)


def partition(simulation, first: list[str], second: list[str]) -> None:
    """Partitions some nodes from others."""
    for one in first:
        for other in second:
            simulation.partition(one, other)
