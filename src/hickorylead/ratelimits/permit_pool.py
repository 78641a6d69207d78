"""What a gateway does about servers that name a rate limit.

A server that names one gets a request only for a permit. Permits are asked of
the gateway's home as requests could use them, and are valid for a short time.
"""

from __future__ import annotations

import collections
import itertools
from typing import TYPE_CHECKING

import attrs

from hickorylead.admission import budget
from hickorylead.ratelimits import allocator, messages, table as table_module

if TYPE_CHECKING:
    from collections.abc import Iterable
    import random

    from hickorylead.forwarding import model

# Permits that requests could use, but do not depend on, are asked for this
# often, in seconds.
ASK_PERIOD_S = 0.5
# A request for permits without a reply is taken for lost after this, in
# seconds: a round trip through two coordinators takes some milliseconds.
LOST_S = 0.25
# Without a reply to any request for this long, in seconds, the gateway sends
# its own part of each limit: its home and the next one are lost, or it is cut
# off, and servers that it reaches would stay idle. Another home is found in
# 1.2 s.
ALONE_S = 1.5
# What servers named is told again to the home this often, in seconds.
RETELL_PERIOD_S = 5.0


@attrs.define
class _Account:
    """What one gateway holds and wants of one server.

    Attributes:
        expiries: When each permit ends, the first one first.
        wanted: Requests that could have used a permit since the last ask.
        is_needed: Whether one of them has nowhere else to go.
        returned: Permits that ended unused and were not told of yet.
        asked_at: When permits were asked for, while no reply has come.
        denied_until: When there may be permits again.
        alone: Permits that the gateway has by itself, without coordinators.
        alone_at: When these were counted last.
    """

    expiries: collections.deque[float] = attrs.field(factory=collections.deque)
    wanted: int = 0
    is_needed: bool = False
    returned: int = 0
    asked_at: float = -1e9
    denied_until: float = -1e9
    alone: float = 0.0
    alone_at: float | None = None


