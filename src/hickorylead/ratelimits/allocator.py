"""Permits for servers that name a rate limit, shared out by one coordinator.

A server's limit holds for all gateways together, and they are many more than
the requests that it takes: a part for each would be a fraction of a request,
and a whole one for each a multiple of the limit. So one token bucket a server
gives permits to those gateways that have a use for them.
"""

from __future__ import annotations

import attrs

from hickorylead.ratelimits import messages, table as table_module

# Permits are used within a time of being asked for, or given back: this time,
# in seconds, and that in which the server takes so many requests. The less it
# takes, the longer it is until a gateway that has a permit sends it something;
# all that are out stay few.
LEASE_S = 1.0
LEASE_REQUESTS = 2.0
LONGEST_LEASE_S = 3.0
# A bucket holds what its server takes in this time, in seconds, and one more.
# With the leases a window of 4 s sees at most what the server takes in 5.5 s,
# and three.
BURST_S = 0.5
# A limit that is new here and was known elsewhere for longer than this may have
# had another coordinator in charge, whose permits may still be used. The bucket
# begins that much in debt, in seconds: such a coordinator is taken for lost
# after 1.3 s, and what it gave out before is within the limit.
TAKEOVER_S = 1.5
# Where no leader is heard the network may be cut, with a coordinator in charge
# on either side; each then gives out this share of the limit.
CUT_SHARE = 0.5
# Servers that take next to nothing are still asked this often, as requests a
# second: only their answers tell when the need is over.
LEAST_PER_S = 0.1
# Permits that one gateway gets for a server at once; it asks again.
MAX_PERMITS = 8
# Requests that have nowhere else to go count for about this long, in seconds.
# In it others, which have, leave them a part of what the bucket can hold, and
# who gets no permit is told to come back after those that got none before.
NEED_MEMORY_S = 1.0
RESERVED_SHARE = 0.5
# Longest time after which a gateway is told to ask again, in seconds.
LONGEST_WAIT_S = 10.0


@attrs.define
class _Bucket:
    born: int
    tokens: float
    filled_at: float
    missed: float = 0.0
    needed_at: float = -1e9


class Allocator:
    """Token buckets of the servers that this coordinator is in charge of."""

    def __init__(self) -> None:
        """Makes an allocator without buckets."""
        self._buckets: dict[str, _Bucket] = {}

    def allot(
        self,
        ask: messages.Ask,
        known: table_module.Known,
        *,
        is_fresh: bool,
        now: float,
    ) -> messages.Permits:
        """Returns the permits that a gateway gets.

        Args:
            ask: What it asks for.
            known: The limit.
            is_fresh: Whether this coordinator heard a leader lately.
            now: Present time.
        """
        server = ask.limit.server
        share = 1.0 if is_fresh else CUT_SHARE
        per_s = share * max(known.per_s, LEAST_PER_S)
        bucket = self._fill(server, known, per_s, now)
        most = _find_most(per_s)
        bucket.tokens = min(most, bucket.tokens + max(0, ask.returned))
        reserved = 0.0
        if ask.is_needed:
            bucket.needed_at = now
        elif now - bucket.needed_at < NEED_MEMORY_S:
            reserved = RESERVED_SHARE * most
        wanted = min(MAX_PERMITS, max(0, ask.wanted))
        count = min(wanted, max(0, int(bucket.tokens - reserved)))
        bucket.tokens -= count
        unmet = wanted - count
        lease_ms = int(1000 * find_lease(known.per_s))
        if not unmet:
            return messages.Permits(server, known.born, count, lease_ms)
        if ask.is_needed:
            bucket.missed += unmet
        wait_s = (max(1.0, bucket.missed) - bucket.tokens) / per_s
        wait_ms = int(1000 * min(LONGEST_WAIT_S, max(0.0, wait_s)))
        return messages.Permits(server, known.born, count, lease_ms, wait_ms)

    def forget(self, now: float) -> None:
        """Drops the buckets that nobody asked of for long."""
        for server, bucket in list(self._buckets.items()):
            if now - bucket.filled_at > table_module.MEMORY_S:
                del self._buckets[server]

    def _fill(
        self, server: str, known: table_module.Known, per_s: float, now: float
    ) -> _Bucket:
        bucket = self._buckets.get(server)
        if bucket is None or bucket.born != known.born:
            is_first = now - known.named_at < TAKEOVER_S
            tokens = _find_most(per_s) if is_first else -per_s * TAKEOVER_S
            bucket = _Bucket(known.born, tokens, now)
            self._buckets[server] = bucket
        passed_s = now - bucket.filled_at
        bucket.filled_at = now
        bucket.tokens = min(_find_most(per_s), bucket.tokens + per_s * passed_s)
        bucket.missed *= max(0.0, 1.0 - passed_s / NEED_MEMORY_S)
        return bucket


def find_lease(per_s: float) -> float:
    """Returns how long a permit is valid, in seconds.

    Args:
        per_s: Requests a second that its server takes.
    """
    own_s = LEASE_REQUESTS / max(per_s, LEAST_PER_S)
    return min(LONGEST_LEASE_S, LEASE_S + own_s)


def _find_most(per_s: float) -> float:
    return 1.0 + BURST_S * per_s
