"""Loads from the weight store: all planners together stay within its limit."""

from __future__ import annotations

import collections
import enum
import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from hickorylead.configuration import document as document_module
    from hickorylead.fleet import instances

# The store counts loads over this long, in seconds.
WINDOW_S = 5.0
# Loads that only prepare servers which serve already begin while fewer than
# this share of the loads at once are under way anywhere: a load can't be called
# back, and an empty server that comes a moment later would wait for one to end.
# Servers that came empty each 3 s waited 17 s at most for a load of 14 s; when
# each planner minded its own loads alone, 36 s.
BESIDE_SHARE = 0.33


class LoadPriority(enum.IntEnum):
    """What a load is for; the lowest goes first."""

    GROUP = 0
    STANDBY = 1
    SECONDARY = 2


@attrs.frozen
class LoadRequest:
    """A load that would be of use.

    Attributes:
        instance: The server.
        model: What it should stage.
        priority: What for.
        missing: Loads that its group still lacks, this one included.
    """

    instance: instances.Instance
    model: str
    priority: LoadPriority
    missing: int = 0

    @property
    def rank(self) -> tuple[LoadPriority, int]:
        """Its place among others; the lowest goes first."""
        return self.priority, self.missing


@attrs.frozen
class LoadsInProgress:
    """Loads from the store that go on.

    Attributes:
        own: Of servers that this planner is in charge of.
        elsewhere: Of all other servers.
    """

    own: int
    elsewhere: int


class LoadBudget:
    """Loads that one planner has started lately, and those that it may start.

    Each takes an equal part of what the store allows in a window, whether or
    not it hears the others, so that planners which are cut off stay within it
    together.

    The load this answers: servers are lost and come empty every few seconds,
    each load takes 12 to 16 s, and the store serves 7 at full speed. Without a
    bound on loads at once, 25 started after a restart, most of them beside a
    model that served already; each took 40 s and more, and a third of the
    living servers stood empty meanwhile.
    """

    def __init__(self) -> None:
        """Makes a budget of which nothing is spent."""
        self._started: collections.deque[float] = collections.deque()
        self._wishes: dict[str, LoadRequest] = {}
        self._room = 0
        self._own = 0
        self._at_once = math.inf
        self._most_beside = math.inf

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
            engine: Figures of the service's engines.
            planners: Control nodes that share the store, heard or not.
            in_progress: Loads that go on.
            now: Present time.
        """
        self._wishes = {}
        self._own = in_progress.own
        while self._started and now - self._started[0] > WINDOW_S:
            self._started.popleft()
        planners = max(1, planners)
        allowed = max(
            1, int(engine.max_load_starts_per_s * WINDOW_S / planners)
        )
        self._room = allowed - len(self._started)
        if engine.max_concurrent_loads:
            # What others leave, and an equal part whatever they have: one that
            # is cut off must not wait for their loads.
            part = math.ceil(engine.max_concurrent_loads / planners)
            self._at_once = max(
                part, engine.max_concurrent_loads - in_progress.elsewhere
            )
            few = math.ceil(BESIDE_SHARE * engine.max_concurrent_loads)
            self._most_beside = few - in_progress.elsewhere
        else:
            self._at_once = self._most_beside = math.inf

    def lift(self) -> None:
        """Begins a round in which loads are free: nothing was served yet."""
        self._wishes = {}
        self._room = 1_000_000
        self._at_once = self._most_beside = math.inf

    def request(self, wish: LoadRequest) -> None:
        """Takes a load that would be of use; the best for a server counts.

        An empty server could complete a group of four or one of two. While
        loads are scarce, the one that lacks fewer serves callers sooner.
        """
        known = self._wishes.get(wish.instance.name)
        if known is None or wish.rank < known.rank:
            self._wishes[wish.instance.name] = wish

    def grant(self) -> list[LoadRequest]:
        """Returns the loads that are to be started now, most needed first."""
        granted: list[LoadRequest] = []
        ordered = sorted(
            self._wishes.values(),
            key=lambda w: (w.rank, w.instance.name),
        )
        for wish in ordered:
            is_beside = wish.priority is LoadPriority.SECONDARY
            most = self._most_beside if is_beside else self._at_once
            if len(granted) >= self._room or self._own + len(granted) >= most:
                break
            granted.append(wish)
        return granted

    def spend(self, now: float) -> None:
        """Counts a load."""
        self._started.append(now)
        self._room -= 1
