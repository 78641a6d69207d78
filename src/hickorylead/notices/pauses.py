"""Pauses that servers asked any gateway for, as other nodes told them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hickorylead.notices import messages

if TYPE_CHECKING:
    from collections.abc import Iterable

# Servers whose pauses are kept, some 200 bytes each: all replicas may ask for
# one at the same time.
MAX_PAUSES = 1024
# A pause that ends later than the one known before by less than this share of
# it is no news for others: a server asks each gateway in turn.
NEWS_SHARE = 0.5


@attrs.define
class _Told:
    born: int
    until: float


class Pauses:
    """The longest pause known of each server."""

    def __init__(self) -> None:
        """Makes a table without pauses."""
        self._told: dict[str, _Told] = {}

    def __len__(self) -> int:
        """Returns how many servers have a pause that may be in force."""
        return len(self._told)

    def take(self, pause: messages.Pause, now: float) -> bool:
        """Takes a pause; says whether it is news for others."""
        left_s = pause.left_ms / 1000.0
        if left_s <= 0.0:
            return False
        known = self._told.get(pause.server)
        if known is not None and pause.born < known.born:
            return False
        if known is None or pause.born > known.born:
            self._make_room(now)
            self._told[pause.server] = _Told(pause.born, now + left_s)
            return True
        is_news = now + left_s - known.until > NEWS_SHARE * left_s
        if is_news:
            known.until = now + left_s
        return is_news

    def find_until(self, server: str, born: int) -> float:
        """Returns when the pause of a life of a server ends, or ended."""
        known = self._told.get(server)
        if known is None or (known.born and born and known.born != born):
            return -1e9
        return known.until

    def end_before(self, server: str, at: float) -> None:
        """Drops the pause of a server if it ended before a time."""
        known = self._told.get(server)
        if known is not None and known.until <= at:
            del self._told[server]

    def describe(
        self, servers: Iterable[str], now: float
    ) -> tuple[messages.Pause, ...]:
        """Returns the pauses of some servers, as another node is told them."""
        return tuple(
            messages.Pause(server, told.born, round(1000 * (told.until - now)))
            for server in servers
            if (told := self._told.get(server)) is not None and told.until > now
        )

    def describe_all(self, now: float) -> tuple[messages.Pause, ...]:
        """Returns all pauses in force, as another node is told them."""
        return self.describe(self._told, now)

    def forget(self, ended_before: float) -> None:
        """Drops the pauses that ended before a time."""
        for server, told in list(self._told.items()):
            if told.until <= ended_before:
                del self._told[server]

    def _make_room(self, now: float) -> None:
        if len(self._told) < MAX_PAUSES:
            return
        self.forget(now)
        if len(self._told) >= MAX_PAUSES:
            first = min(self._told, key=lambda s: self._told[s].until)
            del self._told[first]
