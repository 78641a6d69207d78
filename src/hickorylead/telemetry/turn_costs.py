"""What an event loop spends its time on, by kind of work."""

from __future__ import annotations

import collections

import attrs

from hickorylead import notes

# Interval between two log lines, in seconds.
REPORT_PERIOD_S = 5.0
# Number of kinds of work in a log line.
MAX_KINDS = 8


@attrs.define
class _Cost:
    count: int = 0
    total_s: float = 0.0
    longest_s: float = 0.0


class TurnCosts:
    """Time spent and waited by kind of work since the last report."""

    def __init__(self, now: float) -> None:
        """Makes an account without entries.

        Args:
            now: Present time, in seconds.
        """
        self._since = now
        self._costs: collections.defaultdict[str, _Cost] = (
            collections.defaultdict(_Cost)
        )
        self._longest_wait_s: dict[str, float] = {}

    def record(self, kind: str, spent_s: float) -> None:
        """Records one piece of work.

        Args:
            kind: Name of the work.
            spent_s: Time that it took, in seconds.
        """
        cost = self._costs[kind]
        cost.count += 1
        cost.total_s += spent_s
        cost.longest_s = max(cost.longest_s, spent_s)

    def record_wait(self, lane: str, waited_s: float) -> None:
        """Records how long work waited for its turn.

        Args:
            lane: Name of the queue in which it waited.
            waited_s: The time, in seconds.
        """
        self._longest_wait_s[lane] = max(
            waited_s, self._longest_wait_s.get(lane, 0.0)
        )

    def report(self, now: float) -> list[notes.Note]:
        """Returns a log line if one is due, and starts anew.

        Args:
            now: Present time, in seconds.
        """
        elapsed_s = now - self._since
        if elapsed_s < REPORT_PERIOD_S:
            return []
        ranked = sorted(self._costs.items(), key=lambda item: -item[1].total_s)
        total_s = sum(cost.total_s for cost in self._costs.values())
        note = notes.note(
            "turn_costs",
            busy_share=round(total_s / elapsed_s, 3),
            kinds={
                kind: {
                    "count": cost.count,
                    "share": round(cost.total_s / elapsed_s, 3),
                    "longest_ms": round(1000 * cost.longest_s, 1),
                }
                for kind, cost in ranked[:MAX_KINDS]
            },
            longest_wait_ms={
                lane: round(1000 * waited_s, 1)
                for lane, waited_s in sorted(self._longest_wait_s.items())
            },
        )
        self._since = now
        self._costs.clear()
        self._longest_wait_s.clear()
        return [note]
