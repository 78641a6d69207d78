"""Requests whose heads are complete and whose bodies still come."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from hickorylead import notes
from hickorylead.forwarding import events, refusals

if TYPE_CHECKING:
    from hickorylead.draining import admission as admission_module


@attrs.frozen
class _Opened:
    event: events.RequestOpened
    opened_at: float

    @property
    def ends_at(self) -> float:
        """When its caller waits no more."""
        budget_s = self.event.budget_s
        return math.inf if budget_s is None else self.opened_at + budget_s


class Arrivals:
    """The requests of one gateway that have not arrived completely."""

    def __init__(self, admission: admission_module.StopAdmission) -> None:
        """Makes an empty account.

        Args:
            admission: Decides which requests can still be finished.
        """
        self._admission = admission
        self._opened: dict[str, _Opened] = {}

    def __len__(self) -> int:
        """Returns the number of requests that have not arrived completely."""
        return len(self._opened)

    def open(
        self, event: events.RequestOpened, now: float
    ) -> list[events.Effect]:
        """Records a request whose head is complete."""
        self._opened[event.request_id] = _Opened(event, now)
        if self._admission.is_stopping:
            return self.check(now)
        return []

    def close(self, request_id: str) -> None:
        """Removes a request that has arrived or ended."""
        self._opened.pop(request_id, None)

    def check(self, now: float) -> list[events.Effect]:
        """Refuses the requests that can no longer be finished."""
        effects: list[events.Effect] = []
        for opened in list(self._opened.values()):
            if now > opened.ends_at:
                refusal = refusals.refuse_late_body(opened.event.request_id)
                effects += self._refuse(opened, refusal, now)
            elif not self._may_finish(opened, now):
                effects += self._refuse_unread(opened, now)
        return effects

    def end(self, request_id: str, now: float) -> list[events.Effect]:
        """Refuses a request because the time of a planned stop is over."""
        opened = self._opened.get(request_id)
        return [] if opened is None else self._refuse_unread(opened, now)

    def _may_finish(self, opened: _Opened, now: float) -> bool:
        if not self._admission.is_stopping:
            return True
        route = opened.event.route
        if route is None:
            # A request that waits for the first configuration.
            return False
        limit_s = route.timeout_s
        if opened.event.budget_s is not None:
            left_s = opened.opened_at + opened.event.budget_s - now
            limit_s = min(limit_s, left_s)
        return self._admission.may_finish(route.name, limit_s, now)

    def _refuse_unread(
        self, opened: _Opened, now: float
    ) -> list[events.Effect]:
        refusal = refusals.refuse_unread(opened.event.request_id)
        return self._refuse(opened, refusal, now)

    def _refuse(
        self, opened: _Opened, refusal: events.Refuse, now: float
    ) -> list[events.Effect]:
        event = opened.event
        del self._opened[event.request_id]
        note = describe_refusal(
            refusal,
            event.attempt_id,
            event.route.name if event.route else None,
            now - opened.opened_at,
        )
        return [refusal, note]


def describe_refusal(
    refusal: events.Refuse,
    attempt_id: str,
    route: str | None,
    lasted_s: float,
) -> notes.Note:
    """Returns the line about a request that is refused before it is read.

    Args:
        refusal: The refusal.
        attempt_id: Id that the caller gave the request.
        route: Name of its route; None if that is not known.
        lasted_s: Time since its head was complete, in seconds.
    """
    return notes.Note(
        "request_refused_unread",
        refusal.request_id,
        {
            "attempt_id": attempt_id,
            "route": route,
            "reason": refusal.reason,
            "retry_after_s": refusal.retry_after_s,
            "lasted_s": round(lasted_s, 3),
        },
    )
