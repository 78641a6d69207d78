"""Retry budgets, which limit retries to a share of the traffic."""

from __future__ import annotations

import attrs

RETRY_SHARE = 0.08
MAX_BALANCE = 20.0

# Share of the operators' retry limits that gateways use. The rest is a margin:
# traffic is spread unevenly over gateways, and each gateway may spend its saved
# balance in the same window as its new deposits.
USED_LIMIT_SHARE = 0.75
# Number of gateways that is assumed until a coordinator reports it. A high
# number allows each gateway only few retries, but only for a fraction of a
# second after its start.
INITIAL_GATEWAY_COUNT = 64
# Time for which a lower reported number of gateways is ignored, in seconds,
# after the highest number was last reported. In a partitioned network, the
# number reported on each side is too low, while the gateways of all sides
# continue to retry.
GATEWAY_COUNT_RETENTION_S = 60.0


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
        self._max_balance = MAX_BALANCE

    def set_max_balance(self, max_balance: float) -> None:
        """Sets the maximum balance; an increase is deposited at once."""
        self._balance = min(
            max_balance,
            self._balance + max(0.0, max_balance - self._max_balance),
        )
        self._max_balance = max_balance

    def deposit(self) -> None:
        """Deposits the share of one first attempt."""
        self._balance = min(self._max_balance, self._balance + self._share)

    def has_balance(self, count: int) -> bool:
        """Returns whether the balance covers this number of retries."""
        return self._balance >= count

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


class GatewayRetryBudgets:
    """One gateway's part of the retries allowed to all gateways.

    Each gateway may save its part of the burst. If each gateway could save a
    fixed number of retries, many gateways that lose replicas at the same moment
    would together make more retries than the limits allow.
    """

    def __init__(self, limits: RetryLimits) -> None:
        """Makes budgets for the initial number of gateways.

        Args:
            limits: Limits set by the operators.
        """
        self._limits = limits
        self._budgets: dict[str, RetryBudget] = {}
        self._gateway_count = INITIAL_GATEWAY_COUNT
        self._reported_at: float | None = None

    def set_gateway_count(self, count: int, now: float) -> None:
        """Sets the reported number of gateways.

        A lower number is ignored until the retention time has passed.
        """
        if (
            count >= self._gateway_count
            or self._reported_at is None
            or now - self._reported_at > GATEWAY_COUNT_RETENTION_S
        ):
            self._gateway_count = max(1, count)
            self._reported_at = now
            for budget in self._budgets.values():
                budget.set_max_balance(self._max_balance)

    @property
    def gateway_count(self) -> int:
        """Gateways that share the limits: the highest recent count."""
        return self._gateway_count

    def get_budget(self, service: str) -> RetryBudget:
        """Returns the budget for the retries of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            share = USED_LIMIT_SHARE * self._limits.ratio
            budget = RetryBudget(share=share, balance=self._max_balance)
            budget.set_max_balance(self._max_balance)
            self._budgets[service] = budget
        return budget

    @property
    def _max_balance(self) -> float:
        # A balance of less than one retry could never be spent, so each gateway
        # may save at least one. If there are more gateways than burst retries,
        # the balances together exceed the burst; the retries allowed by the
        # ratio make up for it.
        return max(
            1.0, USED_LIMIT_SHARE * self._limits.burst / self._gateway_count
        )