class PermitPool:
    """The limits that a gateway knows, and its permits."""

    def __init__(self, node: str, *, first: int, rng: random.Random) -> None:
        """Makes permits of a gateway that knows of no limit.

        Args:
            node: Name of the gateway.
            first: Number of its first request, another one in each life.
            rng: Spreads what gateways send that are on their own.
        """
        self._node = node
        self._rng = rng
        self._numbers = itertools.count(first)
        self.table = table_module.Table()
        self._accounts: dict[str, _Account] = {}
        # When the requests without a reply were sent, by number.
        self._asked: dict[int, float] = {}
        self._unanswered_since: float | None = None
        self._last_asked_at = -1e9
        self._next_ask = -1e9
        self._next_retell = -1e9
        self._is_untold = False
        self._is_needed = False
        self._is_homeless = False
        self._heard_here: dict[str, float] = {}
        self._gateways = budget.INITIAL_GATEWAY_COUNT

    def set_gateway_count(self, count: int) -> None:
        """Takes how many gateways there are."""
        self._gateways = max(1, count)

    @property
    def has_urgent_demand(self) -> bool:
        """Whether a request waits for a permit that was not asked for yet."""
        return self._is_needed

    # What servers tell.

    def record_response(
        self, replica: model.Replica, limit_per_s: float | None, now: float
    ) -> bool:
        """Takes what an answer told of a limit; says whether it is news."""
        if limit_per_s is None and not len(self.table):
            return False
        limit = messages.RateLimit(
            replica.name,
            replica.born,
            limit_per_s or 0.0,
            is_named=limit_per_s is not None,
            age_ms=0,
            named_ms=0,
        )
        is_news = self.table.take(limit, now)
        if limit_per_s is not None or is_news:
            self._heard_here[replica.name] = now
        self._is_untold = self._is_untold or is_news
        return is_news

    def merge_limits(
        self, limits: Iterable[messages.RateLimit], now: float
    ) -> None:
        """Takes limits that another node tells."""
        for limit in limits:
            self.table.take(limit, now)

    # Requests.

    def get_limit_per_s(
        self, replica: model.Replica, now: float
    ) -> float | None:
        """Returns the requests a second that a replica takes; None if any."""
        known = self.table.find(replica.name, replica.born, now)
        return known.per_s if known else None

    def may_send(self, replica: model.Replica, now: float) -> bool:
        """Says whether a replica may be sent a request now."""
        if not len(self.table):
            return True
        known = self.table.find(replica.name, replica.born, now)
        if known is None:
            return True
        account = self._find(replica.name)
        self._drop_expired(account, now)
        return bool(account.expiries) or self._has_own(account, known, now)

    def consume_permit(self, replica: model.Replica, now: float) -> None:
        """Takes that a replica is sent a request."""
        if self.table.find(replica.name, replica.born, now) is None:
            return
        account = self._find(replica.name)
        if account.expiries:
            account.expiries.popleft()
        else:
            account.alone -= 1.0

    def request_permit(
        self, replica: model.Replica, *, is_needed: bool, now: float
    ) -> None:
        """Takes that a request could have used a permit for a replica.

        Args:
            replica: The replica.
            is_needed: Whether the request has nowhere else to go.
            now: Present time.
        """
        account = self._find(replica.name)
        if is_needed:
            # It asks again and again while it waits; that is one request.
            account.wanted = max(1, account.wanted)
            account.is_needed = True
        else:
            account.wanted = min(allocator.MAX_PERMITS, account.wanted + 1)
        self._is_needed = self._is_needed or is_needed

    def get_wait_remaining_s(self, replica: model.Replica, now: float) -> float:
        """Returns when there may be a permit, in seconds; 0 if unknown."""
        return max(0.0, self._find(replica.name).denied_until - now)

    # Coordinators.

    def collect_messages(
        self, home: str, now: float
    ) -> list[tuple[str, messages.Message]]:
        """Returns what the home is to be told now.

        Args:
            home: The gateway's coordinator; empty if it has none.
            now: Present time.
        """
        if not len(self.table):
            return []
        self._is_needed = False
        if not home:
            self._is_homeless = True
            self._note_unanswered(now)
            return []
        if self._is_homeless:
            # What it saved by itself ends with that: all gateways would send
            # theirs beside the permits of the coordinators that are back.
            self._is_homeless = False
            self._unanswered_since = None
        sent: list[tuple[str, messages.Message]] = []
        if self._is_untold or now >= self._next_retell:
            self._is_untold = False
            self._next_retell = now + RETELL_PERIOD_S
            limits = self._describe_heard(now)
            if limits:
                news = messages.LimitNews(self._node, limits)
                sent.append((home, news))
        asks = self._list_asks(now)
        if asks:
            if now - self._last_asked_at > ALONE_S:
                # What got no reply before that says nothing about now: a
                # coordinator may have been lost just then, and one is back.
                self._unanswered_since = None
            self._last_asked_at = now
            self._note_unanswered(now)
            number = next(self._numbers)
            self._asked[number] = now
            request = messages.PermitRequest(self._node, number, tuple(asks))
            sent.append((home, request))
        return sent

    def handle_reply(self, reply: messages.PermitReply, now: float) -> bool:
        """Takes permits; says whether there are any, or a wait is over."""
        # The time counts from the request: a reply that was held up on its
        # way may not bring permits that were given out long ago.
        asked_at = self._asked.get(reply.number)
        if asked_at is None:
            return False
        self._unanswered_since = None
        for permits in reply.permits:
            account = self._find(permits.server)
            account.asked_at = -1e9
            account.denied_until = now + permits.wait_ms / 1000.0
            account.alone_at = None
            expires_at = asked_at + permits.lease_ms / 1000.0
            if expires_at > now:
                account.expiries.extend([expires_at] * permits.count)
        return True

    def prune(self, now: float) -> None:
        """Drops what is over; call it now and then."""
        self.table.forget(now)
        for number, asked_at in list(self._asked.items()):
            if now - asked_at > allocator.LONGEST_LEASE_S:
                del self._asked[number]
        for server in list(self._accounts):
            if self.table.find(server, 0, now) is None:
                del self._accounts[server]
        for server, heard_at in list(self._heard_here.items()):
            if now - heard_at > table_module.MEMORY_S:
                del self._heard_here[server]

    def _note_unanswered(self, now: float) -> None:
        if self._unanswered_since is None:
            self._unanswered_since = now

    def _find(self, server: str) -> _Account:
        account = self._accounts.get(server)
        if account is None:
            account = self._accounts[server] = _Account()
        return account

    def _drop_expired(self, account: _Account, now: float) -> None:
        while account.expiries and account.expiries[0] <= now:
            account.expiries.popleft()
            account.returned += 1

    def _describe_heard(self, now: float) -> tuple[messages.RateLimit, ...]:
        return self.table.describe(
            [
                server
                for server, heard_at in self._heard_here.items()
                if now - heard_at <= RETELL_PERIOD_S
            ],
            now,
        )

    def _list_asks(self, now: float) -> list[messages.Ask]:
        is_due = now >= self._next_ask
        asks = []
        for server, account in self._accounts.items():
            if not account.wanted and not (is_due and account.returned):
                continue
            is_open = now - account.asked_at < LOST_S
            is_denied = now < account.denied_until
            is_urgent = account.is_needed and not is_open and not is_denied
            if not is_urgent and not is_due:
                continue
            limit = self.table.describe((server,), now)
            if not limit or not limit[0].is_named:
                account.wanted = 0
                continue
            asks.append(
                messages.Ask(
                    limit[0],
                    account.wanted,
                    account.is_needed,
                    account.returned,
                )
            )
            account.asked_at = now
            account.wanted, account.is_needed = 0, False
            account.returned = 0
        if is_due and asks:
            self._next_ask = now + ASK_PERIOD_S
        return asks

    def _has_own(
        self, account: _Account, known: table_module.Known, now: float
    ) -> bool:
        """Says whether the gateway may send one without coordinators."""
        since = self._unanswered_since
        is_asking = self._is_homeless or now - self._last_asked_at <= ALONE_S
        if since is None or now - since < ALONE_S or not is_asking:
            account.alone_at = None
            return False
        if account.alone_at is None:
            # Gateways that lose their coordinators do so together. Without a
            # part of their own to begin with, all would send in one moment.
            account.alone = self._rng.random()
            account.alone_at = since + ALONE_S
        per_s = max(known.per_s, allocator.LEAST_PER_S) / self._gateways
        passed_s = now - account.alone_at
        account.alone_at = now
        account.alone = min(1.0, account.alone + per_s * passed_s)
        return account.alone >= 1.0
