"""What a gateway tells its home of the notices that it got."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from hickorylead.fleet import instances
from hickorylead.notices import messages

if TYPE_CHECKING:
    from hickorylead.fleet import registry as registry_module
    from hickorylead.notices import notice_store as notice_store_module

Sent: TypeAlias = tuple[str, messages.Message]

# That a server leaves is told again this often, in seconds, until control nodes
# say so as well.
RETELL_PERIOD_S = 0.5


class NoticeReporter:
    """The news of one gateway for its home."""

    def __init__(
        self,
        node: str,
        *,
        notices: notice_store_module.NoticeStore,
        registry: registry_module.Registry,
    ) -> None:
        """Makes a teller that has told nothing.

        Args:
            node: Name of the gateway.
            notices: The notices that it got.
            registry: Backend servers, as control nodes tell of them.
        """
        self._node = node
        self._book = notices
        self._registry = registry
        self._told: set[messages.Leave] = set()
        self._next_retell = -1e9

    def collect_messages(self, home: str, now: float) -> list[Sent]:
        """Returns what the home is to be told now.

        Args:
            home: The gateway's coordinator; empty if it has none.
            now: Present time.
        """
        if not home or not len(self._book):
            return []
        sent: list[Sent] = []
        pauses = self._book.describe_untold(now)
        if pauses:
            sent.append((home, messages.PauseNews(self._node, pauses)))
        leaves = self._list_unknown(now)
        if leaves and (now >= self._next_retell or leaves - self._told):
            self._next_retell = now + RETELL_PERIOD_S
            news = messages.LeaveNews(
                self._node, tuple(sorted(leaves, key=lambda x: x.server))
            )
            sent.append((home, news))
        self._told = leaves
        return sent

    def _list_unknown(self, now: float) -> set[messages.Leave]:
        """Returns the servers that control nodes do not take for leaving."""
        return {
            leave
            for leave in self._book.list_leaving(now)
            if (known := self._registry.instances.get(leave.server)) is not None
            and known.phase == instances.PHASE_READY
            and known.born == leave.born
        }
