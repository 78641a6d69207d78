"""Order of requests that compete for replicas."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hickorylead.forwarding import state

# The least urgent rank that engines accept; 0 is the most urgent one.
LAST_RANK = 9
# Each priority of routes or workspaces has two ranks, so that a resumed stream
# goes before new requests of its priority but never before a request of a more
# urgent priority. All requests of priority 5 and above share the last rank.
RANKS_PER_PRIORITY = 2


def find_rank(pending: state.PendingRequest) -> int:
    """Returns the rank of a request among others, 0 first.

    The operators' priorities come first. Within a priority, a stream of which
    the caller already has a part goes before new requests, since its next event
    is due within the longest allowed event gap.
    """
    rank = 1 + RANKS_PER_PRIORITY * pending.request.urgency
    if pending.started:
        rank -= 1
    return min(LAST_RANK, rank)
