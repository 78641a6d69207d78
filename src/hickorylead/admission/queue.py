"""The queue of one service at one entry, by urgency and then by fair share.

Requests of the same urgency are ordered by start-time fair queueing over
workspaces: a request is tagged with the total cost of the earlier requests of
its workspace, and the lowest tag is served first. So a workspace with a long
queue delays only itself.
"""

from __future__ import annotations

import bisect
import collections

import attrs

from hickorylead.requests import model

MAX_QUEUED = 256


@attrs.frozen(order=True)
class _QueueItem:
    urgency: int
    tag: float
    sequence: int
    request: model.Request = attrs.field(eq=False, order=False)
    arrived_at: float = attrs.field(eq=False, order=False)


@attrs.frozen
class QueuedRequest:
    """A request removed from the queue, with its arrival time."""

    request: model.Request
    arrived_at: float


class FairQueue:
    """Requests waiting for a replica of one service."""

    def __init__(self, *, limit: int = MAX_QUEUED) -> None:
        """Makes an empty queue.

        Args:
            limit: Maximum number of queued requests.
        """
        self._limit = limit
        self._items: list[_QueueItem] = []
        self._sequence = 0
        self._virtual_time: dict[int, float] = collections.defaultdict(float)
        self._finish_tags: dict[tuple[int, str], float] = {}

    def __len__(self) -> int:
        """Returns how many requests wait."""
        return len(self._items)

    def count_by_urgency(self) -> dict[int, int]:
        """Returns how many requests wait at each urgency."""
        counts: dict[int, int] = collections.Counter()
        for item in self._items:
            counts[item.urgency] += 1
        return counts

    def count_ahead(self, urgency: int) -> int:
        """Returns how many queued requests are ahead of a new one."""
        return sum(1 for p in self._items if p.urgency <= urgency)

    def push(self, request: model.Request, arrived_at: float) -> None:
        """Adds a request; it may exceed the limit until `shed` is called."""
        level = request.urgency
        flow = (level, request.workspace)
        tag = max(self._virtual_time[level], self._finish_tags.get(flow, 0.0))
        self._finish_tags[flow] = tag + _estimate_cost(request)
        self._sequence += 1
        bisect.insort(
            self._items,
            _QueueItem(level, tag, self._sequence, request, arrived_at),
        )

    def shed(self) -> QueuedRequest | None:
        """Removes and returns the last request, if the limit is exceeded.

        This is the last of the least urgent requests; its workspace requested
        more than its share. So an urgent request is never refused while a less
        urgent request is queued.
        """
        if len(self._items) <= self._limit:
            return None
        item = self._items.pop()
        self._refund_cost(item)
        return QueuedRequest(item.request, item.arrived_at)

    def peek(self) -> model.Request | None:
        """Returns the next request without removing it."""
        return self._items[0].request if self._items else None

    def pop(self) -> QueuedRequest:
        """Removes and returns the next request."""
        item = self._items.pop(0)
        level = item.urgency
        self._virtual_time[level] = max(self._virtual_time[level], item.tag)
        if not any(p.urgency == level for p in self._items):
            # No request of this urgency is queued any more: finish tags that
            # are no longer needed are removed, so that their table stays small.
            for flow in [f for f in self._finish_tags if f[0] == level]:
                if self._finish_tags[flow] <= self._virtual_time[level]:
                    del self._finish_tags[flow]
        return QueuedRequest(item.request, item.arrived_at)

    def remove(self, request_id: str) -> bool:
        """Removes a request by its id; returns whether it was queued."""
        for index, item in enumerate(self._items):
            if item.request.request_id == request_id:
                del self._items[index]
                self._refund_cost(item)
                return True
        return False

    def pop_overdue(self, now: float) -> list[QueuedRequest]:
        """Removes and returns all requests whose deadline has passed."""
        late = [
            p for p in self._items if now - p.arrived_at >= p.request.deadline_s
        ]
        for item in late:
            self.remove(item.request.request_id)
        return [QueuedRequest(p.request, p.arrived_at) for p in late]

    def drain(self) -> list[QueuedRequest]:
        """Removes and returns all requests."""
        items, self._items = self._items, []
        return [QueuedRequest(p.request, p.arrived_at) for p in items]

    def _refund_cost(self, item: _QueueItem) -> None:
        flow = (item.urgency, item.request.workspace)
        cost = _estimate_cost(item.request)
        if flow in self._finish_tags:
            self._finish_tags[flow] = max(0.0, self._finish_tags[flow] - cost)


def _estimate_cost(request: model.Request) -> float:
    """Returns the cost of a request in tokens; prompt tokens count less."""
    return 1.0 + 0.1 * request.prompt_tokens + request.max_tokens
