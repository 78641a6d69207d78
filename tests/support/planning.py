"""Random schedules of planners against backend servers.

Two planners that both believe they are in charge of a domain see what its
servers tell late or not at all. Their orders are lost, answered without being
seen, or carried out seconds later. Servers die and come back as other lives.
After every step it is checked what must always hold of groups.
"""

from __future__ import annotations

import random

import attrs

from hickorylead.configuration import document
from hickorylead.fleet import (
    group_builder as group_builder_module,
    instances,
    orders,
    planner as planner_module,
)
from support import simulated_servers

ENGINE = document.EngineProfile(
    slots=8,
    kv_cache_tokens=100_000,
    decode_step_s=0.006,
    decode_step_per_request_s=0.0005,
    decode_step_per_context_token_s=0.0,
    prefill_per_token_s=1 / 46000,
    prefill_chunk_tokens=2048,
    steps_per_event=5,
    models=(
        document.ModelProfile("large", 3, 0.6, 1.0, 1.5, 0.5),
        document.ModelProfile("small", 2, 0.4, 0.6, 1.5, 0.5),
    ),
    max_load_starts_per_s=4.0,
)
SERVICE = document.Service("model", engine=ENGINE)
SIZES = {m.name: m.group_size for m in ENGINE.models}


class InvariantViolation(AssertionError):
    """A group was not whole, or a server worked for two groups."""


@attrs.define
class PlannerNode:
    """One planner with what it has seen."""

    planner: planner_module.Planner
    seen: dict[str, instances.Instance] = attrs.field(factory=dict)
    # Until when no heartbeat reaches it, while its orders reach the servers.
    deaf_until: float = 0.0
    lost: set[str] = attrs.field(factory=set)


