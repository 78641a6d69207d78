"""Rate limits and permits at one gateway.

The gateway sends a request to a server that names a rate limit only with a
permit. The gateway requests permits from its home coordinator when requests
could use them. Permits are valid for a short time.
"""

from __future__ import annotations

import collections
import itertools
from typing import TYPE_CHECKING

import attrs

from hickorylead.fleet import gateway_count
from hickorylead.ratelimits import allocator, limit_table, messages

if TYPE_CHECKING:
    from collections.abc import Iterable
    import random

    from hickorylead.forwarding import model
    from hickorylead.turns import own_pauses

# Interval at which the gateway requests permits for requests that another
# server could take as well, in seconds.
REQUEST_PERIOD_S = 0.5
# Time after which a request for permits without a reply is treated as lost, in
# seconds: a round trip through two coordinators takes some milliseconds.
REPLY_TIMEOUT_S = 0.25
# Time without a reply to any request for permits after which the gateway uses a
# local share of each limit, in seconds. Its home coordinator and the next home
# coordinator are then lost, or the gateway is partitioned from them, and
# servers that the gateway reaches would stay idle. The gateway finds another
# home coordinator in 1.2 s.
LOCAL_SHARE_AFTER_S = 1.5
# Interval at which the gateway reports the limits in responses of servers to
# its home coordinator again, in seconds.
REPORT_PERIOD_S = 5.0


@attrs.define
class _Account:
    """Permits and demand of one gateway for one server.

    Attributes:
        expiries: When each permit expires, the earliest first.
        wanted: Requests that could have used a permit since permits were last
            requested.
        is_needed: Whether one of these requests can be sent to no other server.
        returned: Permits that expired unused and were not reported yet.
        requested_at: When permits were requested, while no reply has arrived.
        denied_until: When permits may be available again.
        local_tokens: Permits of the gateway's local share, used without
            coordinators.
        local_updated_at: When the local tokens were last updated.
    """

    expiries: collections.deque[float] = attrs.field(factory=collections.deque)
    wanted: int = 0
    is_needed: bool = False
    returned: int = 0
    requested_at: float = -1e9
    denied_until: float = -1e9
    local_tokens: float = 0.0
    local_updated_at: float | None = None


