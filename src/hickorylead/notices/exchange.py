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


class Exchange:
    """The pauses that one coordinator knows of."""

    def __init__(self, node: str) -> None:
        """Makes an exchange that knows of no pause.

        Args:
            node: Name of the coordinator.
        """
        self._node = node
        self._pauses = pauses_module.Pauses()

    def take(
        self, news: messages.PauseNews, others: Iterable[str], now: float
    ) -> list[Sent]:
        """Takes pauses; returns what others are to be told.

        Args:
            news: The pauses.
            others: Nodes that have not heard it.
            now: Present time.
        """
        found = tuple(p for p in news.pauses if self._pauses.take(p, now))
        if not found:
            return []
        told = messages.PauseNews(self._node, found)
        return [(node, told) for node in others if node != news.sender]

    def forget(self, now: float) -> None:
        """Drops what is over; call it now and then."""
        self._pauses.forget(now)

    def describe_new(self, gateway: str, now: float) -> list[Sent]:
        """Returns what a gateway is told that has started or turned here."""
        found = self._pauses.describe_all(now)
        if not found:
            return []
        return [(gateway, messages.PauseNews(self._node, found))]
