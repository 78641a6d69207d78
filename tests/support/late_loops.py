"""Coordinators in simulated time whose event loops come late.

Each event takes a service time, and a loop handles one event at a time. What
arrives meanwhile waits for the next turn. Turns are ordered as in the process:
by urgency, or with the timer before what has arrived if the code has no lanes.
"""

from __future__ import annotations

import collections
import importlib.util
from typing import Any

import attrs

from hickorylead.consensus import options
from hickorylead.fleet import events, messages, orders
from hickorylead.roles import coordinator, interface
from support import fleet_simulation

HAS_LANES = importlib.util.find_spec("hickorylead.turns") is not None
if HAS_LANES:
    from hickorylead.roles import urgency
    from hickorylead.turns import own_pauses, work_queue

    MAX_GAP_S = own_pauses.MAX_GAP_S
else:
    MAX_GAP_S = 0.2

# Service times in seconds, with four busy processes for each core.
FULL_TABLE_S = 0.1
DEFAULT_SERVICE_S = 0.003
SERVICE_TIMES_S = {
    "Tick": 0.01,
    "UrgentTick": 0.004,
    "OrdinaryTick": 0.006,
    "PlanningDue": 0.01,
    "ConfigurationDue": 0.05,
    "HeartbeatArrived": 0.004,
    "CoordinatorHello": 0.003,
}
CATCH_UP_S = 6.0
MAX_LOST_DISKS = 2
VOTER_OPTIONS = options.derive_options(
    catch_up_s=CATCH_UP_S, max_lost_disks=MAX_LOST_DISKS
)


def get_service_time(event: Any) -> float:
    """Returns for how long a loop is busy with an event, in seconds."""
    if isinstance(event, interface.MessageArrived):
        event = event.message
    if isinstance(event, messages.InstanceNews) and event.is_full:
        return FULL_TABLE_S
    return SERVICE_TIMES_S.get(type(event).__name__, DEFAULT_SERVICE_S)


class ArrivalOrder:
    """Turns that begin with the timer, whatever has arrived before it."""

    def __init__(self) -> None:
        self._turn: collections.deque[Any] = collections.deque()

    def __len__(self) -> int:
        """Returns the number of waiting events."""
        return len(self._turn)

    def begin_turn(
        self, arrived: list[Any], *, is_tick_due: bool, now: float
    ) -> None:
        """Begins a turn with all that has arrived."""
        del now
        if is_tick_due:
            self._turn.append(interface.Tick(0.0))
        self._turn.extend(arrived)

    def take(self, now: float) -> Any:
        """Removes the next event; None at the end of the turn."""
        del now
        return self._turn.popleft() if self._turn else None

    def add_deferred(self, role: coordinator.Coordinator, now: float) -> None:
        """Does nothing, as ticks contain that work."""


class UrgencyOrder:
    """Turns in which the most urgent event is first."""

    def __init__(self) -> None:
        self._queue = work_queue.WorkQueue()
        self._waiting: set[str] = set()

    def __len__(self) -> int:
        """Returns the number of waiting events."""
        return len(self._queue)

    def begin_turn(
        self, arrived: list[Any], *, is_tick_due: bool, now: float
    ) -> None:
        """Begins a turn; what has arrived is queued before the ticks."""
        for event in arrived:
            self._queue.add(find_lane(event), event, now)
        if is_tick_due:
            self._add_once(work_queue.Lane.URGENT, events.UrgentTick(), now)
            self._add_once(work_queue.Lane.ORDINARY, events.OrdinaryTick(), now)
        self._queue.begin_turn(now)

    def take(self, now: float) -> Any:
        """Removes the next event; None at the end of the turn."""
        taken = self._queue.take(now)
        if taken is None:
            return None
        self._waiting.discard(type(taken[2]).__name__)
        return taken[2]

    def add_deferred(self, role: coordinator.Coordinator, now: float) -> None:
        """Queues the work that is due."""
        lanes = {
            events.ConfigurationDue: work_queue.Lane.ORDINARY,
            events.PlanningDue: work_queue.Lane.BACKGROUND,
        }
        for due in role.list_due_work(now):
            self._add_once(lanes[type(due)], due, now)

    def _add_once(self, lane: Any, event: Any, now: float) -> None:
        kind = type(event).__name__
        if kind not in self._waiting:
            self._waiting.add(kind)
            self._queue.add(lane, event, now)


