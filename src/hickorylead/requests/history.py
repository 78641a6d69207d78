"""What happened to each of the last requests, for `explain`."""

from __future__ import annotations

import collections

import attrs

from hickorylead.routing import policy

MAX_TRAILS = 2000


@attrs.frozen
class Step:
    """One thing that happened to a request.

    Attributes:
        elapsed_s: Seconds since the request came.
        code: Stable code.
        detail: For people.
        candidates: Replicas that were weighed, if one was chosen here.
    """

    elapsed_s: float
    code: str
    detail: str = ""
    candidates: tuple[policy.Weighed, ...] = ()


@attrs.frozen
class Trail:
    """All that happened to one request."""

    request_id: str
    service: str
    workspace: str
    steps: tuple[Step, ...] = ()


@attrs.define
class _Open:
    service: str
    workspace: str
    since: float
    steps: list[Step] = attrs.field(factory=list)


class HistoryStore:
    """Trails of the last requests of one entry."""

    def __init__(self) -> None:
        """Makes an empty book."""
        self._open: collections.OrderedDict[str, _Open] = (
            collections.OrderedDict()
        )

    def start(
        self, request_id: str, service: str, workspace: str, now: float
    ) -> None:
        """Begins the trail of a request; the oldest one may be dropped."""
        self._open[request_id] = _Open(service, workspace, now)
        if len(self._open) > MAX_TRAILS:
            self._open.popitem(last=False)

    def add(
        self,
        request_id: str,
        now: float,
        code: str,
        detail: str = "",
        candidates: tuple[policy.Weighed, ...] = (),
    ) -> None:
        """Adds a step."""
        trail = self._open.get(request_id)
        if trail:
            after_s = round(now - trail.since, 6)
            trail.steps.append(Step(after_s, code, detail, candidates))

    def get(self, request_id: str) -> Trail | None:
        """Returns the trail of a request, if it is still kept."""
        trail = self._open.get(request_id)
        if trail is None:
            return None
        return Trail(
            request_id, trail.service, trail.workspace, tuple(trail.steps)
        )