class Schedule:
    """One random schedule."""

    def __init__(
        self,
        seed: int,
        *,
        planner_class=planner_module.Planner,
        size: int = 6,
        rebirths: bool = False,
    ) -> None:
        self.rng = random.Random(seed)
        # Chance of its own, so that schedules without rebirths stay the same.
        self.births = random.Random(f"births {seed}") if rebirths else None
        self.now = 100.0
        self.planner_class = planner_class
        self.seats = [
            PlannerNode(self._make_planner(planner_class, n)) for n in (1, 2)
        ]
        self.servers: dict[str, simulated_servers.SimulatedServer] = {}
        self.count = 0
        for _ in range(size):
            self._add_server()
        # Members that were ready under a group's name, epoch and list.
        self.was_ready: dict[tuple[str, int, tuple[str, ...]], set[str]] = {}
        self.late: list[tuple[float, orders.SendOrder]] = []
        self.opened = 0

    def _make_planner(self, planner_class, number):
        return planner_class(
            number=number,
            policy=group_builder_module.StandbyPolicy(),
            start_id=f"{self.rng.getrandbits(24):x}",
        )

    def _restart(self) -> None:
        """Restarts a planner; it has forgotten all that it knew."""
        seat = self.rng.choice(self.seats)
        number = self.seats.index(seat) + 1
        seat.planner = self._make_planner(self.planner_class, number)
        seat.seen.clear()
        seat.lost.clear()

    def _add_server(self) -> None:
        self.count += 1
        name = f"i{self.count}"
        self.servers[name] = simulated_servers.SimulatedServer(
            name, staged=[self.rng.choice(["large", "small"])]
        )

    def run(self, steps: int) -> None:
        """Plays steps and checks after each."""
        for _ in range(steps):
            self.now += self.rng.choice([0.01, 0.1, 0.2, 0.4])
            self._step()
            self._check()

    def _step(self) -> None:
        for server in self.servers.values():
            if server.alive:
                self._advance(server)
        while self.late and self.late[0][0] <= self.now:
            _, give = self.late.pop(0)
            self._carry_out(give)
        chance = self.rng.random()
        if chance < 0.02:
            self._crash()
        elif chance < 0.03:
            self._drain()
        elif chance < 0.055:
            self._restart()
        elif chance < 0.075:
            seat = self.rng.choice(self.seats)
            seat.deaf_until = self.now + self.rng.uniform(1.0, 5.0)
        if self.births is not None and self.births.random() < 0.04:
            self._start_again()
        for seat in self.seats:
            if self.rng.random() < 0.6:
                self._plan(seat)

    def _advance(self, server: simulated_servers.SimulatedServer) -> None:
        before = server.member.state
        if not server.advance(self.now):
            if self.rng.random() < 0.1:
                self._tell(server)
            return
        key = (server.member.group, server.member.epoch, server.members)
        if server.member.state == instances.GROUP_READY:
            self.was_ready.setdefault(key, set()).add(server.name)
        if (
            server.member.state == instances.GROUP_OPEN
            and before != instances.GROUP_OPEN
        ):
            self.opened += 1
            self._check_open(server)
        self._tell(server)

    def _tell(self, server: simulated_servers.SimulatedServer) -> None:
        told = server.make_heartbeat()
        for seat in self.seats:
            if self.now < seat.deaf_until:
                continue
            if self.rng.random() < 0.85:
                known = seat.seen.get(server.name)
                if instances.is_newer(told, known):
                    seat.seen[server.name] = instances.fill_unreported(
                        told, known
                    )
                seat.lost.discard(server.name)

    def _crash(self) -> None:
        server = self.rng.choice(list(self.servers.values()))
        server.alive = False
        del self.servers[server.name]
        if self.rng.random() < 0.8:
            self._add_server()

    def _start_again(self) -> None:
        """Has a server start again under its id; what it staged stays."""
        name = self.births.choice(sorted(self.servers))
        former = self.servers[name]
        former.alive = False
        self.servers[name] = simulated_servers.SimulatedServer(
            name, staged=list(former.staged), born=round(self.now * 1000)
        )
        self._tell(self.servers[name])

    def _drain(self) -> None:
        server = self.rng.choice(list(self.servers.values()))
        server.phase = instances.PHASE_DRAINING
        self._tell(server)

    def _plan(self, seat: PlannerNode) -> None:
        for name in seat.seen:
            if name not in self.servers and self.rng.random() < 0.1:
                seat.lost.add(name)
            elif self.rng.random() < 0.0005:
                # Cut off from this planner only.
                seat.lost.add(name)
        given = seat.planner.plan(
            present=list(seat.seen.values()),
            services=[SERVICE],
            domains=frozenset({"d1"}),
            lost=frozenset(seat.lost),
            planners=1,
            has_traffic=self.rng.random() < 0.9,
            now=self.now,
        )
        for item in given:
            if isinstance(item, orders.RequestReport):
                server = self.servers.get(item.name)
                accepted = server.accepted if server else None
                born = server.born if server else 0
                seat.planner.handle_report(
                    orders.ReportArrived(
                        item.name,
                        accepted,
                        born,
                        member=(
                            server.member if server else instances.Membership()
                        ),
                    )
                )
                continue
            self._send(seat, item)

    def _send(self, seat: PlannerNode, give: orders.SendOrder) -> None:
        chance = self.rng.random()
        if chance < 0.08:
            at = self.now + self.rng.uniform(2.0, 12.0)
            self.late.append((at, give))
            self.late.sort(key=lambda pair: pair[0])
            return
        if chance < 0.12:
            return
        status = self._carry_out(give)
        if status and self.rng.random() < 0.9:
            seat.planner.handle_response(
                orders.OrderAnswered(give.name, give.order, status)
            )

    def _carry_out(self, give: orders.SendOrder) -> int:
        server = self.servers.get(give.name)
        if server is None:
            return 0
        before = server.member
        old_members = server.members
        status = server.apply_order(give.order, give.expected, self.now)
        if status == 202 and isinstance(give.order, orders.Join):
            self._check_join(server, before, old_members)
        if status < 300:
            self._tell(server)
        return status

    # What must always hold.

    def _check_join(self, server, before, old_members) -> None:
        """No server takes another group while its group's head serves."""
        if not before.group:
            return
        head = self.servers.get(old_members[0])
        if head is None or head.name == server.name:
            if before.state == instances.GROUP_OPEN:
                raise InvariantViolation(
                    f"{server.name} serves and joins another"
                )
            return
        found = (head.member.group, head.member.epoch)
        if found == (before.group, before.epoch) and (
            head.member.state == instances.GROUP_OPEN
        ):
            raise InvariantViolation(
                f"{server.name} joins while its head serves"
            )

    def _check_open(self, head: simulated_servers.SimulatedServer) -> None:
        """A group serves only once each member was ready under its list."""
        key = (head.member.group, head.member.epoch, head.members)
        if len(head.members) != SIZES[head.model]:
            raise InvariantViolation(f"{head.member.group} has a wrong size")
        missing = set(head.members) - self.was_ready.get(key, set())
        if missing:
            raise InvariantViolation(f"{head.member.group} lacks {missing}")

    def _check(self) -> None:
        members: dict[str, str] = {}
        for server in self.servers.values():
            if server.member.state != instances.GROUP_OPEN:
                continue
            for name in server.members:
                other = members.setdefault(name, server.member.group)
                alive = self.servers.get(name)
                if (
                    other != server.member.group
                    and alive
                    and alive.member.group in (other, server.member.group)
                ):
                    heads = [
                        s
                        for s in self.servers.values()
                        if s.member.state == instances.GROUP_OPEN
                        and name in s.members
                        and alive.member.group == s.member.group
                    ]
                    if len(heads) > 1:
                        raise InvariantViolation(f"{name} serves two groups")


def run_schedules(
    first: int, count: int, *, steps: int = 100, **options
) -> int:
    """Plays schedules; returns how often a group was opened.

    Raises:
        InvariantViolation: In some schedule a promise was broken; the message
            names its seed.
    """
    opened = 0
    for seed in range(first, first + count):
        schedule = Schedule(seed, **options)
        try:
            schedule.run(steps)
        except InvariantViolation as error:
            raise InvariantViolation(f"seed {seed}: {error}") from error
        opened += schedule.opened
    return opened
