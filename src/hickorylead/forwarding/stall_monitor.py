"""Watches the streams of one gateway for replicas that have stalled."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hickorylead.forwarding import stalls

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from hickorylead.configuration import document as document_module
    from hickorylead.forwarding import health as health_module, model, state


class StallMonitor:
    """Finds stalled replicas among those that run a gateway's streams."""

    def __init__(
        self,
        pending: Mapping[str, state.PendingRequest],
        *,
        health: health_module.HealthTracker,
        find_engine: Callable[[str], document_module.EngineProfile | None],
        started_at: float,
    ) -> None:
        """Makes a monitor.

        Args:
            pending: All pending requests, by id; kept up to date by its owner.
            health: Statistics of the replicas.
            find_engine: Returns the engine of a service.
            started_at: When the gateway started.
        """
        self._pending = pending
        self._health = health
        self._find_engine = find_engine
        self._started_at = started_at

    def find_stalled(self, late_s: float, now: float) -> list[stalls.Stall]:
        """Returns the replicas that have stalled, judged by own streams.

        Args:
            late_s: How much later than planned this is called, in seconds. All
                input up to the planned time has been handled.
            now: Present time.
        """
        found = stalls.find_stalled(
            list(self._pending.values()),
            self._health,
            self._find_engine,
            factor=stalls.find_startup_factor(self._started_at, now),
            now=now - late_s,
        )
        return [
            attrs.evolve(stall, late_s=late_s, uptime_s=now - self._started_at)
            for stall in found
        ]

    def find_next_check(self, now: float, latest: float) -> float:
        """Returns when a replica may count as stalled, at most `latest`."""
        due = latest
        for pending in self._pending.values():
            attempt = pending.attempt
            if attempt is None or not pending.request.is_stream:
                continue
            limit_s = self._find_limit(attempt.replica, now)
            if limit_s is not None:
                stats = self._health.get(attempt.replica)
                due = min(
                    due, max(stats.progress_at, attempt.sent_at) + limit_s
                )
        return due

    def is_report_credible(
        self, replica: model.Replica, read_until: float
    ) -> bool:
        """Returns whether own streams agree with a reported stall.

        A replica must have sent no output to this gateway for some passes
        either: the other gateway's connection may be at fault.

        Args:
            replica: The replica.
            read_until: Time up to which all input has been handled.
        """
        limit_s = self._find_limit(replica, read_until)
        if limit_s is None or self._health.is_stalled(replica, read_until):
            return False
        silent_s = read_until - self._health.get(replica).progress_at
        return silent_s > stalls.REPORTED_SHARE * limit_s

    def _find_limit(self, replica: model.Replica, now: float) -> float | None:
        """Returns the stall limit in seconds; None for plain services."""
        engine = self._find_engine(replica.service)
        if engine is None:
            return None
        factor = stalls.find_startup_factor(self._started_at, now)
        return factor * stalls.find_stall_limit(
            replica,
            engine,
            self._health.find_largest_prompt(replica.model, now),
        )
