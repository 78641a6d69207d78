"""The retry budget: extra attempts as a share of the traffic."""

from __future__ import annotations

RETRY_SHARE = 0.08
MAX_SAVED = 20.0


class RetryBudget:
    """Allows retries in proportion to first attempts.

    A fixed number of retries for each request multiplies the traffic exactly
    when servers fail, and keeps it high after they are back. With a share,
    an outage adds at most that share, whatever its size.
    """

    def __init__(
        self, *, share: float = RETRY_SHARE, saved: float = 5.0
    ) -> None:
        """Makes a budget.

        Args:
            share: Retries allowed for each first attempt.
            saved: Retries allowed at the start.
        """
        self._share = share
        self._saved = saved

    def earn(self) -> None:
        """Counts a first attempt."""
        self._saved = min(MAX_SAVED, self._saved + self._share)

    def has_one(self) -> bool:
        """Says whether a retry is left."""
        return self._saved >= 1.0

    def spend(self) -> bool:
        """Takes one retry from the budget; says whether there was one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
