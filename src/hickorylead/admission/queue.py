"""The queue of one service at one entry: urgency first, then fair shares.

Within one urgency the workspaces share by start-time fair queueing: a request
is tagged with the work its workspace has been given, and the lowest tag goes
first. A workspace with a long queue therefore delays only itself.
"""

from __future__ import annotations

import bisect
import collections

import attrs

from hickorylead.requests import model

MAX_QUEUED = 256


@attrs.frozen(order=True)
class _Place:
    urgency: int
    tag: float
    sequence: int
    request: model.Request = attrs.field(eq=False, order=False)
    arrived_at: float = attrs.field(eq=False, order=False)


@attrs.frozen
class Waiting:
    """A request taken from the queue, with when it came."""

    request: model.Request
    arrived_at: float


class FairQueue:
    """Requests waiting for a replica of one service."""

    def __init__(self, *, limit: int = MAX_QUEUED) -> None:
        """Makes an empty queue.

        Args:
            limit: Most requests it holds.
        """
        self._limit = limit
        self._places: list[_Place] = []
        self._sequence = 0
        self._virtual: dict[int, float] = collections.defaultdict(float)
        self._given: dict[tuple[int, str], float] = {}

    def __len__(self) -> int:
        """Returns how many requests wait."""
        return len(self._places)

    def count_by_urgency(self) -> dict[int, int]:
        """Returns how many requests wait at each urgency."""
        counts: dict[int, int] = collections.Counter()
        for place in self._places:
            counts[place.urgency] += 1
        return counts

    def count_ahead(self, urgency: int) -> int:
        """Returns how many requests a new one of an urgency waits for."""
        return sum(1 for p in self._places if p.urgency <= urgency)

    def push(self, request: model.Request, arrived_at: float) -> None:
        """Adds a request; it may exceed the limit until `shed` is called."""
        level = request.urgency
        flow = (level, request.workspace)
        tag = max(self._virtual[level], self._given.get(flow, 0.0))
        self._given[flow] = tag + _estimate_cost(request)
        self._sequence += 1
        bisect.insort(
            self._places,
            _Place(level, tag, self._sequence, request, arrived_at),
        )

    def shed(self) -> Waiting | None:
        """Takes out the request that has to give way, if there are too many.

        It is the last one of the least urgent, which belongs to a workspace
        that asked for more than its share: an urgent request is never turned
        away while an ordinary one waits.
        """
        if len(self._places) <= self._limit:
            return None
        place = self._places.pop()
        self._take_back(place)
        return Waiting(place.request, place.arrived_at)

    def peek(self) -> model.Request | None:
        """Returns the request that goes next."""
        return self._places[0].request if self._places else None

    def pop(self) -> Waiting:
        """Takes out the request that goes next."""
        place = self._places.pop(0)
        level = place.urgency
        self._virtual[level] = max(self._virtual[level], place.tag)
        if not any(p.urgency == level for p in self._places):
            # Nobody waits: shares start afresh, and the table stays small.
            for flow in [f for f in self._given if f[0] == level]:
                if self._given[flow] <= self._virtual[level]:
                    del self._given[flow]
        return Waiting(place.request, place.arrived_at)

    def remove(self, request_id: str) -> bool:
        """Takes out a request by its id; says whether it was there."""
        for index, place in enumerate(self._places):
            if place.request.request_id == request_id:
                del self._places[index]
                self._take_back(place)
                return True
        return False

    def take_late(self, now: float) -> list[Waiting]:
        """Takes out all requests whose deadline has passed."""
        late = [
            p
            for p in self._places
            if now - p.arrived_at >= p.request.deadline_s
        ]
        for place in late:
            self.remove(place.request.request_id)
        return [Waiting(p.request, p.arrived_at) for p in late]

    def take_all(self) -> list[Waiting]:
        """Takes out every request."""
        places, self._places = self._places, []
        return [Waiting(p.request, p.arrived_at) for p in places]

    def _take_back(self, place: _Place) -> None:
        flow = (place.urgency, place.request.workspace)
        cost = _estimate_cost(place.request)
        if flow in self._given:
            self._given[flow] = max(0.0, self._given[flow] - cost)


def _estimate_cost(request: model.Request) -> float:
    """Returns the work of a request in tokens; prompt tokens are cheap."""
    return 1.0 + 0.1 * request.prompt_tokens + request.max_tokens
