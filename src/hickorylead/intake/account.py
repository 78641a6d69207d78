"""Decides which connections of clients wait or end when a process is full.

Memory goes to whoever is there first, except that a connection that stands
still gives way to one that moves. While none stands still, those that need more
memory wait; if that lasts, the one that came last ends, so that the others go
on. A request that is complete is never ended here.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import attrs

from hickorylead.intake import members as members_module

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from hickorylead.intake import limits as limits_module

Phase = members_module.Phase

# Memory of a connection without a request, in bytes.
CONNECTION_BYTES = 12 * 1024
# What a connection that waits may have unread in its socket, in bytes.
UNREAD_BYTES = 64 * 1024
# A connection that holds no more than this, in bytes, holds little.
SMALL_BYTES = 64 * 1024
# Time after which a connection that stands still gives way to one that needs
# memory, and to a new one, in seconds.
STILL_S = 1.0
NEW_STILL_S = 0.25
# Time for which new connections are refused after no other one stood still, in
# seconds.
REFUSING_S = 0.05
# Memory that connections may hold while they wait, as a share of the limit.
WAITING_SHARE = 1 / 4
# Time after which connections that wait for room end, in seconds.
LONGEST_WAIT_S = 1.0
# Reason codes of ends.
CONNECTIONS_FULL = "connections_full"
MEMORY_FULL = "memory_full"
BODY_STALLED = "body_stalled"
END_REASONS = (CONNECTIONS_FULL, MEMORY_FULL, BODY_STALLED)


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
class End:
    """Decision: end a connection.

    Attributes:
        number: The connection.
        phase: What it was doing.
        reason: Stable code.
    """

    number: int
    phase: members_module.Phase
    reason: str


Decision: TypeAlias = Pause | Resume | End


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
        self._members: dict[int, members_module.Member] = {}
        self._counts = dict.fromkeys(shares, 0)
        self._refuses_until = dict.fromkeys(shares, 0.0)
        self._waiting: dict[int, members_module.Member] = {}
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
        """Memory with what connections hold that wait for room, in bytes."""
        return int((1 + WAITING_SHARE) * self._limits.max_bytes)

    def count_connections(self) -> int:
        """Returns the number of open connections."""
        return sum(self._counts.values())

    def has_room(self) -> bool:
        """Returns whether a connection may hold much more."""
        return (
            self._large_bytes + members_module.MIN_BYTES_PER_S
            < self._limits.max_large_bytes
        )

    def needs_ticks(self) -> bool:
        """Returns whether time alone may change what is decided."""
        return bool(self._waiting) or any(
            member.phase is Phase.BODY for member in self._members.values()
        )

    def open(
        self, number: int, port: str, now: float
    ) -> tuple[members_module.Member, list[Decision]]:
        """Adds a connection; the decisions may end it or another one."""
        member = members_module.Member(number, port, now)
        member.enter(Phase.IDLE, now)
        self._members[number] = member
        self._counts[port] += 1
        self._set_held(member, CONNECTION_BYTES)
        if self._counts[port] <= self._most[port]:
            return member, []
        stillest = None
        if now >= self._refuses_until[port]:
            others = (m for m in self._members.values() if m.port == port)
            stillest = self._find_stillest(others, NEW_STILL_S, now)
        if stillest is None:
            self._refuses_until[port] = now + REFUSING_S
        return member, [self._end(stillest or member, CONNECTIONS_FULL)]

    def close(
        self, member: members_module.Member, now: float
    ) -> list[Decision]:
        """Removes a connection."""
        if self._members.pop(member.number, None) is None:
            return []
        if member.counts:
            self._counts[member.port] -= 1
        self._waiting.pop(member.number, None)
        self._set_held(member, 0)
        return self._resume_waiting(now)

    def hold(
        self,
        member: members_module.Member,
        held_bytes: int,
        missing_bytes: int,
        now: float,
    ) -> list[Decision]:
        """Records what a connection makes the process hold.

        Args:
            member: The connection.
            held_bytes: What it holds beside the connection itself, in bytes.
            missing_bytes: What is missing of its body, or may be, in bytes.
            now: Present time.
        """
        if member.is_ended:
            return []
        before = member.held_bytes
        member.missing_bytes = missing_bytes
        if not missing_bytes:
            member.reserved_bytes = 0
        self._set_held(
            member, max(member.reserved_bytes, CONNECTION_BYTES + held_bytes)
        )
        if member.held_bytes <= before:
            return self._resume_waiting(now)
        decisions: list[Decision] = []
        while self._is_over(member):
            others = (
                other
                for other in self._members.values()
                if other is not member and other.held_bytes > CONNECTION_BYTES
            )
            stillest = self._find_stillest(others, STILL_S, now)
            if stillest is None:
                break
            decisions.append(self._end(stillest, MEMORY_FULL))
        if not self._is_over(member) or member.phase not in _PAUSABLE:
            return decisions
        member.start_waiting(now)
        self._waiting[member.number] = member
        self._set_held(member, member.held_bytes + UNREAD_BYTES)
        decisions.append(Pause(member.number))
        while self._waiting and self.held_bytes > self._most_with_waiting:
            last = self._waiting[max(self._waiting)]
            decisions.append(self._end(last, MEMORY_FULL))
        return decisions

    def tick(self, now: float) -> list[Decision]:
        """Ends what stands still or waits for too long."""
        decisions: list[Decision] = [
            self._end(member, BODY_STALLED)
            for member in list(self._members.values())
            if member.phase is Phase.BODY
            and member.waits_since is None
            and not member.is_ended
            and now - member.moved_at > member.timeout_s
        ]
        decisions += self._resume_waiting(now)
        while self._has_waited_too_long(now):
            holding = (
                member
                for member in self._members.values()
                if member.held_bytes > CONNECTION_BYTES
            )
            stillest = self._find_stillest(holding, STILL_S, now)
            if stillest is None:
                stillest = self._waiting[max(self._waiting)]
            decisions.append(self._end(stillest, MEMORY_FULL))
            decisions += self._resume_waiting(now)
        return decisions

    def _has_waited_too_long(self, now: float) -> bool:
        if not self._waiting:
            return False
        since = self._waiting[min(self._waiting)].waits_since
        return since is not None and now - since > LONGEST_WAIT_S

    def _resume_waiting(self, now: float) -> list[Decision]:
        """Returns the connections whose bodies have room, the first ones first.

        A whole body is reserved: if each of them got a part, none would end.
        """
        decisions: list[Decision] = []
        while self._waiting:
            number = min(self._waiting)
            member = self._waiting[number]
            needed_bytes = member.missing_bytes - UNREAD_BYTES
            if (
                self._large_bytes + needed_bytes > self._limits.max_large_bytes
                or self.held_bytes + needed_bytes > self._limits.max_bytes
            ):
                break
            del self._waiting[number]
            member.end_waiting(now)
            self._set_held(member, member.held_bytes + needed_bytes)
            member.reserved_bytes = member.held_bytes
            decisions.append(Resume(number))
        return decisions

    def _is_over(self, member: members_module.Member) -> bool:
        if member.held_bytes <= SMALL_BYTES:
            return self.held_bytes > self._limits.max_bytes
        return (
            self._large_bytes > self._limits.max_large_bytes
            or self.held_bytes > self._limits.max_bytes
        )

    def _find_stillest(
        self,
        members: Iterable[members_module.Member],
        least_s: float,
        now: float,
    ) -> members_module.Member | None:
        """Returns the connection that has stood still for longest, if any.

        Args:
            members: The connections to choose from.
            least_s: How long it has stood still at least, in seconds.
            now: Present time.
        """
        found = [
            (still_s, -member.number, member)
            for member in members
            if not member.is_ended
            and (still_s := member.find_still_s(now)) >= least_s
        ]
        return max(found)[2] if found else None

    def _end(self, member: members_module.Member, reason: str) -> End:
        member.is_ended = True
        if reason == CONNECTIONS_FULL:
            # It is closed at once. Others stay open until they have their
            # response.
            member.counts = False
            self._counts[member.port] -= 1
        self._waiting.pop(member.number, None)
        self._set_held(member, 0)
        return End(member.number, member.phase, reason)

    def _set_held(self, member: members_module.Member, size: int) -> None:
        before, member.held_bytes = member.held_bytes, size
        self.held_bytes += size - before
        self._large_bytes += (size if size > SMALL_BYTES else 0) - (
            before if before > SMALL_BYTES else 0
        )
