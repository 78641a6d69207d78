"""Connects the connections of clients to the account of their process."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING, Protocol

from hickorylead import notes
from hickorylead.intake import (
    account as account_module,
    limits as limits_module,
    members as members_module,
)
from hickorylead.runtime import clock, descriptors

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

# Names of ports, and the share of the connections that each may have.
CLIENTS, READINESS, METRICS = "clients", "readiness", "metrics"
SHARES = {CLIENTS: 0.8, READINESS: 0.1, METRICS: 0.1}
# Time between two looks at what stands still or waits, in seconds.
TICK_S = 0.25
# Reason codes of connections whose input is rejected.
MALFORMED, HEAD_TOO_LONG, HEAD_TIMEOUT = REJECTIONS = (
    "malformed_request",
    "head_too_long",
    "head_timeout",
)
# Lines about ended connections in a second; the others are counted.
MAX_LINES_PER_S = 10


class Client(Protocol):
    """The part of a connection that the account decides about."""

    def pause_input(self) -> None:
        """Reads nothing more."""

    def resume_input(self) -> None:
        """Reads again."""

    def give_way(self, end: account_module.End) -> str:
        """Ends the connection; returns the client's id of its request."""


class Intake:
    """What the clients of a process make it hold, on all of its ports."""

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
        self._account = account_module.Account(
            _derive_limits(memory_mb, max_descriptors), SHARES
        )
        self._write_log = write_log
        self._clients: dict[int, Client] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._lines_since = 0.0
        self._line_count = self._unwritten_count = 0
        self.end_counts: collections.Counter[str] = collections.Counter()

    def set_limits(self, memory_mb: int, max_descriptors: int) -> None:
        """Replaces what the process may use, as in the constructor."""
        self._account.set_limits(_derive_limits(memory_mb, max_descriptors))

    def has_room(self) -> bool:
        """Returns whether a connection may hold much more."""
        return self._account.has_room()

    def open(
        self, number: int, client: Client, port: str
    ) -> members_module.Member:
        """Adds a connection, which may be ended at once."""
        self._clients[number] = client
        member, decisions = self._account.open(
            number, port, clock.read_boottime()
        )
        self._carry_out(decisions)
        return member

    def close(self, member: members_module.Member) -> None:
        """Removes a connection."""
        if self._clients.pop(member.number, None) is not None:
            self._carry_out(self._account.close(member, clock.read_boottime()))

    def hold(
        self,
        member: members_module.Member,
        held_bytes: int,
        missing_bytes: int = 0,
    ) -> None:
        """Records what a connection makes the process hold.

        Args:
            member: The connection.
            held_bytes: What it holds, in bytes.
            missing_bytes: What is missing of its body, or may be, in bytes.
        """
        now = clock.read_boottime()
        self._carry_out(
            self._account.hold(member, held_bytes, missing_bytes, now)
        )

    def watch(self) -> None:
        """Looks at what stands still or waits, as long as anything may."""
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(TICK_S, self._tick)

    def collect_gauges(self) -> dict[str, float]:
        """Returns the present values by name."""
        return {
            "client_connections": self._account.count_connections(),
            "client_held_bytes": self._account.held_bytes,
            **{
                f"clients_ended_{reason}_total": self.end_counts[reason]
                for reason in (*account_module.END_REASONS, *REJECTIONS)
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
                case account_module.End(number, phase, reason):
                    attempt_id = client.give_way(decision)
                    self.report_end(number, phase, reason, attempt_id)

    def report_end(
        self,
        number: int,
        phase: members_module.Phase,
        reason: str,
        attempt_id: str,
    ) -> None:
        """Writes a line about a connection that ends, or counts it.

        Args:
            number: The connection.
            phase: What it was doing.
            reason: Stable code.
            attempt_id: The client's id of its request; empty if unknown.
        """
        self.end_counts[reason] += 1
        now = clock.read_boottime()
        if now - self._lines_since >= 1.0:
            if self._unwritten_count:
                self._write_log(
                    notes.note(
                        "clients_ended",
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
                "client_ended",
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
