"""Which servers name a rate limit, merged from all nodes.

What a server told last counts, whoever heard it. It can be merged in any order
and any number of times, so nodes that restart or were cut off are just told
again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hickorylead.ratelimits import messages

if TYPE_CHECKING:
    from collections.abc import Iterable

# A limit that was not heard again for this long is forgotten, in seconds. A
# server that names one still gets requests, and each answer renews it; one that
# nobody asks for that long has rested.
MEMORY_S = 60.0
# Limits that are kept, some 200 bytes each: all replicas may name one.
MAX_LIMITS = 1024
# A value that changes by less than this share of it is no news for others.
NEWS_SHARE = 0.2


@attrs.define
class Known:
    """A limit of one life of a server.

    Attributes:
        born: When that life began; see `messages.RateLimit`.
        per_s: Requests a second from all gateways together.
        is_named: Whether the server names it, as it told last.
        heard_at: When it told this.
        named_at: Since when it was known to name one without a break.
    """

    born: int
    per_s: float
    is_named: bool
    heard_at: float
    named_at: float


class Table:
    """Limits by server."""

    def __init__(self) -> None:
        """Makes a table that knows no limit."""
        self._known: dict[str, Known] = {}

    def __len__(self) -> int:
        """Returns how many servers are known to have named a limit lately."""
        return len(self._known)

    def count_named(self) -> int:
        """Returns how many servers name a limit."""
        return sum(known.is_named for known in self._known.values())

    def take(self, limit: messages.RateLimit, now: float) -> bool:
        """Takes what a server told; says whether others should know it."""
        told = Known(
            limit.born,
            limit.per_s,
            limit.is_named,
            now - limit.age_ms / 1000.0,
            now - limit.named_ms / 1000.0,
        )
        known = self._known.get(limit.server)
        if known is None or told.born > known.born:
            # That a new life names none is what all assume.
            return told.is_named and self._add(limit.server, told, now)
        if told.born < known.born:
            # The limit of a former life says nothing about the present one.
            return False
        if known.is_named and told.is_named:
            # However late the news comes, both are about the same need.
            known.named_at = min(known.named_at, told.named_at)
        if told.heard_at <= known.heard_at:
            return False
        is_news = _is_news(known, told)
        if not known.is_named:
            known.named_at = told.named_at
        known.per_s = told.per_s
        known.is_named = told.is_named
        known.heard_at = told.heard_at
        return is_news

    def find(self, server: str, born: int, now: float) -> Known | None:
        """Returns the limit that a life of a server names; None if none."""
        known = self._known.get(server)
        if (
            known is None
            or not known.is_named
            or (born and known.born and born != known.born)
            or now - known.heard_at > MEMORY_S
        ):
            return None
        return known

    def describe(
        self, servers: Iterable[str], now: float
    ) -> tuple[messages.RateLimit, ...]:
        """Returns what is known of some servers, as another node is told."""
        return tuple(
            messages.RateLimit(
                server,
                known.born,
                known.per_s,
                known.is_named,
                _to_ms(now - known.heard_at),
                _to_ms(now - known.named_at),
            )
            for server in servers
            if (known := self._known.get(server)) is not None
        )

    def describe_all(self, now: float) -> tuple[messages.RateLimit, ...]:
        """Returns all that is known, as another node is told it."""
        return self.describe(list(self._known), now)

    def forget(self, now: float) -> None:
        """Drops what was not heard for long."""
        for server, known in list(self._known.items()):
            if now - known.heard_at > MEMORY_S:
                del self._known[server]

    def _add(self, server: str, told: Known, now: float) -> bool:
        if now - told.heard_at > MEMORY_S:
            return False
        if server not in self._known and len(self._known) >= MAX_LIMITS:
            oldest = min(self._known, key=lambda s: self._known[s].heard_at)
            del self._known[oldest]
        self._known[server] = told
        return True


def _is_news(before: Known, after: Known) -> bool:
    if before.is_named != after.is_named:
        return True
    return abs(after.per_s - before.per_s) > NEWS_SHARE * before.per_s


def _to_ms(seconds: float) -> int:
    return max(0, round(seconds * 1000))
