"""Servers that ask for a pause, or say that they leave, in a played fleet."""

from __future__ import annotations

import random

from support import crashplay, fleetworld, limitfaults

# A gateway has this long to heed a pause, in seconds, and may send this many
# requests in the rest of it.
HEED_S = 0.5
MOST_IN_PAUSE = 2
# A gateway may send a leaving server requests that it got until then, in
# seconds after it was told.
DRAIN_S = 2.0


def make_play(
    gateways: int, servers: int, seed: int = 1
) -> crashplay.CrashPlay:
    """Returns a fleet with open groups and callers, after some seconds."""
    world = fleetworld.FleetWorld(
        seed=seed,
        servers_per_zone=servers // 3,
        gateways_per_zone=gateways // 3,
    )
    world.settle()
    play = crashplay.CrashPlay(world)
    play.asked_at = {}
    send(play, 3.0)
    return play


def send(play: crashplay.CrashPlay, seconds: float, seed: int = 5) -> None:
    """Has callers send requests at random moments to random gateways."""
    limitfaults.send(play, seconds, random.Random(seed))


def list_used(play: crashplay.CrashPlay) -> list[str]:
    """Returns the open heads that got requests, in order."""
    heads = sorted({server.name for server in play.world.list_open()})
    return [head for head in heads if play.list_arrivals(head)]


def find_most_in_pause(play: crashplay.CrashPlay) -> int:
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


def list_late(play: crashplay.CrashPlay) -> list[tuple[float, str, str]]:
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