class PermitPool:
    """The limits that a gateway has received, and its permits."""

    def __init__(
        self,
        node: str,
        *,
        first: int,
        rng: random.Random,
        pauses: own_pauses.OwnPauses,
    ) -> None:
        """Makes a pool without limits and permits.

        Args:
            node: Name of the gateway.
            first: Number of the pool's first request for permits, different in
                each incarnation of the gateway.
            rng: Randomizes the initial local tokens, so that gateways without
                coordinators do not all send at once.
            pauses: Times at which the gateway did not handle replies.
        """
        self._pauses = pauses
        self._node = node
        self._rng = rng
        self._numbers = itertools.count(first)
        self.table = limit_table.LimitTable()
        self._accounts: dict[str, _Account] = {}
        # Send times of recent requests for permits, by request number.
        self._request_times: dict[int, float] = {}
        self._no_reply_since: float | None = None
        self._last_request_at = -1e9
        self._next_request_at = -1e9
        self._next_report_at = -1e9
        self._has_unreported = False
        self._has_urgent_demand = False
        self._lacks_home_coordinator = False
        self._received_at: dict[str, float] = {}
        self._gateway_count = gateway_count.INITIAL_COUNT

    def set_gateway_count(self, count: int) -> None:
        """Sets the number of gateways."""
        self._gateway_count = max(1, count)

    @property
    def has_urgent_demand(self) -> bool:
        """Whether a request waits for a permit that was not requested yet."""
        return self._has_urgent_demand

    # Limits in responses of servers and updates of coordinators.

    def record_response(
        self, replica: model.Replica, limit_per_s: float | None, now: float
    ) -> bool:
        """Records a limit in a response; returns whether it is significant."""
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
        is_significant = self.table.merge(limit, now)
        if limit_per_s is not None or is_significant:
            self._received_at[replica.name] = now
        self._has_unreported = self._has_unreported or is_significant
        return is_significant

    def merge_limits(
        self, limits: Iterable[messages.RateLimit], now: float
    ) -> None:
        """Merges limits that another node sent."""
        for limit in limits:
            self.table.merge(limit, now)

    # Permits for requests.

    def get_limit_per_s(
        self, replica: model.Replica, now: float
    ) -> float | None:
        """Returns a replica's limit in requests a second; None without one."""
        known = self.table.find(replica.name, replica.born, now)
        return known.per_s if known else None

    def may_send(self, replica: model.Replica, now: float) -> bool:
        """Returns whether the gateway may send a replica a request now."""
        if not len(self.table):
            return True
        known = self.table.find(replica.name, replica.born, now)
        if known is None:
            return True
        account = self._find(replica.name)
        self._drop_expired(account, now)
        return bool(account.expiries) or self._has_local_permit(
            account, known, now
        )

    def consume_permit(self, replica: model.Replica, now: float) -> None:
        """Uses up a permit for a request that is sent to a replica."""
        if self.table.find(replica.name, replica.born, now) is None:
            return
        account = self._find(replica.name)
        if account.expiries:
            account.expiries.popleft()
        else:
            account.local_tokens -= 1.0

    def request_permit(
        self, replica: model.Replica, *, is_needed: bool, now: float
    ) -> None:
        """Records that a request could have used a permit for a replica.

        Args:
            replica: The replica.
            is_needed: Whether the request can be sent to no other server.
            now: Present time.
        """
        account = self._find(replica.name)
        if is_needed:
            # This method is called repeatedly for a waiting request, which
            # needs only one permit.
            account.wanted = max(1, account.wanted)
            account.is_needed = True
        else:
            account.wanted = min(allocator.MAX_PERMITS, account.wanted + 1)
        self._has_urgent_demand = self._has_urgent_demand or is_needed

    def get_wait_remaining_s(self, replica: model.Replica, now: float) -> float:
        """Returns how long until a permit may be available, in seconds.

        Returns 0 if the time is unknown.
        """
        return max(0.0, self._find(replica.name).denied_until - now)

    # Messages to and from coordinators.

    def collect_messages(
        self, home_coordinator: str, now: float
    ) -> list[tuple[str, messages.Message]]:
        """Returns the messages that are due to the home coordinator.

        Args:
            home_coordinator: Name of the gateway's home coordinator; empty if
                it has none.
            now: Present time.
        """
        if not len(self.table):
            return []
        self._has_urgent_demand = False
        if not home_coordinator:
            self._lacks_home_coordinator = True
            self._start_reply_timer(now)
            return []
        if self._lacks_home_coordinator:
            # The gateway stops using its local shares: otherwise all gateways
            # would use their local shares in addition to the permits of the
            # coordinators that are back.
            self._lacks_home_coordinator = False
            self._no_reply_since = None
        sent: list[tuple[str, messages.Message]] = []
        if self._has_unreported or now >= self._next_report_at:
            self._has_unreported = False
            self._next_report_at = now + REPORT_PERIOD_S
            limits = self._describe_received(now)
            if limits:
                update = messages.LimitNews(self._node, limits)
                sent.append((home_coordinator, update))
        permit_requests = self._collect_requests(now)
        if permit_requests:
            if now - self._last_request_at > LOCAL_SHARE_AFTER_S:
                # An earlier request for permits without a reply says nothing
                # about the present: a coordinator may have been lost at that
                # moment and replaced since.
                self._no_reply_since = None
            self._last_request_at = now
            self._start_reply_timer(now)
            number = next(self._numbers)
            self._request_times[number] = now
            request = messages.PermitRequest(
                self._node, number, tuple(permit_requests)
            )
            sent.append((home_coordinator, request))
        return sent

    def handle_reply(self, reply: messages.PermitReply, now: float) -> bool:
        """Adds the permits of a reply; returns whether it was expected."""
        # The lease counts from the request for permits: a delayed reply must
        # not bring permits that were granted long ago.
        requested_at = self._request_times.get(reply.number)
        if requested_at is None:
            return False
        self._no_reply_since = None
        for permits in reply.permits:
            account = self._find(permits.server)
            account.requested_at = -1e9
            account.denied_until = now + permits.wait_ms / 1000.0
            account.local_updated_at = None
            expires_at = requested_at + permits.lease_ms / 1000.0
            if expires_at > now:
                account.expiries.extend([expires_at] * permits.count)
        return True

    def prune(self, now: float) -> None:
        """Drops expired state; to be called periodically."""
        self.table.prune(now)
        for number, requested_at in list(self._request_times.items()):
            if now - requested_at > allocator.MAX_LEASE_S:
                del self._request_times[number]
        for server in list(self._accounts):
            if self.table.find(server, 0, now) is None:
                del self._accounts[server]
        for server, received_at in list(self._received_at.items()):
            if now - received_at > limit_table.RETENTION_S:
                del self._received_at[server]

    def _start_reply_timer(self, now: float) -> None:
        if self._no_reply_since is None:
            self._no_reply_since = now

    def _find(self, server: str) -> _Account:
        account = self._accounts.get(server)
        if account is None:
            account = self._accounts[server] = _Account()
        return account

    def _drop_expired(self, account: _Account, now: float) -> None:
        while account.expiries and account.expiries[0] <= now:
            account.expiries.popleft()
            account.returned += 1

    def _describe_received(self, now: float) -> tuple[messages.RateLimit, ...]:
        return self.table.describe(
            [
                server
                for server, received_at in self._received_at.items()
                if now - received_at <= REPORT_PERIOD_S
            ],
            now,
        )

    def _collect_requests(self, now: float) -> list[messages.Ask]:
        is_due = now >= self._next_request_at
        permit_requests = []
        for server, account in self._accounts.items():
            if not account.wanted and not (is_due and account.returned):
                continue
            is_pending = now - account.requested_at < REPLY_TIMEOUT_S
            is_denied = now < account.denied_until
            is_urgent = account.is_needed and not is_pending and not is_denied
            if not is_urgent and not is_due:
                continue
            limit = self.table.describe((server,), now)
            if not limit or not limit[0].is_named:
                account.wanted = 0
                continue
            permit_requests.append(
                messages.Ask(
                    limit[0],
                    account.wanted,
                    account.is_needed,
                    account.returned,
                )
            )
            account.requested_at = now
            account.wanted, account.is_needed = 0, False
            account.returned = 0
        if is_due and permit_requests:
            self._next_request_at = now + REQUEST_PERIOD_S
        return permit_requests

    def _has_local_permit(
        self, account: _Account, known: limit_table.KnownLimit, now: float
    ) -> bool:
        """Returns whether the local share allows sending a request."""
        since = self._no_reply_since
        is_requesting = (
            self._lacks_home_coordinator
            or now - self._last_request_at <= LOCAL_SHARE_AFTER_S
        )
        over_s = -1.0
        if since is not None:
            silent_s = self._pauses.measure_silence(since, now)
            over_s = silent_s - LOCAL_SHARE_AFTER_S
        if over_s < 0 or not is_requesting:
            account.local_updated_at = None
            return False
        if account.local_updated_at is None:
            # Gateways lose their coordinators at the same time. With equal
            # initial tokens, all gateways would send at the same moment.
            account.local_tokens = self._rng.random()
            account.local_updated_at = now - over_s
        per_s = max(known.per_s, allocator.MIN_RATE_PER_S) / self._gateway_count
        elapsed_s = now - account.local_updated_at
        account.local_updated_at = now
        account.local_tokens = min(
            1.0, account.local_tokens + per_s * elapsed_s
        )
        return account.local_tokens >= 1.0
