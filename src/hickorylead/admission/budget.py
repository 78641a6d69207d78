"""Retry budgets, which limit retries to a share of the traffic."""

from __future__ import annotations

import attrs

RETRY_SHARE = 0.08
MAX_BALANCE = 20.0


class RetryBudget:
    """Allows retries in proportion to first attempts.

    A fixed number of retries for each request would multiply the traffic just
    when servers fail, and keep it high after they have recovered. With a
    share, an outage of any size adds at most that share of traffic.
    """

    def __init__(
        self, *, share: float = RETRY_SHARE, balance: float = 5.0
    ) -> None:
        """Makes a budget.

        Args:
            share: Retries deposited for each first attempt.
            balance: Retries available at the start.
        """
        self._share = share
        self._balance = balance

    def deposit(self) -> None:
        """Deposits the share of one first attempt."""
        self._balance = min(MAX_BALANCE, self._balance + self._share)

    def try_withdraw(self) -> bool:
        """Withdraws one retry; returns whether the balance covered it."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


@attrs.frozen
class RetryLimits:
    """The operators' limits for each service, over all gateways together.

    Attributes:
        ratio: Retries per request.
        burst: Retries beyond the ratio, in a window of a few seconds.
    """

    ratio: float = 0.2
    burst: float = 136.0


DEFAULT_RETRY_LIMITS = RetryLimits()
