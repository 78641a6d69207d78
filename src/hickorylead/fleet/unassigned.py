"""Servers that report a service which no known configuration names."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hickorylead.fleet import instances

if TYPE_CHECKING:
    from collections.abc import Container

# Number of heartbeat periods for which a report is retained. A server that
# still runs has sent a newer one by then.
RETENTION_PERIODS = 2.5
# Number of servers whose reports are retained; beyond it the oldest report is
# dropped. Its server is admitted by its next heartbeat instead.
MAX_SERVERS = 4096


@attrs.frozen
class _Report:
    """The newest report of a server.

    Attributes:
        instance: What it says.
        received_at: When it arrived.
    """

    instance: instances.Instance
    received_at: float


class UnassignedServers:
    """The newest report of each such server, in the order of arrival.

    Other programs may send reports in the form of heartbeats, and a
    configuration may arrive after the first heartbeats of its servers. Such a
    report is retained and changes nothing else.
    """

    def __init__(self, heartbeat_s: float) -> None:
        """Initializes an empty set.

        Args:
            heartbeat_s: Heartbeat period, in seconds.
        """
        self._retention_s = RETENTION_PERIODS * heartbeat_s
        self._reports: dict[str, _Report] = {}

    def __len__(self) -> int:
        """Returns the number of servers."""
        return len(self._reports)

    def add(self, instance: instances.Instance, now: float) -> bool:
        """Retains a report; returns whether its server is a new one."""
        previous = self._reports.pop(instance.name, None)
        if previous is not None and not instances.is_newer(
            instance, previous.instance
        ):
            instance = previous.instance
        elif previous is None and len(self._reports) >= MAX_SERVERS:
            del self._reports[next(iter(self._reports))]
        self._reports[instance.name] = _Report(instance, now)
        return previous is None

    def remove(self, name: str) -> None:
        """Removes a server that has left or is admitted."""
        self._reports.pop(name, None)

    def take_named(
        self, services: Container[str], now: float
    ) -> list[instances.Instance]:
        """Removes and returns the reports of services that are named now."""
        oldest = now - self._retention_s
        self._reports = {
            name: report
            for name, report in self._reports.items()
            if report.received_at >= oldest
        }
        found = [
            report.instance
            for report in self._reports.values()
            if report.instance.service in services
        ]
        for instance in found:
            self.remove(instance.name)
        return found
