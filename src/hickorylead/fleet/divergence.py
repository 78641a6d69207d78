"""Detects nodes whose state stays different from this node's state."""

from __future__ import annotations

import attrs

# Two nodes may differ for a moment while updates are in transit. A full sync is
# sent only if they still differ after this, in seconds.
MISMATCH_GRACE_S = 0.7
# Shortest time between two full syncs to one node, in seconds. A digest that
# still changes postpones the first one for no longer than this.
RESEND_INTERVAL_S = 1.5


@attrs.define
class _Difference:
    digest: int
    since: float
    sent_at: float = -1e9


class DivergenceDetector:
    """Nodes whose digest differs from this node's, by name."""

    def __init__(self) -> None:
        """Makes a detector without differing nodes."""
        self._differences: dict[str, _Difference] = {}

    def clear(self, node: str) -> None:
        """Clears a node that gets the missing state in another way."""
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
            and now - difference.since < RESEND_INTERVAL_S
        ):
            # Its digest still changes, so updates do reach it.
            difference.digest = node_digest
            return False
        if (
            now - difference.since < MISMATCH_GRACE_S
            or now - difference.sent_at < RESEND_INTERVAL_S
        ):
            return False
        difference.sent_at = now
        return True
