"""The steps of a planned stop, decided from what is still owed."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import attrs

from hickorylead.draining import owed as owed_module

if TYPE_CHECKING:
    from collections.abc import Sequence

# Share of the grace time that is reserved for ending what is left, for sending
# refusals, and for the end of the process.
END_SHARE = 1 / 8
# Part of this share in which callers may still receive what was sent.
FLUSH_SHARE = 1 / 2
# Steps after the last connection was accepted until it has been read, also in
# an event loop that is late: until then it owes nothing.
SETTLING_STEPS = 2


@attrs.frozen
class StopListening:
    """Accept no new connections."""


@attrs.frozen
class CloseKept:
    """Close idle connections, and the others after their present response."""


@attrs.frozen
class End:
    """End a request that cannot be finished; refuse it if that is possible."""

    owed: owed_module.Owed


@attrs.frozen
class Abort:
    """Close a connection at once, whatever it owes."""

    owed: owed_module.Owed


@attrs.frozen
class EndOthers:
    """End the work for other nodes that is left."""


@attrs.frozen
class Finished:
    """The process may end."""


Decision: TypeAlias = (
    StopListening | CloseKept | End | Abort | EndOthers | Finished
)


class Drain:
    """One planned stop.

    Attributes:
        stopped_at: When the process was asked to stop, in seconds.
        closes_at: From when on no connection is accepted or kept open.
        ends_at: When the requests that are left are ended.
        aborts_at: When the connections that are left are closed.
    """

    def __init__(
        self, *, grace_s: float, detection_s: float, now: float
    ) -> None:
        """Begins a planned stop.

        Args:
            grace_s: Time until the process is killed, in seconds.
            detection_s: How long callers may still be sent to the process, in
                seconds.
            now: Present time.
        """
        self.stopped_at = now
        self.ends_at = now + grace_s * (1 - END_SHARE)
        self.aborts_at = now + grace_s * (1 - END_SHARE * FLUSH_SHARE)
        self.closes_at = min(now + detection_s, self.ends_at)
        self._is_listening = True
        self._settling_steps = SETTLING_STEPS
        self._has_ended = False

    def decide(
        self,
        owed: Sequence[owed_module.Owed],
        others: int,
        now: float,
    ) -> list[Decision]:
        """Returns what to do now.

        Args:
            owed: What is owed to callers.
            others: Exchanges in progress for other nodes.
            now: Present time.
        """
        if now < self.closes_at:
            return []
        decisions: list[Decision] = []
        if self._is_listening:
            self._is_listening = False
            decisions.append(StopListening())
        is_settled = not self._settling_steps
        self._settling_steps = max(0, self._settling_steps - 1)
        if not owed and not others:
            decisions.append(CloseKept())
            return [*decisions, Finished()] if is_settled else decisions
        if now >= self.aborts_at:
            decisions += [Abort(item) for item in owed]
            return [*decisions, EndOthers(), Finished()]
        decisions.append(CloseKept())
        if now >= self.ends_at and not self._has_ended:
            self._has_ended = True
            decisions += [
                End(item)
                for item in owed
                if item.phase is not owed_module.Phase.FLUSHING
            ]
            decisions.append(EndOthers())
        return decisions
