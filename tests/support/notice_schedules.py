"""Random schedules of faults while servers send pauses and leave notices."""

from __future__ import annotations

import random

import attrs

from support import fleet_simulation, limit_schedules, traffic_simulation

# Within this time of a pause's start, in seconds, a gateway may still send
# requests; in the rest of the pause it may send this many.
REACTION_S = 0.5
MAX_IN_PAUSE = 2
# A gateway may send a leaving server the requests that arrived within this time
# of the leave notice, in seconds.
LEAVE_GRACE_S = 2.0


def make_traffic(
    gateways: int, servers: int, seed: int = 1
) -> traffic_simulation.TrafficSimulation:
    """Returns a fleet with open groups and callers after 3 s of traffic."""
    simulation = fleet_simulation.FleetSimulation(
        seed=seed,
        servers_per_zone=servers // 3,
        gateways_per_zone=gateways // 3,
    )
    simulation.bootstrap()
    traffic = traffic_simulation.TrafficSimulation(simulation)
    traffic.submitted_at = {}
    send(traffic, 3.0)
    return traffic


def send(
    traffic: traffic_simulation.TrafficSimulation, seconds: float, seed: int = 5
) -> None:
    """Sends requests of callers at random times to random gateways."""
    limit_schedules.send(traffic, seconds, random.Random(seed))


def list_used(traffic: traffic_simulation.TrafficSimulation) -> list[str]:
    """Returns the open heads that got requests, sorted by name."""
    heads = sorted(
        {server.name for server in traffic.simulation.list_open_heads()}
    )
    return [head for head in heads if traffic.list_arrivals(head)]


def find_max_in_pause(traffic: traffic_simulation.TrafficSimulation) -> int:
    """Returns the most requests of a gateway in one pause of a server."""
    arrivals = {
        refusal.server: traffic.list_arrivals(refusal.server)
        for refusal in traffic.refusals
    }
    return max(
        (
            sum(
                gateway == refusal.gateway
                and REACTION_S < at - refusal.at < refusal.pause_s
                for at, gateway in arrivals[refusal.server]
            )
            for refusal in traffic.refusals
        ),
        default=0,
    )


def list_late(
    traffic: traffic_simulation.TrafficSimulation,
) -> list[tuple[float, str, str]]:
    """Returns the requests that were sent to a leaving server too late.

    Each is a tuple of the time, the gateway and the server.
    """
    found = []
    for submission in traffic.submissions.values():
        for at, server in submission.sent:
            key = (submission.gateway, server)
            notified_at = traffic.leave_notice_times.get(key)
            if (
                notified_at is not None
                and submission.submitted_at > notified_at + LEAVE_GRACE_S
            ):
                found.append((at, submission.gateway, server))
    return sorted(found)


def find_restart(
    traffic: traffic_simulation.TrafficSimulation, node: str
) -> float:
    """Returns when the present incarnation of a gateway started."""
    starts = [at for at, name in traffic.simulation.starts if name == node]
    return starts[-1]


@attrs.frozen
class ScheduleResult:
    """Result of one schedule.

    Attributes:
        max_requests: Most requests of a gateway in a pause.
        late_requests: Requests that were sent to a leaving server too late.
        faults: The faults, in order.
    """

    max_requests: int
    late_requests: list[tuple[float, str, str]]
    faults: tuple[str, ...]


def run_schedule(seed: int) -> ScheduleResult:
    """Runs one schedule; the same seed gives the same schedule.

    In each round other heads ask for a pause, and one more announces that it
    leaves and ends. A restarted gateway has lost both notices, which is
    allowed.
    """
    rng = random.Random(seed)
    traffic = make_traffic(rng.choice([6, 24]), 24, seed)
    faults = tuple(rng.choice(limit_schedules.FAULT_KINDS) for _ in range(6))
    for fault in faults:
        heads = list_used(traffic)
        for head in sorted(traffic.leaving & set(traffic.simulation.servers)):
            traffic.crash_server(head)
        traffic.leaving.add(rng.choice(heads))
        chosen = rng.sample(heads, min(len(heads), rng.choice([1, 2, 4])))
        traffic.pauses = {h: rng.choice([0.7, 2.0, 5.0]) for h in chosen}
        limit_schedules.send(traffic, 1.0, rng)
        limit_schedules.inject_fault(fault, traffic, rng)
        limit_schedules.send(traffic, rng.choice([0.5, 2.0]), rng)
    starts = traffic.simulation.starts
    traffic.refusals = [
        refusal
        for refusal in traffic.refusals
        if not any(
            node == refusal.gateway and 0 <= at - refusal.at < refusal.pause_s
            for at, node in starts
        )
    ]
    late_requests = [
        (at, gateway, server)
        for at, gateway, server in list_late(traffic)
        if not any(
            node == gateway
            and traffic.leave_notice_times[gateway, server] <= started_at <= at
            for started_at, node in starts
        )
    ]
    return ScheduleResult(find_max_in_pause(traffic), late_requests, faults)
