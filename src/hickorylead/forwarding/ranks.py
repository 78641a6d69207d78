"""Which requests go first where replicas are scarce."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hickorylead.forwarding import state

# Ranks that engines know, 0 first.
LAST_RANK = 9
# Between two priorities of routes or workspaces there is room for the
# difference below, so that it never passes over a priority.
RANKS_PER_PRIORITY = 2


def find_rank(opened: state.PendingRequest) -> int:
    """Returns the rank of a request among others, 0 first.

    The operators' priorities come first. Within one, a stream that its caller
    already reads goes before newcomers, since its next event is awaited within
    the longest pause.
    """
    rank = 1 + RANKS_PER_PRIORITY * opened.request.urgency
    if opened.started:
        rank -= 1
    return min(LAST_RANK, rank)
