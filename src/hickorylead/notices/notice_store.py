"""Pauses and leave notices that one gateway received from servers.

Each server sends its notices to every gateway separately. A notice applies to
all requests of the gateway, not only to the one that it came with.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from hickorylead.notices import messages, pauses as pauses_module

if TYPE_CHECKING:
    from collections.abc import Iterable

    from hickorylead.forwarding import model

# Maximum number of servers whose notices are kept: all replicas may ask for a
# pause at the same time. The notices of a server take some 200 bytes.
MAX_NOTICES = 1024
# How long after its last leave notice an incarnation of a server is treated as
# leaving, in seconds. If it still exists after that, it is used again.
LEAVING_RETENTION_S = 900.0
# How long a server is on probation after its pause, in seconds, unless it runs
# a request earlier: a server on probation may refuse requests again.
PROBATION_S = 10.0
# After a refusal that names no retry time, the gateway estimates the pause of
# the server (back-off). The back-off lasts `FIRST_BACKOFF_S` seconds after the
# first refusal and doubles with each further refusal in a row, up to
# `MAX_BACKOFF_S` seconds.
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0
# Duration of the shortest pause that is reported, in seconds: a shorter pause
# would end before other gateways could make use of the report.
MIN_SHARED_PAUSE_S = 0.5
# Maximum number of pauses in one message to the home coordinator; the other
# pauses follow in the next message.
MAX_PAUSES_PER_UPDATE = 16


@attrs.define
class _Notice:
    """Notices of one incarnation of a server.

    Attributes:
        born: Start of the incarnation, in Unix milliseconds; 0 if unknown.
        paused_until: End of the pause that the server asked for.
        leaving_until: Until when the server is treated as leaving.
        refused_at: Time of the last refusal that named no retry time.
        backoff_s: Estimated pause after that refusal, in seconds.
    """

    born: int
    paused_until: float = -1e9
    leaving_until: float = -1e9
    refused_at: float = -1e9
    backoff_s: float = 0.0

    @property
    def backoff_until(self) -> float:
        """End of the estimated pause after a refusal without a retry time."""
        return self.refused_at + self.backoff_s


class NoticeStore:
    """Notices that one gateway received, by server."""

    def __init__(self) -> None:
        """Makes a store without notices."""
        self._notices: dict[str, _Notice] = {}
        # Pauses that this gateway recorded or other gateways reported, and keys
        # of this gateway's pauses that it has not reported yet.
        self._shared = pauses_module.Pauses()
        self._unreported: dict[pauses_module.PauseKey, None] = {}

    def __len__(self) -> int:
        """Returns the number of stored notices and pauses, in force or not."""
        return len(self._notices) + len(self._shared)

    def record_response(
        self,
        replica: model.Replica,
        head: model.ResponseHead,
        *,
        sent_at: float,
        now: float,
    ) -> bool:
        """Records the notices in a response; the longest pause counts.

        Args:
            replica: The replica that responded.
            head: Head of the response.
            sent_at: When the gateway sent the request that got this response.
            now: Present time.

        Returns:
            Whether the replica has only now been found to be leaving.
        """
        if not head.not_run and head.retry_after_s is None:
            self._record_served(replica, sent_at)
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
        is_new = head.is_leaving and notice.leaving_until <= now
        if head.is_leaving:
            notice.leaving_until = now + LEAVING_RETENTION_S
        return is_new

    def _record_served(self, replica: model.Replica, sent_at: float) -> None:
        """Records that a replica ran a request that was sent at `sent_at`."""
        self._shared.record_served(replica.name, replica.born, sent_at)
        notice = self._find(replica)
        if notice is not None and sent_at >= notice.refused_at:
            notice.refused_at, notice.backoff_s = -1e9, 0.0

    def _back_off(
        self, replica: model.Replica, notice: _Notice, now: float
    ) -> None:
        doubled_s = max(FIRST_BACKOFF_S, 2 * notice.backoff_s)
        notice.backoff_s = min(MAX_BACKOFF_S, doubled_s)
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
        """Records a pause and queues it for reporting if it is significant."""
        if pause_s < MIN_SHARED_PAUSE_S:
            return
        pause = messages.Pause(
            replica.name, replica.born, round(1000 * pause_s), is_estimated
        )
        if self._shared.merge(pause, now):
            self._unreported[pauses_module.make_key(pause)] = None

    def get_pause_remaining_s(
        self, replica: model.Replica, now: float
    ) -> float:
        """Returns the remaining pause that a replica asked for, in seconds."""
        notice = self._find(replica)
        return max(0.0, notice.paused_until - now) if notice else 0.0

    def is_likely_to_refuse(
        self, replica: model.Replica, now: float, *, may_probe: bool
    ) -> bool:
        """Returns whether a replica is likely to refuse a request.

        Args:
            replica: A replica without a pause of its own at this gateway.
            now: Present time.
            may_probe: Whether the gateway can afford a refusal, to find out
                whether the server accepts requests again.
        """
        notice = self._find(replica)
        until = max(
            self._shared.get_pause_end(replica.name, replica.born),
            notice.backoff_until if notice else -1e9,
        )
        return now < until or (not may_probe and now < until + PROBATION_S)

    def merge_pauses(
        self, pauses: Iterable[messages.Pause], now: float
    ) -> None:
        """Merges pauses that other gateways reported."""
        for pause in pauses:
            self._shared.merge(pause, now)

    def pop_unreported(self, now: float) -> tuple[messages.Pause, ...]:
        """Returns and dequeues pauses to report to other nodes, each once."""
        keys = list(self._unreported)[:MAX_PAUSES_PER_UPDATE]
        for key in keys:
            del self._unreported[key]
        return self._shared.describe(keys, now)

    def is_leaving(self, replica: model.Replica, now: float) -> bool:
        """Returns whether a replica is about to end."""
        notice = self._find(replica)
        return notice is not None and notice.leaving_until > now

    def list_leaving(self, now: float) -> list[messages.Leave]:
        """Returns the servers that announced that they are about to end."""
        return [
            messages.Leave(server, notice.born)
            for server, notice in self._notices.items()
            if notice.leaving_until > now
        ]

    def count_paused(self, now: float) -> int:
        """Returns the number of servers in a pause that they asked for."""
        return sum(n.paused_until > now for n in self._notices.values())

    def prune(self, now: float) -> None:
        """Drops expired notices and pauses; to be called periodically."""
        for server, notice in list(self._notices.items()):
            if _get_expiry(notice) <= now:
                del self._notices[server]
        self._shared.prune(now - PROBATION_S)

    def _find(self, replica: model.Replica) -> _Notice | None:
        notice = self._notices.get(replica.name)
        if notice is None or _is_other_incarnation(notice, replica):
            return None
        return notice

    def _find_or_add(
        self, replica: model.Replica, now: float
    ) -> _Notice | None:
        """Returns an incarnation's notice; None if it is not the latest."""
        notice = self._notices.get(replica.name)
        if notice is not None and not _is_other_incarnation(notice, replica):
            return notice
        if notice is not None and replica.born < notice.born:
            return None
        if notice is None and len(self._notices) >= MAX_NOTICES:
            self.prune(now)
        if notice is None and len(self._notices) >= MAX_NOTICES:
            first = min(
                self._notices, key=lambda s: _get_expiry(self._notices[s])
            )
            del self._notices[first]
        added = self._notices[replica.name] = _Notice(replica.born)
        return added


def _is_other_incarnation(notice: _Notice, replica: model.Replica) -> bool:
    return bool(notice.born and replica.born and notice.born != replica.born)


def _get_expiry(notice: _Notice) -> float:
    return max(
        notice.paused_until,
        notice.leaving_until,
        notice.backoff_until + PROBATION_S,
    )
