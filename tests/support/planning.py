"""Random schedules of planners against backend servers.

Two planners both act as the owner of a domain and receive its servers'
heartbeats late or not at all. Their orders are lost, lose their response, or
are carried out seconds later. Servers crash and are replaced or restarted. The
invariants of groups are checked after every step.
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
    """A group was not complete, or a server worked for two groups."""


@attrs.define
class PlannerNode:
    """One planner with the server states that it has received."""

    planner: planner_module.Planner
    known_servers: dict[str, instances.Instance] = attrs.field(factory=dict)
    # Until then no heartbeat reaches it, while its orders reach the servers.
    heartbeats_lost_until: float = 0.0
    lost: set[str] = attrs.field(factory=set)


class Schedule:
    """One random schedule."""

    def __init__(
        self,
        seed: int,
        *,
        planner_class=planner_module.Planner,
        size: int = 6,
        server_restarts: bool = False,
    ) -> None:
        self.rng = random.Random(seed)
        # A separate generator keeps schedules without restarts the same.
        self.restart_rng = (
            random.Random(f"births {seed}") if server_restarts else None
        )
        self.now = 100.0
        self.planner_class = planner_class
        self.planner_nodes = [
            PlannerNode(self._make_planner(planner_class, n)) for n in (1, 2)
        ]
        self.servers: dict[str, simulated_servers.SimulatedServer] = {}
        self.server_count = 0
        for _ in range(size):
            self._add_server()
        # Members that were ready, by a group's name, epoch and member list.
        self.ready_members: dict[
            tuple[str, int, tuple[str, ...]], set[str]
        ] = {}
        self.delayed_orders: list[tuple[float, orders.SendOrder]] = []
        self.opened = 0

    def _make_planner(self, planner_class, number):
        return planner_class(
            number=number,
            policy=group_builder_module.StandbyPolicy(),
            start_id=f"{self.rng.getrandbits(24):x}",
        )

    def _restart_planner(self) -> None:
        """Restarts a planner without its previous state."""
        node = self.rng.choice(self.planner_nodes)
        number = self.planner_nodes.index(node) + 1
        node.planner = self._make_planner(self.planner_class, number)
        node.known_servers.clear()
        node.lost.clear()

    def _add_server(self) -> None:
        self.server_count += 1
        name = f"i{self.server_count}"
        self.servers[name] = simulated_servers.SimulatedServer(
            name, staged=[self.rng.choice(["large", "small"])]
        )

    def run(self, steps: int) -> None:
        """Runs steps and checks the invariants after each."""
        for _ in range(steps):
            self.now += self.rng.choice([0.01, 0.1, 0.2, 0.4])
            self._step()
            self._check_groups()

    def _step(self) -> None:
        for server in self.servers.values():
            if server.alive:
                self._advance(server)
        while self.delayed_orders and self.delayed_orders[0][0] <= self.now:
            _, effect = self.delayed_orders.pop(0)
            self._carry_out(effect)
        chance = self.rng.random()
        if chance < 0.02:
            self._crash()
        elif chance < 0.03:
            self._drain()
        elif chance < 0.055:
            self._restart_planner()
        elif chance < 0.075:
            node = self.rng.choice(self.planner_nodes)
            node.heartbeats_lost_until = self.now + self.rng.uniform(1.0, 5.0)
        if self.restart_rng is not None and self.restart_rng.random() < 0.04:
            self._restart_server()
        for node in self.planner_nodes:
            if self.rng.random() < 0.6:
                self._plan(node)

    def _advance(self, server: simulated_servers.SimulatedServer) -> None:
        before = server.member.state
        if not server.advance(self.now):
            if self.rng.random() < 0.1:
                self._send_heartbeat(server)
            return
        key = (server.member.group, server.member.epoch, server.members)
        if server.member.state == instances.GROUP_READY:
            self.ready_members.setdefault(key, set()).add(server.name)
        if (
            server.member.state == instances.GROUP_OPEN
            and before != instances.GROUP_OPEN
        ):
            self.opened += 1
            self._check_open(server)
        self._send_heartbeat(server)

    def _send_heartbeat(
        self, server: simulated_servers.SimulatedServer
    ) -> None:
        heartbeat = server.make_heartbeat()
        for node in self.planner_nodes:
            if self.now < node.heartbeats_lost_until:
                continue
            if self.rng.random() < 0.85:
                known = node.known_servers.get(server.name)
                if instances.is_newer(heartbeat, known):
                    node.known_servers[server.name] = instances.fill_unreported(
                        heartbeat, known
                    )
                node.lost.discard(server.name)

    def _crash(self) -> None:
        server = self.rng.choice(list(self.servers.values()))
        server.alive = False
        del self.servers[server.name]
        if self.rng.random() < 0.8:
            self._add_server()

    def _restart_server(self) -> None:
        """Restarts a server under the same id; its staged models stay."""
        name = self.restart_rng.choice(sorted(self.servers))
        previous = self.servers[name]
        previous.alive = False
        self.servers[name] = simulated_servers.SimulatedServer(
            name, staged=list(previous.staged), born=round(self.now * 1000)
        )
        self._send_heartbeat(self.servers[name])

    def _drain(self) -> None:
        server = self.rng.choice(list(self.servers.values()))
        server.phase = instances.PHASE_DRAINING
        self._send_heartbeat(server)

    def _plan(self, node: PlannerNode) -> None:
        for name in node.known_servers:
            if name not in self.servers and self.rng.random() < 0.1:
                node.lost.add(name)
            elif self.rng.random() < 0.0005:
                # Partitioned from this planner only.
                node.lost.add(name)
        effects = node.planner.plan(
            present=list(node.known_servers.values()),
            services=[SERVICE],
            domains=frozenset({"d1"}),
            lost=frozenset(node.lost),
            planners=1,
            has_traffic=self.rng.random() < 0.9,
            now=self.now,
        )
        for effect in effects:
            if isinstance(effect, orders.RequestReport):
                server = self.servers.get(effect.name)
                accepted = server.accepted if server else None
                born = server.born if server else 0
                node.planner.handle_report(
                    orders.ReportArrived(
                        effect.name,
                        accepted,
                        born,
                        member=(
                            server.member if server else instances.Membership()
                        ),
                    )
                )
                continue
            self._send_order(node, effect)

    def _send_order(self, node: PlannerNode, effect: orders.SendOrder) -> None:
        chance = self.rng.random()
        if chance < 0.08:
            at = self.now + self.rng.uniform(2.0, 12.0)
            self.delayed_orders.append((at, effect))
            self.delayed_orders.sort(key=lambda pair: pair[0])
            return
        if chance < 0.12:
            return
        status = self._carry_out(effect)
        if status and self.rng.random() < 0.9:
            node.planner.handle_response(
                orders.OrderAnswered(effect.name, effect.order, status)
            )

    def _carry_out(self, effect: orders.SendOrder) -> int:
        server = self.servers.get(effect.name)
        if server is None:
            return 0
        before = server.member
        old_members = server.members
        status = server.apply_order(effect.order, effect.expected, self.now)
        if status == 202 and isinstance(effect.order, orders.Join):
            self._check_join(server, before, old_members)
        if status < 300:
            self._send_heartbeat(server)
        return status

    # Invariants.

    def _check_join(self, server, before, old_members) -> None:
        """Checks that a server joins no other group while its head serves."""
        if not before.group:
            return
        head = self.servers.get(old_members[0])
        if head is None or head.name == server.name:
            if before.state == instances.GROUP_OPEN:
                raise InvariantViolation(
                    f"{server.name} serves and joins another group"
                )
            return
        found = (head.member.group, head.member.epoch)
        if found == (before.group, before.epoch) and (
            head.member.state == instances.GROUP_OPEN
        ):
            raise InvariantViolation(
                f"{server.name} joins another group while its head serves"
            )

    def _check_open(self, head: simulated_servers.SimulatedServer) -> None:
        """Checks that each member of an open group was ready with its list."""
        key = (head.member.group, head.member.epoch, head.members)
        if len(head.members) != SIZES[head.model]:
            raise InvariantViolation(f"{head.member.group} has a wrong size")
        missing = set(head.members) - self.ready_members.get(key, set())
        if missing:
            raise InvariantViolation(f"{head.member.group} lacks {missing}")

    def _check_groups(self) -> None:
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
    """Runs schedules; returns how often a group was opened.

    Raises:
        InvariantViolation: A schedule violated an invariant; the message names
            its seed.
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
