"""Token buckets from which one coordinator grants permits to gateways.

A server's limit holds for all gateways together, and there are many more
gateways than requests that the server accepts. An equal share of the limit for
each gateway would be a fraction of a request, and one request for each gateway
a multiple of the limit. So each server has one token bucket, which grants
permits to the gateways that can use them.
"""

from __future__ import annotations

import attrs

from hickorylead.ratelimits import limit_table, messages

# A gateway uses a permit within its lease, counted from the request for the
# permit, or returns it. The lease is `LEASE_S` seconds plus the time in which
# the server accepts `LEASE_REQUESTS` requests, but at most `MAX_LEASE_S`
# seconds. The lower the limit, the longer it takes until a gateway with a
# permit has a request for the server; the number of outstanding permits stays
# small.
LEASE_S = 1.0
LEASE_REQUESTS = 2.0
MAX_LEASE_S = 3.0
# The capacity of a bucket is the number of requests that its server accepts in
# this time, in seconds, and one more request. With the leases, the server gets
# in any 4 s at most as many requests as it accepts in 5.5 s, and three more.
BURST_S = 0.5
# If this coordinator has no bucket yet for a server that has named a limit for
# longer than this, in seconds, another coordinator may have granted permits
# that are still in use. The new bucket then starts in debt by the number of
# requests that the server accepts in this time. A lost coordinator is replaced
# as owner after 1.3 s, and the debt covers the permits that the lost
# coordinator granted within the limit in that time.
TAKEOVER_S = 1.5
# Share of the limit that a coordinator grants without recent contact with a
# leader: the network may be partitioned, with an owner of the server on either
# side.
PARTITION_SHARE = 0.5
# Requests a second that are sent to a server even if its limit is lower: only
# the server's responses show when its overload is over.
MIN_RATE_PER_S = 0.1
# Maximum number of permits in one grant to a gateway for a server; the gateway
# requests more permits afterwards.
MAX_PERMITS = 8
# How long, in seconds, a bucket takes account of requests that no other server
# can take; they are called needed. During this time, other requests leave
# `RESERVED_SHARE` of the bucket's capacity to needed requests, and a gateway
# that gets no permit has to wait until after the gateways that were refused
# permits for needed requests before.
NEED_RETENTION_S = 1.0
RESERVED_SHARE = 0.5
# Maximum time that a reply makes a gateway wait before the gateway requests
# permits again, in seconds.
MAX_WAIT_S = 10.0


@attrs.define
class _Bucket:
    """Token bucket of one server.

    Attributes:
        born: Start of the server's incarnation, in Unix milliseconds.
        tokens: Permits that can be granted; negative while in debt.
        filled_at: When tokens were last added.
        unmet: Refused permits for requests that no other server can take;
            decays with time.
        needed_at: When permits for such a request were last requested.
    """

    born: int
    tokens: float
    filled_at: float
    unmet: float = 0.0
    needed_at: float = -1e9


class Allocator:
    """Token buckets of the servers whose permits this coordinator grants."""

    def __init__(self) -> None:
        """Makes an allocator without buckets."""
        self._buckets: dict[str, _Bucket] = {}

    def allocate(
        self,
        permit_request: messages.Ask,
        known: limit_table.KnownLimit,
        *,
        has_recent_leader: bool,
        now: float,
    ) -> messages.Permits:
        """Returns the permits that a gateway gets.

        Args:
            permit_request: The gateway's request for permits.
            known: The server's limit.
            has_recent_leader: Whether this coordinator had recent contact with
                a leader.
            now: Present time.
        """
        server = permit_request.limit.server
        share = 1.0 if has_recent_leader else PARTITION_SHARE
        per_s = share * max(known.per_s, MIN_RATE_PER_S)
        bucket = self._fill(server, known, per_s, now)
        capacity = _get_capacity(per_s)
        bucket.tokens = min(
            capacity, bucket.tokens + max(0, permit_request.returned)
        )
        reserved = 0.0
        if permit_request.is_needed:
            bucket.needed_at = now
        elif now - bucket.needed_at < NEED_RETENTION_S:
            reserved = RESERVED_SHARE * capacity
        wanted = min(MAX_PERMITS, max(0, permit_request.wanted))
        count = min(wanted, max(0, int(bucket.tokens - reserved)))
        bucket.tokens -= count
        unmet = wanted - count
        lease_ms = int(1000 * get_lease_s(known.per_s))
        if not unmet:
            return messages.Permits(server, known.born, count, lease_ms)
        if permit_request.is_needed:
            bucket.unmet += unmet
        wait_s = (max(1.0, bucket.unmet) - bucket.tokens) / per_s
        wait_ms = int(1000 * min(MAX_WAIT_S, max(0.0, wait_s)))
        return messages.Permits(server, known.born, count, lease_ms, wait_ms)

    def prune(self, now: float) -> None:
        """Drops the buckets that have not been used for a long time."""
        for server, bucket in list(self._buckets.items()):
            if now - bucket.filled_at > limit_table.RETENTION_S:
                del self._buckets[server]

    def _fill(
        self,
        server: str,
        known: limit_table.KnownLimit,
        per_s: float,
        now: float,
    ) -> _Bucket:
        bucket = self._buckets.get(server)
        if bucket is None or bucket.born != known.born:
            is_newly_named = now - known.named_at < TAKEOVER_S
            tokens = (
                _get_capacity(per_s) if is_newly_named else -per_s * TAKEOVER_S
            )
            bucket = _Bucket(known.born, tokens, now)
            self._buckets[server] = bucket
        elapsed_s = now - bucket.filled_at
        bucket.filled_at = now
        bucket.tokens = min(
            _get_capacity(per_s), bucket.tokens + per_s * elapsed_s
        )
        bucket.unmet *= max(0.0, 1.0 - elapsed_s / NEED_RETENTION_S)
        return bucket


def get_lease_s(per_s: float) -> float:
    """Returns how long a permit is valid, in seconds.

    Args:
        per_s: Requests a second that the permit's server accepts.
    """
    usage_s = LEASE_REQUESTS / max(per_s, MIN_RATE_PER_S)
    return min(MAX_LEASE_S, LEASE_S + usage_s)


def _get_capacity(per_s: float) -> float:
    return 1.0 + BURST_S * per_s
