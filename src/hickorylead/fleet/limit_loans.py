"""Parts of a common limit that one coordinator lends to gateways."""

from __future__ import annotations

import math

import attrs

from hickorylead.admission import windowed_budget

# Time for which a loan is valid after the gateway sent the hello that asked for
# it, in seconds.
LOAN_S = 2.0
# Time after which what was lent may be lent to another gateway, in seconds. No
# window contains uses of both loans.
HOLD_S = LOAN_S + windowed_budget.WINDOW_S
# Time without a leader for which a voter goes on lending, in seconds. It may be
# replaced in the meantime.
LAPSE_S = 8.0
# Time during which a voter that was removed may have loans outstanding, in
# seconds. The part of the others does not grow before that, and a new voter
# does not lend before that.
DELAY_S = LAPSE_S + HOLD_S
# Share of the limit that is lent equally to the gateways known at present. The
# rest is for those that run short and those that start: what their previous
# incarnations were lent is lent again only after the hold time.
STANDING_SHARE = 0.5
# Share of what is left that a gateway gets when it runs short.
GROWTH_SHARE = 0.25
# Steps in which the total is saved, as a share of the limit.
SAVED_STEP = 0.25


@attrs.frozen
class LoanRequest:
    """A gateway's request for a loan.

    Attributes:
        node: The gateway.
        boot: Its incarnation.
        unit_share: Share of the limit that is one retry.
        is_short: Whether it has used up nearly all that it has.
        held_share: Share that this coordinator lent it last, also before a
            restart.
    """

    node: str
    boot: int
    unit_share: float
    is_short: bool = False
    held_share: float = 0.0


@attrs.frozen
class _Loan:
    share: float
    held_until: float
    # Whether it is part of what was lent before a restart.
    is_renewed: bool = False


class LoanLedger:
    """The loans of one coordinator.

    Each voter lends an equal part of the limit. The number of voters is in the
    replicated log, so all voters know it; only voters with a recent leader
    lend.
    """

    def __init__(self, *, is_first: bool) -> None:
        """Makes a ledger without loans.

        Args:
            is_first: Whether the whole system starts for the first time, so
                that nothing is lent.
        """
        self._loans: dict[tuple[str, int], list[_Loan]] = {}
        # Numbers of voters, and until when each counts.
        self._voter_counts: dict[int, float] = {}
        self._fresh_at = float("-inf")
        self._lends_from = float("inf")
        self._knows_total = is_first
        # Share that was lent before a restart, and until when it counts.
        self._earlier_total = 0.0
        self._earlier_until = float("-inf")

    def restore(self, total: float, now: float) -> None:
        """Restores the total that was lent before a restart."""
        self._earlier_total = total
        self._earlier_until = now + HOLD_S
        self._knows_total = True

    def renew(self, voters: int, now: float) -> None:
        """Renews the right to lend, while there is a recent leader.

        Args:
            voters: Number of voters; this coordinator is one of them.
            now: Present time.
        """
        if now - self._fresh_at > LAPSE_S:
            self._lends_from = now + (0.0 if self._knows_total else DELAY_S)
        self._knows_total = False
        self._fresh_at = now
        self._voter_counts[voters] = now + DELAY_S

    def lend(
        self, request: LoanRequest, *, borrowers: int, now: float
    ) -> float:
        """Lends a part of the limit to a gateway; returns the share.

        Args:
            request: What the gateway asks for.
            borrowers: Number of gateways that this coordinator lends to.
            now: Present time.
        """
        self._prune(now)
        if now < self._lends_from or now - self._fresh_at > LAPSE_S:
            return 0.0
        most = 1.0 / max(self._voter_counts)
        holder = (request.node, request.boot)
        loans = self._loans.get(holder, [])
        if now < self._earlier_until and request.held_share:
            # It is part of the total that was lent before the restart.
            share = request.held_share
            loan = _Loan(share, now + HOLD_S, is_renewed=True)
        else:
            free = most - self._sum_shares(now, without=holder)
            held = max((loan.share for loan in loans), default=0.0)
            # Less than one retry would be of no use.
            wanted = max(
                STANDING_SHARE * most / max(1, borrowers), request.unit_share
            )
            if request.is_short:
                growth = max(GROWTH_SHARE * (free - held), request.unit_share)
                wanted = max(wanted, held + growth)
            share = min(wanted, max(0.0, free))
            loan = _Loan(share, now + HOLD_S)
        if share:
            kept = [other for other in loans if other.share > share]
            self._loans[holder] = [*kept, loan]
        return share

    def find_total(self, now: float) -> float:
        """Returns what is to be saved before loans are sent.

        It is rounded up, so that it rarely changes.
        """
        steps = math.ceil(self._sum_shares(now) / SAVED_STEP - 1e-9)
        return steps * SAVED_STEP

    def _sum_shares(
        self, now: float, without: tuple[str, int] | None = None
    ) -> float:
        has_earlier = now < self._earlier_until
        return self._earlier_total * has_earlier + sum(
            max(loan.share for loan in loans)
            for holder, loans in self._loans.items()
            if holder != without
            and not (has_earlier and all(loan.is_renewed for loan in loans))
        )

    def _prune(self, now: float) -> None:
        self._voter_counts = {
            count: until
            for count, until in self._voter_counts.items()
            if until > now
        }
        held = {
            holder: [loan for loan in loans if loan.held_until > now]
            for holder, loans in self._loans.items()
        }
        self._loans = {holder: loans for holder, loans in held.items() if loans}
