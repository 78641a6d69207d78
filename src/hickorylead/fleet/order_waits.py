"""How long a planner waits for the responses to its orders and their effects.

A wait is judged by the time in which the planner's process listened: what a
server sent meanwhile may still wait to be handled. A server that responds to no
order gets it again after waits that grow exponentially, as each further order
is work for a process that may be late already.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container

    from hickorylead.turns import own_pauses

# Longest wait before an order is sent again, as a multiple of the first wait.
MAX_BACKOFF = 4


class OrderWaits:
    """Waits for servers, with a backoff for each that does not respond."""

    def __init__(self, pauses: own_pauses.OwnPauses | None = None) -> None:
        """Makes waits without backoff.

        Args:
            pauses: Times at which the process did not handle what servers sent;
                None if there are none.
        """
        self._pauses = pauses
        # Factor of the wait for a server that left an order without a response.
        self._backoffs: dict[str, int] = {}

    def measure(self, since: float, now: float) -> float:
        """Returns for how long servers have had time to be heard, in seconds.

        Args:
            since: When the wait began.
            now: Present time.
        """
        if self._pauses is None:
            return now - since
        return self._pauses.measure_silence(since, now)

    def get_backoff(self, name: str) -> int:
        """Returns the factor of the wait before an order is sent again."""
        return self._backoffs.get(name, 1)

    def record_repeat(self, name: str) -> None:
        """Records that an order without a response is sent again."""
        self._backoffs[name] = min(MAX_BACKOFF, 2 * self.get_backoff(name))

    def end_backoff(self, name: str) -> None:
        """Ends the backoff of a server, once it responded to this node."""
        self._backoffs.pop(name, None)

    def retain(self, names: Container[str]) -> None:
        """Removes the backoffs of all other servers."""
        for name in [n for n in self._backoffs if n not in names]:
            del self._backoffs[name]
