"""When the reported departure of a server may be acknowledged.

An acknowledged departure must outlast a restart of all nodes: a coordinator
that restored the server as ready would have it used again, and the server
reports nothing any more. It is therefore on this node's disk before its
acknowledgement and, unless they take too long, on as many other disks as may
be lost together with this one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import attrs

from hickorylead import notes
from hickorylead.fleet import events, instances

if TYPE_CHECKING:
    from collections.abc import Iterable

# Time after which a departure is acknowledged without confirmations of other
# nodes, in seconds. A server that gets no acknowledgement within a second calls
# another coordinator.
CONFIRMATION_TIMEOUT_S = 0.3

Effect: TypeAlias = events.SaveDepartures | events.AnswerReport | notes.Note


@attrs.define
class _Departure:
    """A departure that is not certain to outlast a restart yet.

    Attributes:
        since: When it was recorded.
        needed: Number of other nodes that must confirm it.
        is_saved: Whether this node has it on disk; None if not known yet.
        confirmed: Other nodes that have it on disk.
        tokens: Reports that wait for their acknowledgement.
    """

    since: float
    needed: int
    is_saved: bool | None = None
    confirmed: set[str] = attrs.field(factory=set)
    tokens: list[str] = attrs.field(factory=list)


def find_departed(
    changed: Iterable[instances.Instance],
    known: dict[str, instances.Instance | None],
) -> tuple[instances.Instance, ...]:
    """Returns the servers that are leaving or gone and were not before.

    Args:
        changed: Servers whose state has changed.
        known: Their previous state, by name.
    """
    return tuple(
        instance
        for instance in changed
        if instance.phase != instances.PHASE_READY
        and (
            (previous := known.get(instance.name)) is None
            or (previous.phase, previous.born)
            != (instance.phase, instance.born)
        )
    )


class Departures:
    """The departures that one coordinator was first to receive."""

    def __init__(self, max_lost_disks: int) -> None:
        """Initializes the state without departures.

        Args:
            max_lost_disks: Number of disks that may be lost together.
        """
        self._max_lost_disks = max_lost_disks
        self._pending: dict[str, _Departure] = {}

    def __len__(self) -> int:
        """Returns the number of departures that are not certain to last."""
        return len(self._pending)

    def record(
        self,
        departed: tuple[instances.Instance, ...],
        *,
        peers: int,
        now: float,
    ) -> list[Effect]:
        """Records departures that this node has sent to others.

        Args:
            departed: The servers.
            peers: Number of coordinators that were sent them.
            now: Present time.
        """
        if not departed:
            return []
        needed = min(self._max_lost_disks, peers)
        for instance in departed:
            previous = self._pending.get(instance.name)
            self._pending[instance.name] = _Departure(
                now, needed, tokens=previous.tokens if previous else []
            )
        return [events.SaveDepartures(departed)]

    def acknowledge(self, name: str, token: str) -> list[Effect]:
        """Acknowledges a report of a departure, now or once it will last.

        Args:
            name: The server.
            token: Identifies the report; empty if nobody waits.
        """
        departure = self._pending.get(name)
        if departure is not None:
            departure.tokens += [token] if token else []
            return []
        return [events.AnswerReport(token, accepted=True)] if token else []

    def handle_saved(
        self, names: tuple[str, ...], *, is_saved: bool
    ) -> list[Effect]:
        """Records whether departures are on this node's disk."""
        for name in names:
            if name in self._pending:
                self._pending[name].is_saved = is_saved
        return self._settle(names)

    def handle_confirmation(
        self, node: str, names: tuple[str, ...]
    ) -> list[Effect]:
        """Records that another node has departures on its disk."""
        for name in names:
            if name in self._pending:
                self._pending[name].confirmed.add(node)
        return self._settle(names)

    def tick(self, now: float) -> list[Effect]:
        """Acknowledges departures whose confirmations do not come."""
        overdue = [
            name
            for name, departure in self._pending.items()
            if departure.is_saved is not None
            and now - departure.since > CONFIRMATION_TIMEOUT_S
        ]
        effects: list[Effect] = []
        for name in overdue:
            departure = self._pending.pop(name)
            is_kept = bool(departure.is_saved or departure.confirmed)
            effects.append(
                notes.note(
                    "departure_unconfirmed",
                    level="warning",
                    server=name,
                    is_saved=departure.is_saved,
                    confirmed=len(departure.confirmed),
                    needed=departure.needed,
                )
            )
            effects += _answer(departure, accepted=is_kept)
        return effects

    def _settle(self, names: tuple[str, ...]) -> list[Effect]:
        effects: list[Effect] = []
        for name in names:
            departure = self._pending.get(name)
            if departure is None or departure.is_saved is None:
                continue
            copies = departure.is_saved + len(departure.confirmed)
            if copies > departure.needed:
                effects += _answer(self._pending.pop(name), accepted=True)
        return effects


def _answer(departure: _Departure, *, accepted: bool) -> list[Effect]:
    return [
        events.AnswerReport(token, accepted=accepted)
        for token in departure.tokens
    ]
