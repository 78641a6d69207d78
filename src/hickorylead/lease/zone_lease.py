"""The zone lease: one control process of a zone issues orders at a time.

Every control process is a grantor and a candidate. Nothing is stored on disk.
Times are seconds of a monotonic clock; only the clock's rate matters.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorylead.lease import messages

if TYPE_CHECKING:
    import random

TERM_S = 3.0
# Fraction of the term after which a holder without a renewal stops issuing
# orders. It stops before its grants expire, so there are never two holders at
# once if the rates of the clocks differ by up to a tenth.
HOLDER_TERM_FRACTION = 0.9
RENEW_INTERVAL_S = 0.75
ROUND_TIMEOUT_S = 0.25
RETRY_MIN_S = 0.4
RETRY_MAX_S = 1.6
MAX_ORDER_DELAY_S = 2.0
# Step in which fencing numbers rise; the part of a number below the step is
# random. After all control processes of the zone have restarted, none of them
# has a record of the numbers that were used. Without the random part, a new
# holder could have the same number as a previous one and be indistinguishable
# from it.
NUMBER_STEP = 1 << 20


class ZoneLease:
    """One control process's grantor and candidate state for its zone."""

    def __init__(
        self,
        *,
        node: str,
        nodes: tuple[str, ...],
        rng: random.Random,
        now: float,
    ) -> None:
        """Creates the state of a process that has just started.

        Args:
            node: Name of this process.
            nodes: Names of all control processes of the zone, including this
                one.
            rng: Source of retry jitter and of the random part of fencing
                numbers.
            now: Present time.
        """
        self._node = node
        self._nodes = tuple(sorted(nodes))
        self._rng = rng
        # A grantor that restarted has lost its record of the lease that it
        # granted. Until that grant has expired it must not grant the lease
        # again, or two processes could hold it. One full term without grants is
        # enough, as no grant lasts longer.
        self._abstains_until = now + TERM_S
        self._granted_to = ""
        self._granted_until = now
        self._highest = 0
        self._number = 0
        self._held_until = now
        self._held_since = now
        self._round = 0
        self._round_sent_at = now
        self._grantors: set[str] = set()
        self._next_attempt_at = now + TERM_S + self._draw_retry_delay()

    @property
    def fencing_number(self) -> int:
        """Fencing number of the lease that this process holds or last held."""
        return self._number

    def is_held(self, now: float) -> bool:
        """Returns whether this process holds the lease now."""
        return now < self._held_until

    def may_issue_orders(self, now: float) -> bool:
        """Returns whether orders may be issued now.

        Some backend servers ignore fencing numbers. An order that the previous
        holder issued just before its lease ended can still be in flight, so a
        new holder first waits for as long as an order can take.
        """
        return (
            self.is_held(now)
            and now >= self._held_since + MAX_ORDER_DELAY_S
            and self._number >= self._highest
        )

    def observe_fencing_number(self, number: int) -> None:
        """Records a fencing number reported by a server or an entry.

        After all control processes of the zone have restarted, the grantors
        have no number, while servers and entries still do. A holder with a
        lower number stops issuing orders until it has a higher one.
        """
        self._highest = max(self._highest, number)

    def tick(self, now: float) -> list[messages.Send]:
        """Handles the passing of time: renews or requests the lease."""
        self._end_failed_round(now)
        if now < self._next_attempt_at or now < self._abstains_until:
            return []
        if not self.is_held(now) or self._number < self._highest:
            if not self.is_held(now) and not self._may_grant(self._node, now):
                self._next_attempt_at = now + self._draw_retry_delay()
                return []
            self._number = self._choose_number()
        self._round += 1
        self._round_sent_at = now
        self._grantors = set()
        self._next_attempt_at = now + (
            RENEW_INTERVAL_S if self.is_held(now) else self._draw_retry_delay()
        )
        request = messages.LeaseRequest(self._node, self._number, self._round)
        reply = self._handle_request(request, now)
        self._handle_reply(reply, now)
        return [
            messages.Send(node, request)
            for node in self._nodes
            if node != self._node
        ]

    def receive(
        self, message: messages.Message, now: float
    ) -> list[messages.Send]:
        """Handles a message from another control process of the zone."""
        match message:
            case messages.LeaseRequest(candidate):
                if now < self._abstains_until:
                    return []
                return [
                    messages.Send(candidate, self._handle_request(message, now))
                ]
            case messages.LeaseReply():
                self._handle_reply(message, now)
                return []

    def _end_failed_round(self, now: float) -> None:
        """Revokes this process's grant to itself if no majority granted it.

        Two candidates that each granted the lease to themselves would refuse
        each other for as long as both keep trying. Between its rounds a
        candidate has no grant, so the other candidate's next round succeeds.
        """
        if (
            self._granted_to == self._node
            and not self.is_held(now)
            and now - self._round_sent_at >= ROUND_TIMEOUT_S
        ):
            # Replies to the failed round may still arrive; they are ignored
            # because their round number is no longer current.
            self._round += 1
            self._granted_to = ""
            self._granted_until = now

    def _may_grant(self, candidate: str, now: float) -> bool:
        return self._granted_to == candidate or now >= self._granted_until

    def _handle_request(
        self, request: messages.LeaseRequest, now: float
    ) -> messages.LeaseReply:
        renews = (
            request.candidate == self._granted_to
            and request.number == self._highest
        )
        granted = self._may_grant(request.candidate, now) and (
            renews or request.number > self._highest
        )
        if request.candidate == self._node and now < self._abstains_until:
            granted = False
        if granted:
            self._granted_to = request.candidate
            self._granted_until = now + TERM_S
            self._highest = max(self._highest, request.number)
        return messages.LeaseReply(
            self._node, granted, self._highest, request.round
        )

    def _handle_reply(self, reply: messages.LeaseReply, now: float) -> None:
        self.observe_fencing_number(reply.highest)
        if reply.round != self._round or not reply.granted:
            return
        self._grantors.add(reply.grantor)
        if 2 * len(self._grantors) <= len(self._nodes):
            return
        if not self.is_held(now):
            self._held_since = now
        # The holder counts its term from when it sent the request. Grantors
        # count theirs from when the request arrived, which is later, so the
        # holder always stops first.
        self._held_until = self._round_sent_at + TERM_S * HOLDER_TERM_FRACTION

    def _choose_number(self) -> int:
        step = self._highest // NUMBER_STEP + 1
        return step * NUMBER_STEP + self._rng.randrange(NUMBER_STEP)

    def _draw_retry_delay(self) -> float:
        return self._rng.uniform(RETRY_MIN_S, RETRY_MAX_S)
