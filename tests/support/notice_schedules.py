"""Servers that ask for a pause, or say that they leave, in a played fleet."""

from __future__ import annotations

import random

import attrs

from support import fleet_simulation, limitfaults, traffic_simulation

# A gateway has this long to heed a pause, in seconds, and may send this many
# requests in the rest of it.
HEED_S = 0.5
MOST_IN_PAUSE = 2
# A gateway may send a leaving server requests that it got until then, in
# seconds after it was told.
DRAIN_S = 2.0


def make_play(
    gateways: int, servers: int, seed: int = 1
) -> traffic_simulation.TrafficSimulation:
    """Returns a fleet with open groups and callers, after some seconds."""
    world = fleet_simulation.FleetSimulation(
        seed=seed,
        servers_per_zone=servers // 3,
        gateways_per_zone=gateways // 3,
    )
    world.bootstrap()
    play = traffic_simulation.TrafficSimulation(world)
    play.asked_at = {}
    send(play, 3.0)
    return play


def send(
    play: traffic_simulation.TrafficSimulation, seconds: float, seed: int = 5
) -> None:
    """Has callers send requests at random moments to random gateways."""
    limitfaults.send(play, seconds, random.Random(seed))


def list_used(play: traffic_simulation.TrafficSimulation) -> list[str]:
    """Returns the open heads that got requests, in order."""
    heads = sorted({server.name for server in play.world.list_open()})
    return [head for head in heads if play.list_arrivals(head)]


def find_most_in_pause(play: traffic_simulation.TrafficSimulation) -> int:
    """Returns the most requests of a gateway in one pause that it was asked."""
    arrivals = {
        refusal.server: play.list_arrivals(refusal.server)
        for refusal in play.refusals
    }
    return max(
        (
            sum(
                gateway == refusal.gateway
                and HEED_S < at - refusal.at < refusal.pause_s
                for at, gateway in arrivals[refusal.server]
            )
            for refusal in play.refusals
        ),
        default=0,
    )


def list_late(
    play: traffic_simulation.TrafficSimulation,
) -> list[tuple[float, str, str]]:
    """Returns requests that reached a leaving server too late.

    Each with the time, the gateway and the server.
    """
    found = []
    for submission in play.submissions.values():
        for at, server in submission.sent:
            told = (submission.gateway, server)
            told_at = play.told_leaving.get(told)
            if told_at is not None and submission.asked_at > told_at + DRAIN_S:
                found.append((at, submission.gateway, server))
    return sorted(found)


def find_restart(
    play: traffic_simulation.TrafficSimulation, node: str
) -> float:
    """Returns when the present life of a gateway was first asked something."""
    boots = [at for at, name in play.world.starts if name == node]
    return boots[-1]


@attrs.frozen
class Result:
    """What one schedule came to.

    Attributes:
        most: Most requests of a gateway in a pause.
        late: Requests that reached a leaving server too late.
        faults: The faults, in order.
    """

    most: int
    late: list[tuple[float, str, str]]
    faults: tuple[str, ...]


def explore(seed: int) -> Result:
    """Plays one schedule; the same seed plays the same.

    Each round other heads ask for a pause, and one more says that it leaves and
    ends. A gateway that starts again has forgotten both, which is allowed.
    """
    rng = random.Random(seed)
    play = make_play(rng.choice([6, 24]), 24, seed)
    faults = tuple(rng.choice(limitfaults.KINDS) for _ in range(6))
    for fault in faults:
        heads = list_used(play)
        for head in sorted(play.leaving & set(play.world.servers)):
            play.end_server(head)
        play.leaving.add(rng.choice(heads))
        chosen = rng.sample(heads, min(len(heads), rng.choice([1, 2, 4])))
        play.pausing = {h: rng.choice([0.7, 2.0, 5.0]) for h in chosen}
        limitfaults.send(play, 1.0, rng)
        limitfaults.cause(fault, play, rng)
        limitfaults.send(play, rng.choice([0.5, 2.0]), rng)
    starts = play.world.starts
    play.refusals = [
        refusal
        for refusal in play.refusals
        if not any(
            node == refusal.gateway and 0 <= at - refusal.at < refusal.pause_s
            for at, node in starts
        )
    ]
    late = [
        (at, gateway, server)
        for at, gateway, server in list_late(play)
        if not any(
            node == gateway
            and play.told_leaving[gateway, server] <= started_at <= at
            for started_at, node in starts
        )
    ]
    return Result(find_most_in_pause(play), late, faults)
