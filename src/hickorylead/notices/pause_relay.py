"""Relays pauses of servers between gateways and coordinators.

A coordinator forwards the pauses that one gateway reports to all other
gateways, which then prefer other servers. Without the relay, each gateway would
first send the server a request that it refuses.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from hickorylead.notices import messages, pauses as pauses_module

if TYPE_CHECKING:
    from collections.abc import Iterable

Sent: TypeAlias = tuple[str, messages.Message]

# A coordinator forwards pauses at once, but sends each node at most one message
# in `SEND_PERIOD_S` seconds, with at most `MAX_PAUSES_PER_UPDATE` pauses. The
# other pauses follow in the next message if they are still in force.
SEND_PERIOD_S = 0.25
MAX_PAUSES_PER_UPDATE = 12


class PauseRelay:
    """The pauses that one coordinator has received."""

    def __init__(self, node: str) -> None:
        """Makes a relay without pauses.

        Args:
            node: Name of the coordinator.
        """
        self._node = node
        self._pauses = pauses_module.Pauses()
        # Keys of the pauses still to be sent, oldest first.
        self._for_gateways: dict[pauses_module.PauseKey, None] = {}
        self._for_coordinators: dict[pauses_module.PauseKey, None] = {}
        self._next_send_at = -1e9

    def merge(
        self, update: messages.PauseNews, *, is_forwarded: bool, now: float
    ) -> None:
        """Merges received pauses and queues the significant ones for sending.

        Args:
            update: The pauses.
            is_forwarded: Whether another coordinator forwarded the pauses; that
                coordinator has sent them to all coordinators.
            now: Present time.
        """
        new_keys = [
            pauses_module.make_key(pause)
            for pause in update.pauses
            if self._pauses.merge(pause, now)
        ]
        self._for_gateways |= dict.fromkeys(new_keys)
        if not is_forwarded:
            self._for_coordinators |= dict.fromkeys(new_keys)

    def collect_messages(
        self,
        *,
        gateways: Iterable[str],
        coordinators: Iterable[str],
        now: float,
    ) -> list[Sent]:
        """Returns the messages that are due to other nodes."""
        if now < self._next_send_at or not self._for_gateways:
            return []
        self._next_send_at = now + SEND_PERIOD_S
        return [
            *self._make_updates(gateways, self._for_gateways, now),
            *self._make_updates(coordinators, self._for_coordinators, now),
        ]

    def make_initial_update(self, gateway: str, now: float) -> list[Sent]:
        """Returns all pauses for a gateway with a new home coordinator."""
        pauses = self._pauses.describe_all(now)
        if not pauses:
            return []
        return [(gateway, messages.PauseNews(self._node, pauses))]

    def prune(self, now: float) -> None:
        """Drops pauses that have ended; to be called periodically."""
        self._pauses.prune(now)

    def _make_updates(
        self,
        nodes: Iterable[str],
        unsent: dict[pauses_module.PauseKey, None],
        now: float,
    ) -> list[Sent]:
        keys = list(unsent)[:MAX_PAUSES_PER_UPDATE]
        for key in keys:
            del unsent[key]
        pauses = self._pauses.describe(keys, now)
        if not pauses:
            return []
        update = messages.PauseNews(self._node, pauses)
        return [(node, update) for node in nodes]
