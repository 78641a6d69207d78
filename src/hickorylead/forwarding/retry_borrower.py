"""Loans of retries from the view of the gateway that borrows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead.fleet import limit_loans

if TYPE_CHECKING:
    from hickorylead.admission import windowed_budget


class RetryBorrower:
    """What a gateway was lent, and whether it needs more."""

    def __init__(self, budgets: windowed_budget.GatewayRetryBudgets) -> None:
        """Makes a borrower without a loan.

        Args:
            budgets: The gateway's retry budgets.
        """
        self._budgets = budgets
        self._lender = ""
        self._share = 0.0
        self._lent_at = 0.0
        self.is_short = False

    @property
    def unit_share(self) -> float:
        """Share of the common retry limit that is one retry."""
        return self._budgets.unit_share

    def check_shortage(self, now: float) -> bool:
        """Returns whether the gateway has run short since the last check."""
        was_short = self.is_short
        self.is_short = self._budgets.is_short(now)
        return self.is_short and not was_short

    def record_loan(self, lender: str, share: float, hello_ms: int) -> None:
        """Records a loan.

        Args:
            lender: The coordinator.
            share: Share of the common retry limit.
            hello_ms: Time of the hello that the coordinator replied to, by the
                gateway's clock, in milliseconds.
        """
        lent_at = hello_ms / 1000.0
        self._budgets.set_loan(share, lent_at + limit_loans.LOAN_S)
        if share:
            self._lender, self._share, self._lent_at = lender, share, lent_at

    def find_held_share(self, lender: str, now: float) -> float:
        """Returns the share that a coordinator still holds for the gateway."""
        is_held = (
            lender == self._lender and now - self._lent_at < limit_loans.HOLD_S
        )
        return self._share if is_held else 0.0
