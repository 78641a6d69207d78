"""Which requests go first where replicas are scarce.

The load this answers: after a loss of power, or of a domain, some hundred
requests have waited past their objective and come to the replicas at one
moment. They fill every batch, and for seconds each newcomer is late as well
(kahikatea trouble-1: of 126 requests in the 2 s after that, 29 were in time).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hickorylead.forwarding import state

# Ranks that engines know, 0 first.
LAST_RANK = 9
# Between two priorities of routes or workspaces there is room for the two
# differences below, so that these never pass over a priority.
RANKS_PER_PRIORITY = 3
# Share of a replica's slots that requests which missed their objective may
# fill, while others would still be in time: a batch of that size keeps its
# pace, and newcomers find a slot at once.
LATE_SHARE = 0.6
# How long such a request waits for a replica with that much room, in seconds;
# then it is sent like any other.
LATE_WAIT_S = 1.5


def is_late(opened: state.Open, now: float) -> bool:
    """Says whether a request that nobody has answered missed its objective."""
    objective_s = opened.request.route.objective_s
    return not opened.started and now - opened.arrived_at > objective_s


def find_rank(opened: state.Open, now: float) -> int:
    """Returns the rank of a request among others, 0 first.

    The operators' priorities come first. Within one, a stream that its caller
    already reads goes before newcomers, since its next event is awaited within
    the longest pause; what has missed its objective goes after them.
    """
    middle = 1 + RANKS_PER_PRIORITY * opened.request.urgency
    if opened.started:
        middle -= 1
    elif is_late(opened, now):
        middle += 1
    return min(LAST_RANK, middle)


def find_share(opened: state.Open, now: float) -> float | None:
    """Returns the share of a replica's slots that a request may fill.

    Returns:
        None if it may be queued like any other.
    """
    if not is_late(opened, now):
        return None
    ends_at = opened.arrived_at + opened.request.route.objective_s + LATE_WAIT_S
    return LATE_SHARE if now < ends_at else None
