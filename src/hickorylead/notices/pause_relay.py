"""What one coordinator does about servers that ask for a pause.

It tells what one gateway was asked for to all others, which prefer other
servers meanwhile. Without it each of them would meet a refusal of its own.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from hickorylead.notices import messages, pauses as pauses_module

if TYPE_CHECKING:
    from collections.abc import Iterable

Sent: TypeAlias = tuple[str, messages.Message]

# Pauses are told at once, but no more often than this, in seconds, and no more
# of them in one message: the others follow with the next one, if they last.
TELL_PERIOD_S = 0.25
MAX_TOLD = 12


class PauseRelay:
    """The pauses that one coordinator knows of."""

    def __init__(self, node: str) -> None:
        """Makes an exchange that knows of no pause.

        Args:
            node: Name of the coordinator.
        """
        self._node = node
        self._pauses = pauses_module.Pauses()
        # Keys of the pauses still to be sent, oldest first.
        self._for_gateways: dict[pauses_module.PauseKey, None] = {}
        self._for_coordinators: dict[pauses_module.PauseKey, None] = {}
        self._next_tell = -1e9

    def merge(
        self, news: messages.PauseNews, *, is_forwarded: bool, now: float
    ) -> None:
        """Takes pauses.

        Args:
            news: The pauses.
            is_forwarded: Whether another coordinator tells them, and has told
                all coordinators.
            now: Present time.
        """
        found = [
            pauses_module.make_key(pause)
            for pause in news.pauses
            if self._pauses.take(pause, now)
        ]
        self._for_gateways |= dict.fromkeys(found)
        if not is_forwarded:
            self._for_coordinators |= dict.fromkeys(found)

    def collect_messages(
        self,
        *,
        gateways: Iterable[str],
        coordinators: Iterable[str],
        now: float,
    ) -> list[Sent]:
        """Returns what other nodes are to be told now."""
        if now < self._next_tell or not self._for_gateways:
            return []
        self._next_tell = now + TELL_PERIOD_S
        return [
            *self._tell(gateways, self._for_gateways, now),
            *self._tell(coordinators, self._for_coordinators, now),
        ]

    def make_initial_update(self, gateway: str, now: float) -> list[Sent]:
        """Returns what a gateway is told that has started or turned here."""
        found = self._pauses.describe_all(now)
        if not found:
            return []
        return [(gateway, messages.PauseNews(self._node, found))]

    def prune(self, now: float) -> None:
        """Drops what is over; call it now and then."""
        self._pauses.forget(now)

    def _tell(
        self,
        nodes: Iterable[str],
        untold: dict[pauses_module.PauseKey, None],
        now: float,
    ) -> list[Sent]:
        keys = list(untold)[:MAX_TOLD]
        for key in keys:
            del untold[key]
        found = self._pauses.describe(keys, now)
        if not found:
            return []
        news = messages.PauseNews(self._node, found)
        return [(node, news) for node in nodes]
