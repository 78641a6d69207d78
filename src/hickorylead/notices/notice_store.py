"""What servers said with their answers about requests to come.

A server tells each gateway by itself, and what it told holds for all requests
of that gateway, not only for the one that it answered.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hickorylead.notices import messages, pauses as pauses_module

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hickorylead.forwarding import model

# Servers whose notices are kept, some 200 bytes each: all replicas may ask for
# a pause at the same time.
MAX_NOTICES = 1024
# A life that is still there this long after it last said so has not left, in
# seconds.
LEAVING_MEMORY_S = 900.0
# A server whose pause has ended is in doubt until it has answered a request, or
# for this long, in seconds: it may turn requests away again.
DOUBT_S = 10.0
# After a refusal that names no time its server is in doubt for the first of
# these, in seconds, after each further one in a row for twice as long, but no
# longer than the second.
FIRST_BACKOFF_S = 0.5
LONGEST_BACKOFF_S = 4.0
# A shorter pause, in seconds, is over before others could make use of it.
LEAST_TOLD_S = 0.5
# Pauses told in one message; the others follow with the next one.
MAX_TOLD = 16


@attrs.define
class _Notice:
    """What one life of a server said.

    Attributes:
        born: When that life began, in Unix milliseconds; 0 if unsaid.
        paused_until: Until when it wants no request.
        leaving_until: Until when it is taken for leaving.
        refused_at: When it last turned a request away without naming a time.
        backoff_s: For how long it is in doubt since then, in seconds.
    """

    born: int
    paused_until: float = -1e9
    leaving_until: float = -1e9
    refused_at: float = -1e9
    backoff_s: float = 0.0

    @property
    def doubted_until(self) -> float:
        """Until when it is in doubt for refusals that named no time."""
        return self.refused_at + self.backoff_s


class NoticeStore:
    """Notices by server, as one gateway got them."""

    def __init__(self) -> None:
        """Makes a book without notices."""
        self._notices: dict[str, _Notice] = {}
        # Pauses that any gateway was asked for, and those not told of yet.
        self._shared = pauses_module.Pauses()
        self._untold: dict[pauses_module.PauseKey, None] = {}

    def __len__(self) -> int:
        """Returns how many notices may be in force."""
        return len(self._notices) + len(self._shared)

    def record_response(
        self,
        replica: model.Replica,
        head: model.ResponseHead,
        *,
        sent_at: float,
        now: float,
    ) -> bool:
        """Takes what an answer says; the longest pause counts.

        Args:
            replica: Who answered.
            head: The head of the answer.
            sent_at: When the request was sent that it answers.
            now: Present time.

        Returns:
            Whether it is news that the replica leaves.
        """
        if not head.not_run and head.retry_after_s is None:
            self._note_served(replica, sent_at)
            if not head.is_leaving:
                return False
        notice = self._find_or_add(replica, now)
        if notice is None:
            return False
        if head.retry_after_s is not None:
            until = now + head.retry_after_s
            notice.paused_until = max(notice.paused_until, until)
            self._share(
                replica, head.retry_after_s, is_estimated=False, now=now
            )
        if (
            head.not_run
            and not head.retry_after_s
            and sent_at >= notice.refused_at
        ):
            self._back_off(replica, notice, now)
        is_news = head.is_leaving and notice.leaving_until <= now
        if head.is_leaving:
            notice.leaving_until = now + LEAVING_MEMORY_S
        return is_news

    def _note_served(self, replica: model.Replica, sent_at: float) -> None:
        """Takes that a replica ran a request that was sent at a time."""
        self._shared.note_served(replica.name, replica.born, sent_at)
        notice = self._find(replica)
        if notice is not None and sent_at >= notice.refused_at:
            notice.refused_at, notice.backoff_s = -1e9, 0.0

    def _back_off(
        self, replica: model.Replica, notice: _Notice, now: float
    ) -> None:
        doubled_s = max(FIRST_BACKOFF_S, 2 * notice.backoff_s)
        notice.backoff_s = min(LONGEST_BACKOFF_S, doubled_s)
        notice.refused_at = now
        self._share(replica, notice.backoff_s, is_estimated=True, now=now)

    def _share(
        self,
        replica: model.Replica,
        pause_s: float,
        *,
        is_estimated: bool,
        now: float,
    ) -> None:
        """Has other nodes told of a pause if it is news."""
        if pause_s < LEAST_TOLD_S:
            return
        pause = messages.Pause(
            replica.name, replica.born, round(1000 * pause_s), is_estimated
        )
        if self._shared.take(pause, now):
            self._untold[pauses_module.make_key(pause)] = None

    def get_pause_remaining_s(
        self, replica: model.Replica, now: float
    ) -> float:
        """Returns how long a replica wants no request yet, in seconds."""
        notice = self._find(replica)
        return max(0.0, notice.paused_until - now) if notice else 0.0

    def is_likely_to_refuse(
        self, replica: model.Replica, now: float, *, may_probe: bool
    ) -> bool:
        """Says whether a replica is likely to turn a request away.

        Args:
            replica: A replica that wants requests from this gateway.
            now: Present time.
            may_probe: Whether a refusal can be afforded, to find out whether a
                server takes requests again.
        """
        notice = self._find(replica)
        until = max(
            self._shared.find_until(replica.name, replica.born),
            notice.doubted_until if notice else -1e9,
        )
        return now < until or (not may_probe and now < until + DOUBT_S)

    def merge_pauses(
        self, pauses: Iterable[messages.Pause], now: float
    ) -> None:
        """Takes pauses that other gateways were asked for."""
        for pause in pauses:
            self._shared.take(pause, now)

    def describe_untold(self, now: float) -> tuple[messages.Pause, ...]:
        """Returns pauses that other nodes are to be told, each once."""
        keys = list(self._untold)[:MAX_TOLD]
        for key in keys:
            del self._untold[key]
        return self._shared.describe(keys, now)

    def is_leaving(self, replica: model.Replica, now: float) -> bool:
        """Says whether a replica is about to end."""
        notice = self._find(replica)
        return notice is not None and notice.leaving_until > now

    def list_leaving(self, now: float) -> list[messages.Leave]:
        """Returns the servers that said that they are about to end."""
        return [
            messages.Leave(server, notice.born)
            for server, notice in self._notices.items()
            if notice.leaving_until > now
        ]

    def count_paused(self, now: float) -> int:
        """Returns how many servers want no request now."""
        return sum(n.paused_until > now for n in self._notices.values())

    def prune(self, now: float) -> None:
        """Drops what is over; call it now and then."""
        for server, notice in list(self._notices.items()):
            if _find_end(notice) <= now:
                del self._notices[server]
        self._shared.forget(now - DOUBT_S)

    def _find(self, replica: model.Replica) -> _Notice | None:
        notice = self._notices.get(replica.name)
        if notice is None or _is_other_life(notice, replica):
            return None
        return notice

    def _find_or_add(
        self, replica: model.Replica, now: float
    ) -> _Notice | None:
        """Returns the notice of a life; None if a later one is known."""
        notice = self._notices.get(replica.name)
        if notice is not None and not _is_other_life(notice, replica):
            return notice
        if notice is not None and replica.born < notice.born:
            return None
        if notice is None and len(self._notices) >= MAX_NOTICES:
            self.prune(now)
        if notice is None and len(self._notices) >= MAX_NOTICES:
            first = min(
                self._notices, key=lambda s: _find_end(self._notices[s])
            )
            del self._notices[first]
        added = self._notices[replica.name] = _Notice(replica.born)
        return added


def _is_other_life(notice: _Notice, replica: model.Replica) -> bool:
    return bool(notice.born and replica.born and notice.born != replica.born)


def _find_end(notice: _Notice) -> float:
    return max(
        notice.paused_until,
        notice.leaving_until,
        notice.doubted_until + DOUBT_S,
    )
