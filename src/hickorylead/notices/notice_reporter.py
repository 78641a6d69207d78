"""Reports a gateway's pauses and leave notices to its home coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from hickorylead.fleet import instances
from hickorylead.notices import messages

if TYPE_CHECKING:
    from hickorylead.fleet import registry as registry_module
    from hickorylead.notices import notice_store as notice_store_module

Sent: TypeAlias = tuple[str, messages.Message]

# Interval at which a gateway reports a leaving server again, in seconds, until
# coordinators no longer list the server as ready.
REPORT_PERIOD_S = 0.5


class NoticeReporter:
    """Makes the updates that one gateway sends to its home coordinator."""

    def __init__(
        self,
        node: str,
        *,
        notices: notice_store_module.NoticeStore,
        registry: registry_module.Registry,
    ) -> None:
        """Makes a reporter that has reported nothing.

        Args:
            node: Name of the gateway.
            notices: Notices that the gateway received.
            registry: Backend servers, as reported by coordinators.
        """
        self._node = node
        self._notices = notices
        self._registry = registry
        self._reported_leaves: set[messages.Leave] = set()
        self._next_report_at = -1e9

    def collect_messages(self, home_coordinator: str, now: float) -> list[Sent]:
        """Returns the messages that are due to the home coordinator.

        Args:
            home_coordinator: Name of the gateway's home coordinator; empty if
                it has none.
            now: Present time.
        """
        if not home_coordinator or not len(self._notices):
            return []
        sent: list[Sent] = []
        pauses = self._notices.pop_unreported(now)
        if pauses:
            sent.append(
                (home_coordinator, messages.PauseNews(self._node, pauses))
            )
        leaves = self._list_unconfirmed(now)
        if leaves and (
            now >= self._next_report_at or leaves - self._reported_leaves
        ):
            self._next_report_at = now + REPORT_PERIOD_S
            update = messages.LeaveNews(
                self._node, tuple(sorted(leaves, key=lambda x: x.server))
            )
            sent.append((home_coordinator, update))
        self._reported_leaves = leaves
        return sent

    def _list_unconfirmed(self, now: float) -> set[messages.Leave]:
        """Returns the leaving servers that coordinators list as ready."""
        return {
            leave
            for leave in self._notices.list_leaving(now)
            if (known := self._registry.instances.get(leave.server)) is not None
            and known.phase == instances.PHASE_READY
            and known.born == leave.born
        }
