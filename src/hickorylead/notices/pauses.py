"""Pauses of servers, named or estimated, merged from reports of nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import attrs

from hickorylead.notices import messages

if TYPE_CHECKING:
    from collections.abc import Iterable

# Maximum number of stored pauses: all replicas may ask for a pause at the same
# time. A stored pause takes about 200 bytes.
MAX_PAUSES = 1024
# A new pause of a server is not sent to other nodes if it ends later than the
# known pause by no more than this share of its own remaining duration: a server
# asks each gateway in turn for a pause.
MIN_CHANGE_SHARE = 0.5

# Server name and whether the pause is estimated. Estimated pauses and pauses
# that a server named are stored separately, because a response ends only an
# estimated pause early.
PauseKey: TypeAlias = tuple[str, bool]


@attrs.define
class _KnownPause:
    """A named or an estimated pause of one incarnation of a server.

    Attributes:
        born: Start of the incarnation, in Unix milliseconds; 0 if unknown.
        refused_at: Time of the latest reported refusal.
        until: When the pause ends, unless it is ended early.
        served_sent_at: Latest send time of a request that the server ran;
            recorded for estimated pauses only. A pause that was ended early
            is kept until `until`, so that a delayed report of an earlier
            refusal does not restart it.
    """

    born: int
    refused_at: float
    until: float
    served_sent_at: float = -1e9

    @property
    def is_ended_early(self) -> bool:
        """Whether the server ran a request sent at or after the refusal."""
        return self.served_sent_at >= self.refused_at


def make_key(pause: messages.Pause) -> PauseKey:
    """Returns the key under which a pause is stored."""
    return pause.server, pause.is_estimated


class Pauses:
    """The longest known named and estimated pause of each server."""

    def __init__(self) -> None:
        """Makes a table without pauses."""
        self._pauses: dict[PauseKey, _KnownPause] = {}

    def __len__(self) -> int:
        """Returns the number of stored pauses, including ended ones."""
        return len(self._pauses)

    def merge(self, pause: messages.Pause, now: float) -> bool:
        """Merges a pause; returns whether it should be sent to other nodes."""
        left_s = pause.left_ms / 1000.0
        if left_s <= 0.0:
            return False
        key = make_key(pause)
        refused_at = now - pause.age_ms / 1000.0
        known = self._pauses.get(key)
        if known is not None and pause.born < known.born:
            return False
        if known is None or pause.born > known.born:
            self._make_room(now)
            self._pauses[key] = _KnownPause(
                pause.born, refused_at, now + left_s
            )
            return True
        if refused_at <= known.served_sent_at:
            return False
        is_significant = (
            known.is_ended_early
            or now + left_s - known.until > MIN_CHANGE_SHARE * left_s
        )
        # The latest refusal counts: a response to a request that was sent
        # before it must not end the pause early.
        known.refused_at = max(known.refused_at, refused_at)
        if is_significant:
            known.until = now + left_s
        return is_significant

    def get_pause_end(self, server: str, born: int) -> float:
        """Returns when the last pause of a server incarnation ends or ended.

        Pauses that were ended early do not count.
        """
        until = -1e9
        for is_estimated in (False, True):
            known = self._pauses.get((server, is_estimated))
            if (
                known is not None
                and not _is_other_incarnation(known, born)
                and not known.is_ended_early
            ):
                until = max(until, known.until)
        return until

    def record_served(self, server: str, born: int, sent_at: float) -> None:
        """Records that a server incarnation ran a request.

        Ends its estimated pause if the request was sent no earlier than the
        refusal, and drops a named pause that had expired at the send time.

        Args:
            server: The server.
            born: Start of the incarnation, in Unix milliseconds; 0 if unknown.
            sent_at: When the request was sent.
        """
        named = self._pauses.get((server, False))
        if named is not None and named.until <= sent_at:
            del self._pauses[server, False]
        estimated = self._pauses.get((server, True))
        if estimated is not None and not _is_other_incarnation(estimated, born):
            estimated.served_sent_at = max(estimated.served_sent_at, sent_at)

    def describe(
        self, keys: Iterable[PauseKey], now: float
    ) -> tuple[messages.Pause, ...]:
        """Returns messages for those of the given pauses that are in force."""
        return tuple(
            messages.Pause(
                server,
                known.born,
                round(1000 * (known.until - now)),
                is_estimated,
                max(0, round(1000 * (now - known.refused_at))),
            )
            for server, is_estimated in keys
            if (known := self._pauses.get((server, is_estimated))) is not None
            and known.until > now
            and not known.is_ended_early
        )

    def describe_all(self, now: float) -> tuple[messages.Pause, ...]:
        """Returns messages for all pauses in force."""
        return self.describe(self._pauses, now)

    def prune(self, ended_before: float) -> None:
        """Drops the pauses that ended before a time."""
        for key, known in list(self._pauses.items()):
            if known.until <= ended_before:
                del self._pauses[key]

    def _make_room(self, now: float) -> None:
        if len(self._pauses) < MAX_PAUSES:
            return
        self.prune(now)
        if len(self._pauses) >= MAX_PAUSES:
            first = min(self._pauses, key=lambda k: self._pauses[k].until)
            del self._pauses[first]


def _is_other_incarnation(known: _KnownPause, born: int) -> bool:
    return bool(known.born and born and known.born != born)
