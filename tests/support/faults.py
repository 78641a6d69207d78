"""Faults as data, and plays that cause them while callers ask."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Literal

import attrs

from hickorylead.configuration import changes
from support import deployments, operator_actions

if TYPE_CHECKING:
    from support.simulation import Simulation

FaultKind = Literal[
    "kill server",
    "pause server",
    "domain dark",
    "cut zone",
    "cut pair one way",
    "kill entry",
    "kill control",
    "pause control",
    "lose disk",
    "lose messages",
    "server leaves",
    "zone restarts",
    "clock jumps",
    "leader cut off",
    "race of operators",
    "straggler",
]
FAULT_KINDS: tuple[FaultKind, ...] = FaultKind.__args__


@attrs.frozen
class Fault:
    """One fault.

    Attributes:
        kind: What happens.
        target_index: Chooses where, modulo what there is.
        duration_s: How long, where that has a meaning.
        next_fault_delay_s: Time until the next fault.
    """

    kind: FaultKind
    target_index: int
    duration_s: float
    next_fault_delay_s: float


class FaultScenario:
    """A deployment under traffic."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.world: Simulation = deployments.build(
            engines=8,
            domain=4,
            seed=seed,
            checks_fence=self.rng.random() < 0.5,
        )
        self._calls = 0
        self.stops_at = self.world.now + 1e9
        self._ask()

    def _ask(self) -> None:
        world = self.world
        if world.now > self.stops_at:
            return
        for _ in range(2):
            world.submit(
                self.rng.choice(world.entries),
                "assistant",
                max_tokens=self.rng.randint(1, 60),
            )
        self._calls += 1
        key, at = f"key-{self._calls}", world.now
        first = self.rng.sample(world.entries, self.rng.choice([1, 2, 9]))
        for node in first:
            world.submit(node, "dispatch", key=key, body=key.encode())
        world.call_later(
            self.rng.uniform(0, 3),
            lambda: world.submit(
                self.rng.choice(world.entries),
                "dispatch",
                key=key,
                body=key.encode(),
                key_age_s=world.now - at,
            ),
        )
        world.call_later(1.0, self._ask)

    def inject(self, fault: Fault) -> None:
        """Causes one fault and its end."""
        world = self.world
        zone = world.zones[fault.target_index % len(world.zones)]
        entry = world.entries[fault.target_index % len(world.entries)]
        control = world.controls[fault.target_index % len(world.controls)]
        engines = [v for v, s in world.servers.items() if not s.is_plain]
        vm = engines[fault.target_index % len(engines)]
        lasts_s = fault.duration_s
        match fault.kind:
            case "kill server":
                self._kill_servers([vm], lasts_s)
            case "domain dark":
                domain = world.servers[vm].state.domain
                dark = [
                    v
                    for v in engines
                    if world.servers[v].state.domain == domain
                ]
                self._kill_servers(dark, lasts_s)
            case "pause server":
                world.pause_server(vm, lasts_s)
            case "straggler":
                world.servers[vm].batch.slowness = 8.0
                world.call_later(lasts_s, lambda: self._speed_up(vm))
            case "cut zone":
                world.isolate_zone(zone)
                world.call_later(lasts_s, world.heal)
            case "cut pair one way":
                other = world.zones[(fault.target_index + 1) % len(world.zones)]
                world.partition(zone, other, one_way=True)
                world.call_later(lasts_s, world.heal)
            case "leader cut off":
                leader = operator_actions.find_leader(world)
                for node in (*world.controls, *world.entries):
                    if leader and node != leader:
                        world.partition(leader, node)
                world.call_later(lasts_s, world.heal)
            case "kill entry":
                world.kill(entry)
                world.call_later(lasts_s, lambda: world.start(entry))
            case "kill control":
                world.kill(control)
                world.call_later(lasts_s, lambda: world.start(control))
            case "pause control":
                world.pause(control, lasts_s)
            case "lose disk":
                voter = world.voters[fault.target_index % len(world.voters)]
                world.wipe_disk(voter)
                world.call_later(lasts_s, lambda: world.start(voter))
            case "lose messages":
                world.loss = 0.1
                world.call_later(lasts_s, lambda: setattr(world, "loss", 0.0))
            case "server leaves":
                self._leave(vm, lasts_s)
            case "zone restarts":
                for node in world.controls:
                    if node.startswith(zone):
                        world.start(node)
            case "clock jumps":
                world.skew[control] = (
                    300.0 if fault.target_index % 2 else -300.0
                )
                world.call_later(lasts_s, lambda: world.skew.pop(control, None))
            case "race of operators":
                self._race(fault.target_index)

    def _kill_servers(self, vms: list[str], lasts_s: float) -> None:
        for vm in vms:
            self.world.kill_server(vm)
            self.world.call_later(lasts_s, lambda v=vm: self._revive(v))

    def _revive(self, vm: str) -> None:
        if not self.world.servers[vm].alive:
            self.world.restart_server(vm)

    def _speed_up(self, vm: str) -> None:
        self.world.servers[vm].batch.slowness = 1.0

    def _leave(self, vm: str, lasts_s: float) -> None:
        server = self.world.servers[vm]
        if not server.alive or server.left_at is not None:
            return
        server.member.leave()
        server.left_at = self.world.now

        def come_back() -> None:
            server.left_at = None
            self.world.kill_server(vm)
            self.world.restart_server(vm)

        self.world.call_later(max(lasts_s, 20.0), come_back)

    def _race(self, place: int) -> None:
        world = self.world
        expected = max(
            world.roles[n].version for n in world.controls if n in world.roles
        )
        for number in (0, 4):
            node = world.entries[(place + number) % len(world.entries)]
            drain = changes.DrainVm(f"none-{place}", number == 0)
            operator_actions.submit(
                world,
                drain,
                change_id=f"race-{world.now}-{number}",
                node=node,
                expected=expected,
            )


def run_play(seed: int, faults: list[Fault]) -> FaultScenario:
    """Plays faults, lets all come back, and checks that it did."""
    play = FaultScenario(seed)
    world = play.world
    for fault in faults:
        play.inject(fault)
        world.run(fault.next_fault_delay_s)
    world.run(60)
    play.stops_at = world.now
    world.run(45)
    for node in world.entries:
        zones = {
            z: operator_actions.count_replicas(world, node, z)
            for z in world.zones
        }
        assert min(zones.values()) >= 2, f"{node} may use {zones}"
    for answer in world.answers.values():
        assert answer.final_effect is not None, f"no answer: {answer.request}"
    return play


def draw_faults(seed: int, count: int) -> list[Fault]:
    """Returns the faults of a seed."""
    rng = random.Random(f"faults {seed}")
    return [
        Fault(
            rng.choice(FAULT_KINDS),
            rng.randrange(1000),
            rng.choice([5.0, 10.0, 30.0]),
            rng.choice([0.1, 1.0, 5.0, 15.0]),
        )
        for _ in range(count)
    ]
