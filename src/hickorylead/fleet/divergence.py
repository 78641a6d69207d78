"""Detects nodes whose state stays different from this node's state."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from hickorylead.turns import own_pauses

# Time for which two nodes' states must differ before one of the nodes sends the
# other a full sync, in seconds: for a moment, updates may be in transit.
MISMATCH_GRACE_S = 0.7
# Shortest time between two full syncs to the same node, in seconds. It is also
# the longest time for which a digest that still changes postpones the first
# full sync to a node.
RESEND_INTERVAL_S = 1.5


@attrs.define
class _Difference:
    digest: int
    since: float
    sent_at: float = -1e9


class DivergenceDetector:
    """Nodes whose digest differs from this node's, by name."""

    def __init__(self, pauses: own_pauses.OwnPauses | None = None) -> None:
        """Makes a detector without differing nodes.

        Args:
            pauses: Times at which this node did not handle other nodes'
                digests, if they are known.
        """
        self._pauses = pauses
        self._differences: dict[str, _Difference] = {}

    def clear(self, node: str) -> None:
        """Clears the entry of a node that gets the state in another way."""
        self._differences.pop(node, None)

    def needs_full_sync(
        self, node: str, node_digest: int, own_digest: int, now: float
    ) -> bool:
        """Returns whether a node must be sent a full sync.

        A lost message would leave the node's state permanently wrong.
        Comparing digests detects this, whichever message was lost.
        """
        if node_digest == own_digest:
            self.clear(node)
            return False
        difference = self._differences.get(node)
        if difference is None:
            self._differences[node] = _Difference(node_digest, now)
            return False
        if (
            difference.digest != node_digest
            and self._measure(difference.since, now) < RESEND_INTERVAL_S
        ):
            # The node's digest still changes, so updates do reach the node.
            difference.digest = node_digest
            return False
        if (
            self._measure(difference.since, now) < MISMATCH_GRACE_S
            or self._measure(difference.sent_at, now) < RESEND_INTERVAL_S
        ):
            return False
        difference.sent_at = now
        return True

    def _measure(self, since: float, now: float) -> float:
        if self._pauses is None:
            return now - since
        return self._pauses.measure_silence(since, now)
