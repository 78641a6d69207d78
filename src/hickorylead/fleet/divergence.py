"""Notices that two nodes know different things for longer than a moment."""

from __future__ import annotations

import attrs

# Two nodes may differ for a moment, while news are on the way. Everything is
# told anew only if they still differ after this, in seconds.
DIFFER_S = 0.7
RESEND_S = 1.5


@attrs.define
class _Difference:
    check: int
    since: float
    told_at: float = -1e9


class DivergenceDetector:
    """Nodes whose hash is not ours, by name."""

    def __init__(self) -> None:
        """Makes a view in which nobody differs."""
        self._found: dict[str, _Difference] = {}

    def clear(self, node: str) -> None:
        """Takes that a node is told what it lacks in another way."""
        self._found.pop(node, None)

    def needs_full_sync(
        self, node: str, theirs: int, ours: int, now: float
    ) -> bool:
        """Says whether a node must be told everything anew.

        A message that was lost would leave it wrong for ever; the hash shows
        it, whatever was lost.
        """
        if theirs == ours:
            self.clear(node)
            return False
        found = self._found.get(node)
        if found is None:
            self._found[node] = _Difference(theirs, now)
            return False
        if found.check != theirs and now - found.since < RESEND_S:
            # It still changes, so news reach it.
            found.check = theirs
            return False
        if now - found.since < DIFFER_S or now - found.told_at < RESEND_S:
            return False
        found.told_at = now
        return True
