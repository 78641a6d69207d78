"""Limits loads from the weight store across all planners."""

from __future__ import annotations

import collections
import enum
import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from hickorylead.configuration import document as document_module
    from hickorylead.fleet import instances

# Length of the window in which the number of loads that start is limited, in
# seconds.
WINDOW_S = 5.0
# Secondary loads, for servers that serve already, start only while fewer than
# this share of the allowed concurrent loads are in progress, counting the loads
# of all planners: a load can't be cancelled, and an empty server that appears a
# moment later would have to wait for a load to end. With a new empty server
# every 3 s, the longest wait for a load of 14 s was 17 s; it was 36 s when each
# planner counted its own loads alone.
SECONDARY_SHARE = 0.33


class LoadPriority(enum.IntEnum):
    """Purpose of a load; the lowest value goes first."""

    GROUP = 0
    STANDBY = 1
    SECONDARY = 2


@attrs.frozen
class LoadRequest:
    """A request for a load.

    Attributes:
        instance: The server.
        model: Model that it should stage.
        priority: Purpose of the load.
        missing: Number of loads that the group still needs, including this
            load.
    """

    instance: instances.Instance
    model: str
    priority: LoadPriority
    missing: int = 0

    @property
    def rank(self) -> tuple[LoadPriority, int]:
        """Sort key among load requests; the lowest goes first."""
        return self.priority, self.missing


@attrs.frozen
class LoadsInProgress:
    """Number of loads from the store in progress.

    Attributes:
        own: Loads of servers that this planner owns.
        elsewhere: Loads of all other servers.
    """

    own: int
    elsewhere: int


class LoadBudget:
    """Loads that one planner has started recently, and those that it may start.

    Each planner uses an equal share of the loads that the store allows in a
    window, whether or not it receives messages from the others, so that
    partitioned planners stay within the limit together.

    The number of concurrent loads is limited for this case: every few seconds
    servers are lost and empty ones appear, each load takes 12 to 16 s, and the
    store serves 7 at full speed. Without that limit 25 loads started after a
    restart, most of them for a secondary model; each took 40 s and more, and a
    third of the living servers stayed empty meanwhile.
    """

    def __init__(self) -> None:
        """Makes a budget without started loads."""
        self._start_times: collections.deque[float] = collections.deque()
        self._requests: dict[str, LoadRequest] = {}
        self._remaining = 0
        self._own = 0
        self._max_concurrent = math.inf
        self._max_secondary = math.inf

    def begin_round(
        self,
        engine: document_module.EngineProfile,
        *,
        planners: int,
        in_progress: LoadsInProgress,
        now: float,
    ) -> None:
        """Begins a round.

        Args:
            engine: Performance profile of the service's engines.
            planners: Coordinators that share the store, reachable or not.
            in_progress: Loads in progress.
            now: Present time.
        """
        self._requests = {}
        self._own = in_progress.own
        while self._start_times and now - self._start_times[0] > WINDOW_S:
            self._start_times.popleft()
        planners = max(1, planners)
        allowed = max(
            1, int(engine.max_load_starts_per_s * WINDOW_S / planners)
        )
        self._remaining = allowed - len(self._start_times)
        if engine.max_concurrent_loads:
            # The limit is what the loads of other planners leave unused, but at
            # least an equal share: a planner that is partitioned from them must
            # not wait for their loads.
            equal_share = math.ceil(engine.max_concurrent_loads / planners)
            self._max_concurrent = max(
                equal_share, engine.max_concurrent_loads - in_progress.elsewhere
            )
            secondary_limit = math.ceil(
                SECONDARY_SHARE * engine.max_concurrent_loads
            )
            self._max_secondary = secondary_limit - in_progress.elsewhere
        else:
            self._max_concurrent = self._max_secondary = math.inf

    def lift_limits(self) -> None:
        """Begins a round without limits, before any request is served."""
        self._requests = {}
        self._remaining = 1_000_000
        self._max_concurrent = self._max_secondary = math.inf

    def request(self, request: LoadRequest) -> None:
        """Adds a load request; keeps only a server's best-ranked request.

        An empty server could complete a group of four or a group of two. While
        loads are scarce, the group that needs fewer loads serves callers
        sooner.
        """
        known = self._requests.get(request.instance.name)
        if known is None or request.rank < known.rank:
            self._requests[request.instance.name] = request

    def grant(self) -> list[LoadRequest]:
        """Returns the loads to start now, by descending priority."""
        granted: list[LoadRequest] = []
        ordered = sorted(
            self._requests.values(),
            key=lambda w: (w.rank, w.instance.name),
        )
        for request in ordered:
            is_secondary = request.priority is LoadPriority.SECONDARY
            limit = (
                self._max_secondary if is_secondary else self._max_concurrent
            )
            if (
                len(granted) >= self._remaining
                or self._own + len(granted) >= limit
            ):
                break
            granted.append(request)
        return granted

    def record_start(self, now: float) -> None:
        """Records that a load has started."""
        self._start_times.append(now)
        self._remaining -= 1
