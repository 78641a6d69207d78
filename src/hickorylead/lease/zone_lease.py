"""The zone lease: one control process of a zone gives orders at a time.

Every control process is a grantor and a candidate. Nothing is kept on disk.
Times are seconds of a monotonic clock; only its rate matters, not its value.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead.lease import messages

if TYPE_CHECKING:
    import random

TERM_S = 3.0
# The holder stops this much before its grantors forget it, so that clocks
# whose rates differ by up to a tenth never give two holders at once.
HOLDER_SHARE = 0.9
RENEW_S = 0.75
ROUND_S = 0.25
RETRY_MIN_S = 0.4
RETRY_MAX_S = 1.6
LONGEST_ORDER_S = 2.0
# Numbers rise in steps of this; what is below a step is drawn at random. After
# a restart of the whole zone nobody remembers which numbers were used, and two
# holders with one number could not be told apart.
NUMBER_STEP = 1 << 20


class ZoneLease:
    """One control process's part in the lease of its zone."""

    def __init__(
        self,
        *,
        node: str,
        nodes: tuple[str, ...],
        rng: random.Random,
        now: float,
    ) -> None:
        """Makes the part of a process that has just started.

        Args:
            node: Name of this process.
            nodes: Names of all control processes of the zone, this one too.
            rng: Source of the spread of retries.
            now: Present time.
        """
        self._node = node
        self._nodes = tuple(sorted(nodes))
        self._rng = rng
        # A grantor that restarted has forgotten its promise. Until that has
        # run out it must not make another one, or two processes would hold
        # the lease; a whole term of silence is enough, as no promise is
        # longer.
        self._silent_until = now + TERM_S
        self._promised_to = ""
        self._promised_until = now
        self._highest = 0
        self._number = 0
        self._held_until = now
        self._held_since = now
        self._round = 0
        self._round_sent = now
        self._granted: set[str] = set()
        self._next_try = now + TERM_S + self._spread()

    @property
    def fencing_number(self) -> int:
        """The fencing number held, or last held."""
        return self._number

    def is_held(self, now: float) -> bool:
        """Says whether this process holds the lease now."""
        return now < self._held_until

    def may_issue_orders(self, now: float) -> bool:
        """Says whether orders may be given now.

        Some backend servers ignore fencing numbers. An order that the holder
        before gave just before its lease ended can still be on the way, so a
        new holder first waits for as long as an order can take.
        """
        return (
            self.is_held(now)
            and now >= self._held_since + LONGEST_ORDER_S
            and self._number >= self._highest
        )

    def observe_fencing_number(self, number: int) -> None:
        """Takes note of a fencing number that a server or an entry has seen.

        After a restart of the whole zone the grantors know no number; the
        others still do. A holder with a lower one stops giving orders until
        it has a number above.
        """
        self._highest = max(self._highest, number)

    def tick(self, now: float) -> list[messages.Send]:
        """Lets time pass; renews the lease or tries to get it."""
        self._end_failed_round(now)
        if now < self._next_try or now < self._silent_until:
            return []
        if not self.is_held(now) or self._number < self._highest:
            if not self.is_held(now) and not self._may_promise(self._node, now):
                self._next_try = now + self._spread()
                return []
            self._number = self._choose_number()
        self._round += 1
        self._round_sent = now
        self._granted = set()
        self._next_try = now + (
            RENEW_S if self.is_held(now) else self._spread()
        )
        request = messages.LeaseRequest(self._node, self._number, self._round)
        reply = self._grant(request, now)
        self._count_reply(reply, now)
        return [
            messages.Send(node, request)
            for node in self._nodes
            if node != self._node
        ]

    def receive(
        self, message: messages.Message, now: float
    ) -> list[messages.Send]:
        """Handles a message of another control process of the zone."""
        match message:
            case messages.LeaseRequest(candidate):
                if now < self._silent_until:
                    return []
                return [messages.Send(candidate, self._grant(message, now))]
            case messages.LeaseReply():
                self._count_reply(message, now)
                return []

    def _end_failed_round(self, now: float) -> None:
        """Takes back the promise to itself when no majority followed it.

        Two candidates that each promised the lease to themselves would refuse
        each other for as long as both go on trying. Between its rounds a
        candidate is free, so the other one's next round succeeds.
        """
        if (
            self._promised_to == self._node
            and not self.is_held(now)
            and now - self._round_sent >= ROUND_S
        ):
            # Replies to that round may still come; they count no more.
            self._round += 1
            self._promised_to = ""
            self._promised_until = now

    def _may_promise(self, candidate: str, now: float) -> bool:
        return self._promised_to == candidate or now >= self._promised_until

    def _grant(
        self, request: messages.LeaseRequest, now: float
    ) -> messages.LeaseReply:
        renews = (
            request.candidate == self._promised_to
            and request.number == self._highest
        )
        granted = self._may_promise(request.candidate, now) and (
            renews or request.number > self._highest
        )
        if request.candidate == self._node and now < self._silent_until:
            granted = False
        if granted:
            self._promised_to = request.candidate
            self._promised_until = now + TERM_S
            self._highest = max(self._highest, request.number)
        return messages.LeaseReply(
            self._node, granted, self._highest, request.round
        )

    def _count_reply(self, reply: messages.LeaseReply, now: float) -> None:
        self.observe_fencing_number(reply.highest)
        if reply.round != self._round or not reply.granted:
            return
        self._granted.add(reply.grantor)
        if 2 * len(self._granted) <= len(self._nodes):
            return
        if not self.is_held(now):
            self._held_since = now
        # Counted from when the request left: grantors counted from when it
        # came, which is later, so the holder always stops first.
        self._held_until = self._round_sent + TERM_S * HOLDER_SHARE

    def _choose_number(self) -> int:
        step = self._highest // NUMBER_STEP + 1
        return step * NUMBER_STEP + self._rng.randrange(NUMBER_STEP)

    def _spread(self) -> float:
        return self._rng.uniform(RETRY_MIN_S, RETRY_MAX_S)