def find_lane(event: Any) -> Any:
    """Returns the lane of an event as the process chooses it."""
    match event:
        case interface.MessageArrived(_, message):
            return urgency.find_lane(message)
        case events.ReadRequested() | events.ReplaceRequested():
            return work_queue.Lane.URGENT
        case orders.OrderAnswered() | orders.ReportArrived():
            # Tasks handle responses of servers between turns.
            return work_queue.Lane.URGENT
        case _:
            return work_queue.Lane.ORDINARY


@attrs.define
class Loop:
    """The event loop of one coordinator.

    Attributes:
        order: Order of the events within turns.
        arrived: What waits in the sockets, in order.
        is_tick_due: Whether the timer has expired.
        is_awake: Whether a turn is running or about to begin.
        stopped_until: Until when it handles nothing.
        wake_delay_s: How late turns begin after the loop was idle, in seconds.
    """

    order: ArrivalOrder | UrgencyOrder
    arrived: list[Any] = attrs.field(factory=list)
    is_tick_due: bool = False
    is_awake: bool = False
    stopped_until: float = 0.0
    wake_delay_s: float = 0.0


@attrs.frozen
class RoleChange:
    """A change of the role or term of a voter."""

    at: float
    node: str
    before: str
    role: str
    term: int


class LateFleet(fleet_simulation.FleetSimulation):
    """A deployment with six coordinators, each with an event loop."""

    coordinator_arguments = {"defers_work": True} if HAS_LANES else {}

    def __init__(self, seed: int = 1) -> None:
        self.loops: dict[str, Loop] = {}
        self.role_changes: list[RoleChange] = []
        # (time, server, coordinator) of each order.
        self.orders: list[tuple[float, str, str]] = []
        # (time, node, event) when an event was begun to be handled.
        self.handled: list[tuple[float, str, Any]] = []
        super().__init__(
            seed=seed,
            servers_per_zone=16,
            domain_size=8,
            gateways_per_zone=2,
            coordinators_per_zone=2,
            voter_options=VOTER_OPTIONS,
        )
        self.on_server_call = self._record_order

    def settle(self) -> None:
        """Puts a configuration in force and waits until all vote."""
        self.bootstrap()
        self.run_until(lambda: self.find_leader() != "", 5.0)
        self.run_until(
            lambda: len(self.get_leader_voter().voters) == 6, limit_s=20.0
        )
        self.run(5.0)

    def get_leader_voter(self) -> Any:
        """Returns the voter that leads."""
        return self.coordinators[self.find_leader()].voter

    # Lateness.

    def stop_loop(self, node: str, seconds: float) -> None:
        """Makes a loop handle nothing for a time; messages wait meanwhile."""
        self.loops[node].stopped_until = self.now + seconds

    def delay_turns(self, seconds: float) -> None:
        """Makes each loop late whenever it has been idle."""
        for loop in self.loops.values():
            loop.wake_delay_s = seconds

    def stop_at_random(
        self, node: str, *, shortest_s: float, longest_s: float, until: float
    ) -> None:
        """Stops a loop repeatedly, with time between to handle what waits."""
        if self.now >= until:
            return
        seconds = self.rng.uniform(shortest_s, longest_s)
        self.stop_loop(node, min(seconds, until - self.now))
        pause_s = seconds + self.rng.uniform(0.2, 1.0)
        self.call_at(
            pause_s,
            lambda: self.stop_at_random(
                node, shortest_s=shortest_s, longest_s=longest_s, until=until
            ),
        )

    # What happened.

    def find_leading(self) -> str:
        """Returns the leader of the highest term, in touch or not."""
        leading = [
            (role.voter.term, node)
            for node, role in self.coordinators.items()
            if role.voter.role == "leader"
        ]
        return max(leading)[1] if leading else ""

    def list_elections(self, since: float) -> list[RoleChange]:
        """Returns which voters became candidates."""
        return [c for c in self.list_changes(since) if c.role == "candidate"]

    def list_lost_leaders(self, since: float) -> list[RoleChange]:
        """Returns which voters led and lead no longer."""
        return [
            change
            for change in self.list_changes(since)
            if change.before == "leader" and change.role != "leader"
        ]

    def list_changes(self, since: float) -> list[RoleChange]:
        """Returns the changes of roles and terms since a time."""
        return [c for c in self.role_changes if c.at >= since]

    def find_term(self) -> int:
        """Returns the highest term of any voter."""
        return max(role.voter.term for role in self.coordinators.values())

    def list_ordered_by_two(self, since: float, within_s: float) -> list[str]:
        """Returns servers ordered by two coordinators within a time."""
        last: dict[str, dict[str, float]] = {}
        found = []
        for at, server, node in self.orders:
            if at < since:
                continue
            by_node = last.setdefault(server, {})
            found += [
                f"{server} at {at:.3f}: {other} {at - before:.3f} s, {node}"
                for other, before in by_node.items()
                if other != node and at - before <= within_s
            ]
            by_node[node] = at
        return found

    def _record_order(self, node: str, effect: Any) -> None:
        if isinstance(effect, orders.SendOrder):
            self.orders.append((self.now, effect.name, node))

    # Turns.

    def start(self, node: str, *, first: bool = False) -> None:
        """Starts a coordinator with a loop that is on time."""
        self.loops[node] = Loop(UrgencyOrder() if HAS_LANES else ArrivalOrder())
        super().start(node, first=first)

    def kill(self, node: str) -> None:
        """Kills a process; its disk stays."""
        self.loops.pop(node, None)
        super().kill(node)

    def apply(self, node: str, event: Any) -> None:
        """Delivers an event; a coordinator handles it in a later turn."""
        loop = self.loops.get(node)
        if loop is None:
            super().apply(node, event)
            return
        loop.arrived.append(event)
        self._wake(node, loop)

    def _tick(self, node: str, role: Any, period_s: float) -> None:
        if node not in self.loops:
            super()._tick(node, role, period_s)
            return
        if self.coordinators[node] is role:
            self.loops[node].is_tick_due = True
            self._wake(node, self.loops[node])

    def _wake(self, node: str, loop: Loop) -> None:
        if not loop.is_awake:
            loop.is_awake = True
            self.call_at(
                loop.wake_delay_s, lambda: self._begin_turn(node, loop)
            )

    def _begin_turn(self, node: str, loop: Loop) -> None:
        if self.loops.get(node) is not loop:
            return
        if self.now < loop.stopped_until:
            wait_s = loop.stopped_until - self.now
            self.call_at(wait_s, lambda: self._begin_turn(node, loop))
            return
        arrived, loop.arrived = loop.arrived, []
        is_tick_due, loop.is_tick_due = loop.is_tick_due, False
        loop.order.begin_turn(arrived, is_tick_due=is_tick_due, now=self.now)
        if is_tick_due:
            role = self.coordinators[node]
            self.call_at(
                coordinator.TICK_S,
                lambda: self._tick(node, role, coordinator.TICK_S),
            )
        self._handle_next(node, loop)

    def _handle_next(self, node: str, loop: Loop) -> None:
        if self.loops.get(node) is not loop:
            return
        if self.now < loop.stopped_until:
            wait_s = loop.stopped_until - self.now
            self.call_at(wait_s, lambda: self._handle_next(node, loop))
            return
        event = loop.order.take(self.now)
        if event is None:
            if len(loop.order) or loop.arrived or loop.is_tick_due:
                self._begin_turn(node, loop)
            else:
                loop.is_awake = False
            return
        self.handled.append((self.now, node, event))
        voter = self.coordinators[node].voter
        before = voter.role, voter.term
        effects = self.coordinators[node].reduce(event, self.now)
        if before != (voter.role, voter.term):
            self.role_changes.append(
                RoleChange(self.now, node, before[0], voter.role, voter.term)
            )
        self.call_at(
            get_service_time(event),
            lambda: self._carry_out_all(node, loop, effects),
        )

    def _carry_out_all(self, node: str, loop: Loop, effects: list[Any]) -> None:
        if self.loops.get(node) is not loop:
            return
        for effect in effects:
            self._carry_out(node, effect)
        loop.order.add_deferred(self.coordinators[node], self.now)
        self._handle_next(node, loop)
