"""Retry budgets that all gateways keep together without any communication."""

from __future__ import annotations

import collections

from hickorylead.admission import budget as budget_module

# Length of the windows in which operators limit retries, in seconds.
WINDOW_S = 10.0
# Resolution of window starts and request times, in seconds.
BUCKET_S = 0.25
_BUCKETS = round(WINDOW_S / BUCKET_S)
# Weights of the requests in a window, in the one that starts half a window
# earlier, and in the window before it. They add up to 1, so the weighted number
# is at most the highest of the three, for any set of gateways.
WINDOW_WEIGHT = 0.5
OVERLAP_WEIGHT = 0.4
PREVIOUS_WEIGHT = 0.1
# Share of the operators' burst that is lent to gateways. The rest is for
# requests and retries that reach a gateway or a server in a later window than
# the one in which they were sent.
LENT_BURST_SHARE = 0.75
# Number of retries left below which a gateway that retries asks for a loan, and
# time for which it does, in seconds.
SHORT_BALANCE = 3.0
SHORT_S = 1.0
# Largest error of the sum of the parts of a retry.
ROUNDING = 1e-6


def _weigh(offset: int) -> float:
    """Returns the weight of requests this many buckets after a window start."""
    half = _BUCKETS // 2
    return (
        WINDOW_WEIGHT * (0 <= offset < _BUCKETS)
        + OVERLAP_WEIGHT * (-half <= offset < half)
        + PREVIOUS_WEIGHT * (-_BUCKETS <= offset < 0)
    )


# Weights by the number of buckets between the bucket of a window start and that
# of a request. The exact times within the buckets are unknown, so the lower of
# the two possible weights counts.
_WEIGHTS = {
    offset: min(_weigh(offset - 1), _weigh(offset))
    for offset in range(-_BUCKETS, _BUCKETS + 1)
}


class WindowedBudget:
    """Allows retries by the requests of this gateway alone.

    In any window the retries are at most a share of the weighted number of
    requests, and what is lent. The sum over all gateways that ever ran, in any
    number of incarnations, thus has the same bound.
    """

    def __init__(self, ratio: float) -> None:
        """Makes a budget without requests.

        Args:
            ratio: Retries per request.
        """
        self._ratio = ratio
        self._bucket = 0
        # Requests of the last window by bucket, the latest last.
        self._requests: collections.deque[int] = collections.deque(
            [0] * (_BUCKETS + 1), _BUCKETS + 1
        )
        # Retries left in the windows that started in each of these buckets.
        self._left: collections.deque[float] = collections.deque(
            [0.0] * (_BUCKETS + 1), _BUCKETS + 1
        )

    def record_request(self, now: float) -> None:
        """Records the arrival of a request."""
        self._advance(now)
        self._requests[-1] += 1
        for index in range(_BUCKETS + 1):
            self._left[index] += self._ratio * _WEIGHTS[_BUCKETS - index]

    def get_balance(self, now: float) -> float:
        """Returns how many retries are left, without those that are lent."""
        self._advance(now)
        return min(self._left)

    def withdraw(self, now: float) -> None:
        """Records a retry."""
        self._advance(now)
        for index in range(_BUCKETS + 1):
            self._left[index] -= 1.0

    def refund(self, withdrawn_at: float, now: float) -> None:
        """Takes back a retry that reached no server.

        Args:
            withdrawn_at: When it was withdrawn.
            now: Present time.
        """
        self._advance(now)
        age = self._bucket - int(withdrawn_at / BUCKET_S)
        for index in range(_BUCKETS + 1 - age):
            self._left[index] += 1.0

    def _advance(self, now: float) -> None:
        bucket = int(now / BUCKET_S)
        for _ in range(min(bucket - self._bucket, 2 * _BUCKETS + 1)):
            self._requests.append(0)
            self._left.append(
                self._ratio
                * sum(
                    count * _WEIGHTS[index - _BUCKETS]
                    for index, count in enumerate(self._requests)
                    if count
                )
            )
        self._bucket = max(bucket, self._bucket)


class GatewayRetryBudgets:
    """The retry budgets of one gateway, by service."""

    def __init__(self, limits: budget_module.RetryLimits) -> None:
        """Makes budgets without requests.

        Args:
            limits: Limits set by the operators.
        """
        self._limits = limits
        self._budgets: dict[str, WindowedBudget] = {}
        self._lent_share = 0.0
        self._lent_until = float("-inf")
        # When a retry of each service was last needed.
        self._needed_at: dict[str, float] = {}

    @property
    def unit_share(self) -> float:
        """Share of what coordinators may lend that is one retry."""
        lent = LENT_BURST_SHARE * self._limits.burst
        return 1.0 / lent if lent else 0.0

    def set_loan(self, share: float, until: float) -> None:
        """Sets the share of the burst that a coordinator lent.

        Args:
            share: Share of what coordinators may lend, for each service.
            until: End of the loan.
        """
        self._lent_share = share
        self._lent_until = until

    def record_request(self, service: str, now: float) -> None:
        """Records the arrival of a request for a service."""
        self._get(service).record_request(now)

    def may_retry(self, service: str, now: float) -> bool:
        """Returns whether a retry, which is needed now, is left."""
        self._needed_at[service] = now
        return self.get_balance(service, now) >= 1.0

    def withdraw(self, service: str, now: float) -> None:
        """Records a retry."""
        self._get(service).withdraw(now)

    def is_short(self, now: float) -> bool:
        """Returns whether few retries are left that are needed."""
        return any(
            now - needed_at < SHORT_S
            and self.get_balance(service, now) < SHORT_BALANCE
            for service, needed_at in self._needed_at.items()
        )

    def get_balance(self, service: str, now: float) -> float:
        """Returns how many retries of a service are left."""
        balance = self._get(service).get_balance(now) + self.get_loan(now)
        return balance + ROUNDING

    def refund(self, service: str, withdrawn_at: float, now: float) -> None:
        """Takes back a retry that reached no server."""
        self._get(service).refund(withdrawn_at, now)

    def get_loan(self, now: float) -> float:
        """Returns how many retries are lent for each service."""
        if now >= self._lent_until:
            return 0.0
        return LENT_BURST_SHARE * self._limits.burst * self._lent_share

    def _get(self, service: str) -> WindowedBudget:
        found = self._budgets.get(service)
        if found is None:
            found = WindowedBudget(self._limits.ratio)
            self._budgets[service] = found
        return found
