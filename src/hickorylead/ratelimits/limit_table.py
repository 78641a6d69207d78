"""Rate limits of servers, merged from all nodes.

The latest report of a server counts, whichever gateway received it. Reports can
be merged in any order and any number of times, so a node that restarted or was
partitioned can simply get all limits again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hickorylead.ratelimits import messages

if TYPE_CHECKING:
    from collections.abc import Iterable

# Time after which a limit is dropped if no response renews it, in seconds. A
# server that names a limit still gets requests, and each response renews the
# limit; a server that got no requests for that long is no longer overloaded.
RETENTION_S = 60.0
# Maximum number of limits that are kept, some 200 bytes each: all replicas may
# name a limit.
MAX_LIMITS = 1024
# A limit that changes by no more than this share of its previous value is not
# sent to other nodes.
MIN_CHANGE_SHARE = 0.2


@attrs.define
class KnownLimit:
    """A limit of one incarnation of a server.

    Attributes:
        born: Start of the incarnation; see `messages.RateLimit`.
        per_s: Requests a second that the server accepts from all gateways
            together.
        is_named: Whether the server named a limit in its latest report.
        reported_at: When the server sent that report.
        named_at: Since when the server is known to have named a limit without
            interruption.
    """

    born: int
    per_s: float
    is_named: bool
    reported_at: float
    named_at: float


class LimitTable:
    """Rate limits by server."""

    def __init__(self) -> None:
        """Makes a table without limits."""
        self._limits: dict[str, KnownLimit] = {}

    def __len__(self) -> int:
        """Returns how many servers have recently named a limit."""
        return len(self._limits)

    def count_named(self) -> int:
        """Returns how many servers name a limit."""
        return sum(known.is_named for known in self._limits.values())

    def merge(self, limit: messages.RateLimit, now: float) -> bool:
        """Merges a limit; returns whether it should be sent to other nodes."""
        reported = KnownLimit(
            limit.born,
            limit.per_s,
            limit.is_named,
            now - limit.age_ms / 1000.0,
            now - limit.named_ms / 1000.0,
        )
        known = self._limits.get(limit.server)
        if known is None or reported.born > known.born:
            # All nodes assume that a new incarnation names no limit, so a
            # report without a limit is not stored.
            return reported.is_named and self._add(limit.server, reported, now)
        if reported.born < known.born:
            # The limit of a previous incarnation does not apply to the present
            # one.
            return False
        if known.is_named and reported.is_named:
            # Even if this report is late, it and the known report belong to the
            # same period in which the server names a limit.
            known.named_at = min(known.named_at, reported.named_at)
        if reported.reported_at <= known.reported_at:
            return False
        is_significant = _is_significant(known, reported)
        if not known.is_named:
            known.named_at = reported.named_at
        known.per_s = reported.per_s
        known.is_named = reported.is_named
        known.reported_at = reported.reported_at
        return is_significant

    def find(self, server: str, born: int, now: float) -> KnownLimit | None:
        """Returns the limit of a server incarnation; None without a limit."""
        known = self._limits.get(server)
        if (
            known is None
            or not known.is_named
            or (born and known.born and born != known.born)
            or now - known.reported_at > RETENTION_S
        ):
            return None
        return known

    def describe(
        self, servers: Iterable[str], now: float
    ) -> tuple[messages.RateLimit, ...]:
        """Returns messages for the limits of some servers."""
        return tuple(
            messages.RateLimit(
                server,
                known.born,
                known.per_s,
                known.is_named,
                _to_ms(now - known.reported_at),
                _to_ms(now - known.named_at),
            )
            for server in servers
            if (known := self._limits.get(server)) is not None
        )

    def describe_all(self, now: float) -> tuple[messages.RateLimit, ...]:
        """Returns messages for all limits."""
        return self.describe(list(self._limits), now)

    def prune(self, now: float) -> None:
        """Drops limits that were not renewed within the retention time."""
        for server, known in list(self._limits.items()):
            if now - known.reported_at > RETENTION_S:
                del self._limits[server]

    def _add(self, server: str, reported: KnownLimit, now: float) -> bool:
        if now - reported.reported_at > RETENTION_S:
            return False
        if server not in self._limits and len(self._limits) >= MAX_LIMITS:
            oldest = min(
                self._limits, key=lambda s: self._limits[s].reported_at
            )
            del self._limits[oldest]
        self._limits[server] = reported
        return True


def _is_significant(before: KnownLimit, after: KnownLimit) -> bool:
    if before.is_named != after.is_named:
        return True
    return abs(after.per_s - before.per_s) > MIN_CHANGE_SHARE * before.per_s


def _to_ms(seconds: float) -> int:
    return max(0, round(seconds * 1000))
