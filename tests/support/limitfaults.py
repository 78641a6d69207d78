"""Random schedules of faults while servers name a rate limit."""

from __future__ import annotations

import random

import attrs

from support import fleet_simulation, traffic_simulation

KINDS = ("lose", "freeze", "cut off", "cut a zone off", "lose all", "gateway")
FAULTS = 8
# Requests a second of all callers together.
DEMAND_PER_S = 20.0
# A limit is kept if what comes in any such time, in seconds, is within one and
# a half times what it allows, and so many requests more.
WINDOW_S = 4.0
SHARE = 1.5
EXTRA = 5
# Nodes tell each other of a new limit within this, in seconds.
SETTLE_S = 3.0


def find_allowed(limit: float) -> float:
    """Returns how many requests a window may see at a limit a second."""
    return SHARE * WINDOW_S * limit + EXTRA


def find_most(arrivals: list[tuple[float, str]], since: float) -> int:
    """Returns the most requests that came in one window, from a time on."""
    times = [at for at, _ in arrivals if at >= since]
    return max(
        (sum(1 for at in times if 0 <= at - first < WINDOW_S))
        for first in times or [since]
    )


@attrs.frozen
class Result:
    """What one schedule came to.

    Attributes:
        most: Most requests that one server got in a window.
        allowed: How many it may get.
        faults: The faults, in order.
    """

    most: int
    allowed: float
    faults: tuple[str, ...]


def send(play, seconds: float, rng: random.Random) -> None:
    """Has callers send requests at random moments to random gateways."""
    world = play.world
    due = world.now
    end = due + seconds
    while world.now < end - 1e-9:
        while due <= world.now:
            due += rng.expovariate(DEMAND_PER_S)
            gateways = sorted(world.gateways)
            if gateways:
                body = b"asked %d" % len(play.submissions)
                asked = play.submit(rng.choice(gateways), body)
                play.asked_at[asked.name] = world.now
        play.run(traffic_simulation.STEP_S)


def explore(seed: int) -> Result:
    """Plays one schedule; the same seed plays the same."""
    rng = random.Random(seed)
    world = fleet_simulation.FleetSimulation(
        seed=seed,
        servers_per_zone=8,
        gateways_per_zone=rng.choice([2, 8]),
        coordinators_per_zone=rng.choice([1, 2]),
    )
    world.bootstrap()
    play = traffic_simulation.TrafficSimulation(world)
    play.asked_at = {}
    send(play, 3.0, rng)
    limit = rng.choice([0.5, 1.0, 2.0, 4.0])
    heads = sorted({server.name for server in world.list_open()})
    for head in heads[: rng.choice([1, 2, len(heads)])]:
        play.limits[head] = limit
    since = world.now + SETTLE_S
    send(play, SETTLE_S + 1.0, rng)
    faults = tuple(rng.choice(KINDS) for _ in range(FAULTS))
    for fault in faults:
        cause(fault, play, rng)
        send(play, rng.choice([0.5, 2.0]), rng)
    most = max(find_most(play.list_arrivals(h), since) for h in play.limits)
    return Result(most, find_allowed(limit), faults)


def cause(fault: str, play, rng: random.Random) -> None:
    """Causes a fault for some time while requests go on, and ends it."""
    world = play.world
    node = rng.choice(world.coordinator_names)
    seconds = rng.choice([0.5, 2.0, 5.0])
    match fault:
        case "lose":
            world.kill(node)
            send(play, seconds, rng)
            world.start(node)
        case "freeze":
            world.frozen.add(node)
            send(play, seconds, rng)
            world.unfreeze(node)
        case "cut off":
            cut(
                world, [node], [n for n in world.coordinator_names if n != node]
            )
            send(play, seconds, rng)
            world.heal()
        case "cut a zone off":
            zone = node.partition("/")[0]
            nodes = [*world.coordinator_names, *world.gateways]
            inside = [n for n in nodes if n.startswith(f"{zone}/")]
            cut(world, inside, [n for n in nodes if n not in inside])
            send(play, seconds, rng)
            world.heal()
        case "lose all":
            for each in world.coordinator_names:
                world.kill(each)
            send(play, seconds, rng)
            for each in world.coordinator_names:
                world.start(each)
        case "gateway":
            gateway = rng.choice(sorted(world.gateways))
            world.kill(gateway)
            send(play, 1.0, rng)
            world.start_gateway(gateway)


def cut(world, first: list[str], second: list[str]) -> None:
    """Cuts some nodes from others."""
    for one in first:
        for other in second:
            world.partition(one, other)
