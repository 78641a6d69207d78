"""Accounts for the memory and the connections of clients, and evicts some.

A connection that needs more memory than is left evicts stalled ones. If none is
stalled, it waits: nothing more is read from it. If connections wait for too
long, the last ones are evicted, so that the first ones can be completed. A
request that is complete is never evicted.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import attrs

from hickorylead.intake import usage as usage_module

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from hickorylead.intake import limits as limits_module

Phase = usage_module.Phase

# Memory of a connection without a request, in bytes.
CONNECTION_BYTES = 12 * 1024
# What a connection that waits may have unread in its socket, in bytes.
UNREAD_BYTES = 64 * 1024
# Most memory of a small request, in bytes; a part of the limit is for them.
SMALL_BYTES = 64 * 1024
# Time after which a connection counts as stalled when another one needs memory,
# and when a new one needs its place, in seconds.
STALLED_S = 1.0
NEW_CONNECTION_STALLED_S = 0.25
# Time for which new connections are refused after no other one was stalled, in
# seconds. A search looks at all connections.
REFUSING_S = 0.05
# Memory that connections may hold while they wait, as a share of the limit.
WAITING_SHARE = 1 / 4
# Longest time that a connection waits for memory, in seconds.
LONGEST_WAIT_S = 1.0
# Reason codes of evictions.
CONNECTIONS_FULL = "connections_full"
MEMORY_FULL = "memory_full"
BODY_STALLED = "body_stalled"
EVICTION_REASONS = (CONNECTIONS_FULL, MEMORY_FULL, BODY_STALLED)
_PAUSABLE = (Phase.HEAD, Phase.BODY)


@attrs.frozen
class Pause:
    """Decision: read nothing more from a connection."""

    number: int


@attrs.frozen
class Resume:
    """Decision: read from a connection again."""

    number: int


@attrs.frozen
class Evict:
    """Decision: refuse the request of a connection, or close it.

    Attributes:
        number: The connection.
        phase: What it was doing.
        reason: Stable code.
    """

    number: int
    phase: usage_module.Phase
    reason: str


Decision: TypeAlias = Pause | Resume | Evict


class Account:
    """What the clients of one process make it hold."""

    def __init__(
        self,
        limits: limits_module.IntakeLimits,
        shares: Mapping[str, float],
    ) -> None:
        """Makes an empty account.

        Args:
            limits: What they may make it hold.
            shares: Share of the connections of each port, by its name.
        """
        self._shares = shares
        self.set_limits(limits)
        self._usages: dict[int, usage_module.ConnectionUsage] = {}
        self._counts = dict.fromkeys(shares, 0)
        self._refuses_until = dict.fromkeys(shares, 0.0)
        self._waiting: dict[int, usage_module.ConnectionUsage] = {}
        self.held_bytes = 0
        self._large_bytes = 0

    def set_limits(self, limits: limits_module.IntakeLimits) -> None:
        """Replaces the limits; they apply to what is held from then on."""
        self._limits = limits
        self._most = {
            port: max(1, int(share * limits.max_connections))
            for port, share in self._shares.items()
        }

    @property
    def _most_with_waiting(self) -> int:
        """Limit that includes connections that wait for memory, in bytes."""
        return int((1 + WAITING_SHARE) * self._limits.max_bytes)

    def count_connections(self) -> int:
        """Returns the number of open connections."""
        return sum(self._counts.values())

    def has_capacity(self) -> bool:
        """Returns whether a connection may hold much more."""
        return self._large_bytes + SMALL_BYTES < self._limits.max_large_bytes

    def needs_ticks(self) -> bool:
        """Returns whether time alone may change what is decided."""
        return bool(self._waiting) or any(
            usage.phase is Phase.BODY for usage in self._usages.values()
        )

    def open(
        self, number: int, port: str, now: float
    ) -> tuple[usage_module.ConnectionUsage, list[Decision]]:
        """Adds a connection; the decisions may evict it or another one."""
        usage = usage_module.ConnectionUsage(number, port)
        usage.enter(Phase.IDLE, now)
        self._usages[number] = usage
        self._counts[port] += 1
        self._set_held(usage, CONNECTION_BYTES)
        if self._counts[port] <= self._most[port]:
            return usage, []
        victim = None
        if now >= self._refuses_until[port]:
            others = (m for m in self._usages.values() if m.port == port)
            victim = self._find_most_stalled(
                others, NEW_CONNECTION_STALLED_S, now
            )
        if victim is None:
            self._refuses_until[port] = now + REFUSING_S
        return usage, [self._evict(victim or usage, CONNECTIONS_FULL)]

    def close(
        self, usage: usage_module.ConnectionUsage, now: float
    ) -> list[Decision]:
        """Removes a connection."""
        if self._usages.pop(usage.number, None) is None:
            return []
        if usage.counts:
            self._counts[usage.port] -= 1
        self._waiting.pop(usage.number, None)
        self._set_held(usage, 0)
        return self._resume_waiting(now)

    def update(
        self,
        usage: usage_module.ConnectionUsage,
        held_bytes: int,
        missing_bytes: int,
        now: float,
    ) -> list[Decision]:
        """Records what a connection makes the process hold.

        Args:
            usage: The connection.
            held_bytes: What it holds beside the connection itself, in bytes.
            missing_bytes: What is missing of its body, or may be, in bytes.
            now: Present time.
        """
        if usage.is_evicted or usage.waits_since is not None:
            return []
        before = usage.held_bytes
        usage.missing_bytes = missing_bytes
        if not missing_bytes:
            usage.reserved_bytes = 0
        self._set_held(
            usage, max(usage.reserved_bytes, CONNECTION_BYTES + held_bytes)
        )
        if usage.held_bytes <= before:
            return self._resume_waiting(now)
        decisions: list[Decision] = []
        while self._is_over(usage):
            others = (
                other
                for other in self._usages.values()
                if other is not usage and other.held_bytes > CONNECTION_BYTES
            )
            victim = self._find_most_stalled(others, STALLED_S, now)
            if victim is None:
                break
            decisions.append(self._evict(victim, MEMORY_FULL))
        if not self._is_over(usage) or usage.phase not in _PAUSABLE:
            return decisions
        usage.start_waiting(now)
        self._waiting[usage.number] = usage
        self._set_held(usage, usage.held_bytes + UNREAD_BYTES)
        decisions.append(Pause(usage.number))
        while self._waiting and self.held_bytes > self._most_with_waiting:
            last = self._waiting[max(self._waiting)]
            decisions.append(self._evict(last, MEMORY_FULL))
        return decisions

    def tick(self, now: float) -> list[Decision]:
        """Evicts what is stalled or has waited for too long."""
        decisions: list[Decision] = [
            self._evict(usage, BODY_STALLED)
            for usage in list(self._usages.values())
            if usage.phase is Phase.BODY
            and usage.waits_since is None
            and not usage.is_evicted
            and now - usage.moved_at > usage.timeout_s
        ]
        decisions += self._resume_waiting(now)
        while self._has_waited_too_long(now):
            holding = (
                usage
                for usage in self._usages.values()
                if usage.held_bytes > CONNECTION_BYTES
            )
            victim = self._find_most_stalled(holding, STALLED_S, now)
            if victim is None:
                victim = self._waiting[max(self._waiting)]
            decisions.append(self._evict(victim, MEMORY_FULL))
            decisions += self._resume_waiting(now)
        return decisions

    def _has_waited_too_long(self, now: float) -> bool:
        if not self._waiting:
            return False
        since = self._waiting[min(self._waiting)].waits_since
        return since is not None and now - since > LONGEST_WAIT_S

    def _resume_waiting(self, now: float) -> list[Decision]:
        """Resumes connections in order while their whole bodies fit.

        If each of them got a part of its body, none would be completed.
        """
        decisions: list[Decision] = []
        while self._waiting:
            number = min(self._waiting)
            usage = self._waiting[number]
            needed_bytes = usage.missing_bytes - UNREAD_BYTES
            if (
                self._large_bytes + needed_bytes > self._limits.max_large_bytes
                or self.held_bytes + needed_bytes > self._limits.max_bytes
            ):
                break
            del self._waiting[number]
            usage.end_waiting(now)
            self._set_held(usage, usage.held_bytes + needed_bytes)
            usage.reserved_bytes = usage.held_bytes
            decisions.append(Resume(number))
        return decisions

    def _is_over(self, usage: usage_module.ConnectionUsage) -> bool:
        if usage.held_bytes <= SMALL_BYTES:
            return self.held_bytes > self._limits.max_bytes
        return (
            self._large_bytes > self._limits.max_large_bytes
            or self.held_bytes > self._limits.max_bytes
        )

    def _find_most_stalled(
        self,
        usages: Iterable[usage_module.ConnectionUsage],
        least_s: float,
        now: float,
    ) -> usage_module.ConnectionUsage | None:
        """Returns the connection that has been stalled for longest, if any.

        Args:
            usages: The connections to choose from.
            least_s: Least time that it has been stalled, in seconds.
            now: Present time.
        """
        found = [
            (stalled_s, -usage.number, usage)
            for usage in usages
            if not usage.is_evicted
            and (stalled_s := usage.find_stalled_s(now)) >= least_s
        ]
        return max(found)[2] if found else None

    def _evict(self, usage: usage_module.ConnectionUsage, reason: str) -> Evict:
        usage.is_evicted = True
        if reason == CONNECTIONS_FULL:
            # It is closed at once. Others stay open until their response is
            # sent.
            usage.counts = False
            self._counts[usage.port] -= 1
        self._waiting.pop(usage.number, None)
        self._set_held(usage, 0)
        return Evict(usage.number, usage.phase, reason)

    def _set_held(self, usage: usage_module.ConnectionUsage, size: int) -> None:
        before, usage.held_bytes = usage.held_bytes, size
        self.held_bytes += size - before
        self._large_bytes += (size if size > SMALL_BYTES else 0) - (
            before if before > SMALL_BYTES else 0
        )
