"""Histories of the most recent requests, for `explain`."""

from __future__ import annotations

import collections

import attrs

from hickorylead.routing import policy

MAX_HISTORIES = 2000


@attrs.frozen
class Step:
    """One step in the history of a request.

    Attributes:
        elapsed_s: Seconds since the request arrived.
        code: Stable code.
        detail: Human-readable explanation.
        candidates: Replicas that were scored, if this step chose one.
    """

    elapsed_s: float
    code: str
    detail: str = ""
    candidates: tuple[policy.Candidate, ...] = ()


@attrs.frozen
class RequestHistory:
    """The history of one request."""

    request_id: str
    service: str
    workspace: str
    steps: tuple[Step, ...] = ()


@attrs.define
class _OpenHistory:
    service: str
    workspace: str
    arrived_at: float
    steps: list[Step] = attrs.field(factory=list)


class HistoryStore:
    """Histories of the most recent requests of one entry."""

    def __init__(self) -> None:
        """Makes an empty store."""
        self._histories: collections.OrderedDict[str, _OpenHistory] = (
            collections.OrderedDict()
        )

    def start(
        self, request_id: str, service: str, workspace: str, now: float
    ) -> None:
        """Starts the history of a request; evicts the oldest if full."""
        self._histories[request_id] = _OpenHistory(service, workspace, now)
        if len(self._histories) > MAX_HISTORIES:
            self._histories.popitem(last=False)

    def add(
        self,
        request_id: str,
        now: float,
        code: str,
        detail: str = "",
        candidates: tuple[policy.Candidate, ...] = (),
    ) -> None:
        """Adds a step to the history of a request."""
        history = self._histories.get(request_id)
        if history:
            after_s = round(now - history.arrived_at, 6)
            history.steps.append(Step(after_s, code, detail, candidates))

    def get(self, request_id: str) -> RequestHistory | None:
        """Returns the history of a request; None if it is not kept."""
        history = self._histories.get(request_id)
        if history is None:
            return None
        return RequestHistory(
            request_id, history.service, history.workspace, tuple(history.steps)
        )
