"""The retry budget: extra attempts as a share of the traffic."""

from __future__ import annotations

import attrs

RETRY_SHARE = 0.08
MAX_SAVED = 20.0

# What gateways use of the operators' limits: traffic is spread unevenly over
# them, and what each has saved may come in one window with what it earns.
USED_SHARE = 0.75
# Gateways assumed until a coordinator has told how many there are: a start
# with few retries is felt for a fraction of a second.
INITIAL_GATEWAY_COUNT = 64
# The greatest number told lately counts, for this long, in seconds: the parts
# of a network that is cut each know of fewer, and retry all the same.
GATEWAYS_MEMORY_S = 60.0


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
        self._most = MAX_SAVED

    def set_max_balance(self, most: float) -> None:
        """Sets how many retries may be saved at most; more come at once."""
        self._saved = min(most, self._saved + max(0.0, most - self._most))
        self._most = most

    def deposit(self) -> None:
        """Counts a first attempt."""
        self._saved = min(self._most, self._saved + self._share)

    def has_balance(self, count: int) -> bool:
        """Says whether so many retries are left."""
        return self._saved >= count

    def try_withdraw(self) -> bool:
        """Takes one retry from the budget; says whether there was one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True


@attrs.frozen
class RetryLimits:
    """What the operators allow for each service, over all gateways.

    Attributes:
        ratio: Retries for each request.
        burst: Retries beyond that, in a window of some seconds.
    """

    ratio: float = 0.2
    burst: float = 136.0


DEFAULT_RETRY_LIMITS = RetryLimits()


class GatewayRetryBudgets:
    """One gateway's part of the retries that all may make.

    Each may save its part of what is allowed beyond the ratio. With a fixed
    number for each, many gateways that lose replicas at the same moment would
    make more retries together than are allowed.
    """

    def __init__(self, limits: RetryLimits) -> None:
        """Makes budgets of a gateway that does not know how many there are.

        Args:
            limits: What the operators allow.
        """
        self._limits = limits
        self._budgets: dict[str, RetryBudget] = {}
        self._gateways = INITIAL_GATEWAY_COUNT
        self._told_at: float | None = None

    def set_gateway_count(self, count: int, now: float) -> None:
        """Takes how many gateways there are."""
        if (
            count >= self._gateways
            or self._told_at is None
            or now - self._told_at > GATEWAYS_MEMORY_S
        ):
            self._gateways = max(1, count)
            self._told_at = now
            for budget in self._budgets.values():
                budget.set_max_balance(self._most)

    @property
    def gateway_count(self) -> int:
        """The gateways that share what all may do, the most told lately."""
        return self._gateways

    def get_budget(self, service: str) -> RetryBudget:
        """Returns the budget for the retries of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            share = USED_SHARE * self._limits.ratio
            budget = RetryBudget(share=share, saved=self._most)
            budget.set_max_balance(self._most)
            self._budgets[service] = budget
        return budget

    @property
    def _most(self) -> float:
        # Less than one could never be spent. More gateways than retries
        # beyond the ratio have that ratio to make up for it.
        return max(1.0, USED_SHARE * self._limits.burst / self._gateways)
