"""Carries out what the account of clients decides on their connections."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING, Protocol

from hickorylead import notes
from hickorylead.intake import (
    account as account_module,
    limits as limits_module,
    usage as usage_module,
)
from hickorylead.runtime import clock, descriptors

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

# Names of ports, and the share of the connections that each may have.
CLIENTS, READINESS, METRICS = "clients", "readiness", "metrics"
SHARES = {CLIENTS: 0.8, READINESS: 0.1, METRICS: 0.1}
# Interval of checks for stalled connections, in seconds.
TICK_S = 0.25
# Connections that are accepted at the same moment, as a share of the limit.
ACCEPTED_SHARE = 1 / 4
# Reason codes of connections whose input is rejected.
MALFORMED, HEAD_TOO_LONG, HEAD_TIMEOUT = REJECTIONS = (
    "malformed_request",
    "head_too_long",
    "head_timeout",
)
# Most lines about rejected connections in a second; others are counted.
MAX_LINES_PER_S = 10


class Client(Protocol):
    """What is done to a connection of a client."""

    def pause_input(self) -> None:
        """Reads nothing more."""

    def resume_input(self) -> None:
        """Reads again."""

    def evict(self, end: account_module.Evict) -> str:
        """Evicts the connection; returns the client's id of its request."""


class Intake:
    """The connections of clients on all ports of a process."""

    def __init__(
        self,
        memory_mb: int = limits_module.DEFAULT_MEMORY_MB,
        max_descriptors: int = limits_module.DEFAULT_MAX_DESCRIPTORS,
        write_log: Callable[[notes.Note], None] = lambda _: None,
    ) -> None:
        """Makes the intake of a process without connections.

        Args:
            memory_mb: Memory that the process may use, in MiB.
            max_descriptors: Descriptors that it may have open.
            write_log: Called with log lines.
        """
        self.limits = _derive_limits(memory_mb, max_descriptors)
        self._account = account_module.Account(self.limits, SHARES)
        self._write_log = write_log
        self._clients: dict[int, Client] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._lines_since = 0.0
        self._line_count = self._unwritten_count = 0
        self.rejection_counts: collections.Counter[str] = collections.Counter()

    def set_limits(self, memory_mb: int, max_descriptors: int) -> None:
        """Replaces what the process may use, as in the constructor."""
        self.limits = _derive_limits(memory_mb, max_descriptors)
        self._account.set_limits(self.limits)

    def count_acceptable(self) -> int:
        """Returns how many connections may be accepted at the same moment."""
        return max(1, int(ACCEPTED_SHARE * self.limits.max_connections))

    def has_capacity(self) -> bool:
        """Returns whether a connection may hold much more."""
        return self._account.has_capacity()

    def open(
        self, number: int, client: Client, port: str
    ) -> usage_module.ConnectionUsage:
        """Adds a connection, which may be evicted at once."""
        self._clients[number] = client
        usage, decisions = self._account.open(
            number, port, clock.read_boottime()
        )
        self._carry_out(decisions)
        return usage

    def close(self, usage: usage_module.ConnectionUsage) -> None:
        """Removes a connection."""
        if self._clients.pop(usage.number, None) is not None:
            self._carry_out(self._account.close(usage, clock.read_boottime()))

    def update(
        self,
        usage: usage_module.ConnectionUsage,
        held_bytes: int,
        missing_bytes: int = 0,
    ) -> None:
        """Records what a connection makes the process hold.

        Args:
            usage: The connection.
            held_bytes: What it holds, in bytes.
            missing_bytes: What is missing of its body, or may be, in bytes.
        """
        now = clock.read_boottime()
        self._carry_out(
            self._account.update(usage, held_bytes, missing_bytes, now)
        )

    def watch(self) -> None:
        """Starts to check for stalled connections, while there may be any."""
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(TICK_S, self._tick)

    def collect_gauges(self) -> dict[str, float]:
        """Returns the present values by name."""
        return {
            "client_connections": self._account.count_connections(),
            "client_held_bytes": self._account.held_bytes,
            **{
                f"clients_rejected_{reason}_total": self.rejection_counts[
                    reason
                ]
                for reason in (*account_module.EVICTION_REASONS, *REJECTIONS)
            },
        }

    def _tick(self) -> None:
        self._timer = None
        self._carry_out(self._account.tick(clock.read_boottime()))
        if self._account.needs_ticks():
            self.watch()

    def _carry_out(self, decisions: Sequence[account_module.Decision]) -> None:
        for decision in decisions:
            client = self._clients.get(decision.number)
            if client is None:
                continue
            match decision:
                case account_module.Pause():
                    client.pause_input()
                    self.watch()
                case account_module.Resume():
                    client.resume_input()
                case account_module.Evict(number, phase, reason):
                    attempt_id = client.evict(decision)
                    self.report_rejection(number, phase, reason, attempt_id)

    def report_rejection(
        self,
        number: int,
        phase: usage_module.Phase,
        reason: str,
        attempt_id: str,
    ) -> None:
        """Writes a line about a rejected connection, or counts it.

        Args:
            number: The connection.
            phase: What it was doing.
            reason: Stable code.
            attempt_id: The client's id of its request; empty if unknown.
        """
        self.rejection_counts[reason] += 1
        now = clock.read_boottime()
        if now - self._lines_since >= 1.0:
            if self._unwritten_count:
                self._write_log(
                    notes.note(
                        "clients_rejected",
                        level="warning",
                        count=self._unwritten_count,
                    )
                )
            self._lines_since = now
            self._line_count = self._unwritten_count = 0
        self._line_count += 1
        if self._line_count > MAX_LINES_PER_S:
            self._unwritten_count += 1
            return
        self._write_log(
            notes.note(
                "client_rejected",
                connection=number,
                phase=phase.value,
                why=reason,
                attempt_id=attempt_id,
            )
        )


def _derive_limits(
    memory_mb: int, max_descriptors: int
) -> limits_module.IntakeLimits:
    return limits_module.derive_limits(
        memory_mb, min(max_descriptors, descriptors.read_limit())
    )
